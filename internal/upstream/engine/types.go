package engine

// Paths of the engine's control protocol.
const (
	StatusPath = "/engine/status"
	LoadPath   = "/engine/load"
	// HeaderDigest is the response header in which an engine names the root digest that it answers from.
	HeaderDigest = "Engine-Digest"
	// HeaderRequestID is the request header that names the caller's request.
	HeaderRequestID = "X-Request-Id"
)
