package engine

// Paths of the engine's control endpoints, and headers of its requests and responses.
const (
	StatusPath = "/engine/status"
	LoadPath   = "/engine/load"
	// HeaderDigest is the response header with the root digest of the weights that produced the response.
	HeaderDigest = "Engine-Digest"
	// HeaderRequestID is the request header with the ID of the caller's request.
	HeaderRequestID = "X-Request-Id"
)
