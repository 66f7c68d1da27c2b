// Package identity gives the connections between processes mutual TLS and checks the role in the peer's certificate.
package identity
