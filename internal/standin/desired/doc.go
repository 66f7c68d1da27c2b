// Package desired is a test double for the formats of a platform's configuration store and of its request headers.
// It encodes the types of package hub as JSON and names each header field after its content.
package desired
