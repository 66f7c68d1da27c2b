package hub

import "errors"

// Sentinel errors; test for them with errors.Is.
var (
	// ErrNotFound means that a key, version, chunk or attempt does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the base revision of a compare-and-swap is not the current one,
	// or that a load order does not match the state of the upstream.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that a platform service did not respond; a write may have taken effect.
	ErrUnavailable = errors.New("service unavailable")
	// ErrTooLarge means that a value exceeds the size limit of the store, MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrFenced means that an order is obsolete: its fencing token is lower than one already seen,
	// or its target has changed.
	ErrFenced = errors.New("fencing number is old")
	// ErrCorrupt means that data does not match its digest or cannot be decoded.
	ErrCorrupt = errors.New("digest mismatch")
	// ErrThrottled means that a platform service rejected a call because of its rate limit.
	ErrThrottled = errors.New("rate limit reached")
	// ErrHistoryLost means that the store no longer keeps the requested changes; the caller must list all keys again.
	ErrHistoryLost = errors.New("history is no longer kept")
	// ErrLeaseLost means that a lease has expired or is held by another process.
	ErrLeaseLost = errors.New("lease lost")
	// ErrMemoryLimit means that weights do not fit into the configured memory limit.
	ErrMemoryLimit = errors.New("memory limit reached")
)
