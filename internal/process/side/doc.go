// Package side assembles the side process, which runs next to an upstream.
package side
