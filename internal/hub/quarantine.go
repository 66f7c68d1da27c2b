package hub

// QuarantineNotice tells other processes which parts of prompts and which requests crash upstreams. They are given by their
// keys. Times are ages, because the clocks of processes differ.
type QuarantineNotice struct {
	Crashes     []UpstreamCrash   `json:",omitempty"`
	Quarantined []QuarantinedPart `json:",omitempty"`
	Sound       []SoundPart       `json:",omitempty"`
}

// UpstreamCrash is an upstream whose connection was lost before it had answered a request.
type UpstreamCrash struct {
	// Upstream and Born are the ID and the start time of the upstream.
	Upstream string
	Born     int64
	// Parts lists the suspected parts of the request, in the order of its prompt.
	Parts []string
	// Request is the key of the request itself, empty if it is not suspected.
	Request         string `json:",omitempty"`
	AgeMilliseconds int64
}

// QuarantinedPart is a part of prompts whose requests must not be sent, or one request, given by its key in Part.
type QuarantinedPart struct {
	Part             string
	LeftMilliseconds int64
	// Count is the number of quarantines of the part in a row.
	Count int
}

// SoundPart is a suspected part of prompts of which a request was answered completely, or a request, given by its key in Part.
type SoundPart struct {
	Part            string
	AgeMilliseconds int64
}
