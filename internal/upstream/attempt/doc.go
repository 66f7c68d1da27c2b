// Package attempt runs each attempt at most once and keeps its answer until every connection to it is settled.
package attempt
