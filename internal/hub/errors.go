package hub

import "errors"

// Sentinel errors, tested with errors.Is.
var (
	// ErrNotFound reports a key, version or attempt that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports a compare-and-swap whose base revision is not the current one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable reports a platform service that did not answer; a write may have taken effect.
	ErrUnavailable = errors.New("service unavailable")
	// ErrTooLarge reports a value over the limit of the store.
	ErrTooLarge = errors.New("value too large")
	// ErrFenced reports an order whose fencing number is older than one already seen.
	ErrFenced = errors.New("fencing number is old")
	// ErrCorrupt reports bytes that do not match their digest.
	ErrCorrupt = errors.New("digest mismatch")
	// ErrThrottled reports a platform service that refused a call for its rate limit.
	ErrThrottled = errors.New("rate limit reached")
	// ErrHistoryLost reports changes that the store no longer keeps.
	ErrHistoryLost = errors.New("history is no longer kept")
	// ErrLeaseLost reports a lease that has lapsed or is held by another process.
	ErrLeaseLost = errors.New("lease lost")
	// ErrMemoryLimit reports weights that do not fit into the configured memory.
	ErrMemoryLimit = errors.New("memory limit reached")
)
