package concurrency

// Settings are the settings of the limits.
type Settings struct {
	// Enabled is false if upstreams always get all of their slots.
	Enabled bool
	// InitialShare is the share of its slots that a new or recovered upstream gets at first, above 0 and at most 1.
	InitialShare float64
}
