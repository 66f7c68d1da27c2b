// Package trace keeps the steps of recent requests in memory, so that operators can query them.
package trace
