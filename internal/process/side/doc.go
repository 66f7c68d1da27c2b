// Package side assembles the process that runs beside an upstream.
package side
