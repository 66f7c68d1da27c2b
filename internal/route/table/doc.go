// Package table is the immutable routing table that the path of a request reads by an atomic pointer.
package table
