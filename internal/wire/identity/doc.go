// Package identity provides mutual TLS for the connections between processes and authorizes calls by the role
// in the peer's certificate.
package identity
