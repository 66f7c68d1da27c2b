package store

// URL paths, query parameters and headers of the store's HTTP protocol.
const (
	KeysPath       = "/v1/keys/"
	LeasesPath     = "/v1/leases/"
	ParamBase      = "base"
	ParamLease     = "lease"
	ParamAfter     = "after"
	ParamWaitMs    = "wait_ms"
	ParamTtlMs     = "ttl_ms"
	HeaderRevision = "Store-Revision"
)
