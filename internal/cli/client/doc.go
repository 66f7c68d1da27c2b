// Package client implements the RPC client with which the commands call an entry process.
package client
