// Package link opens and serves the connections between the processes of oriolehub.
package link
