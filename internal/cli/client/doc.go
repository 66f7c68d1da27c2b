// Package client is the client with which the commands of the command line call an entry process.
package client
