// Package link provides the client and the server of the RPC connections between the processes of oriolehub.
package link
