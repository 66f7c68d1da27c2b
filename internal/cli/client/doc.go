// Package client connects operators' commands and queries to an entry process.
package client
