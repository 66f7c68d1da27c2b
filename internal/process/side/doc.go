// Package side assembles the side process that the command "side" runs next to an upstream.
package side
