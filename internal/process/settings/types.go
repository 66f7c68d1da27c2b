package settings

// Common is what entry and side processes share.
type Common struct {
	// Id names the process; it must be unique in the deployment.
	Id string
	// Deployment names the deployment; processes of another one are refused.
	Deployment string
	Domain     string
	Region     string
	// ControlListen is the IP address and port for other processes and for operators.
	ControlListen string
	// AdminListen is the IP address and port for metrics, health and profiles.
	AdminListen string
	// Peers are control addresses of entry processes that are asked at the start.
	Peers []string
	// ExchangeInterval is the time between two exchanges with another process.
	ExchangeInterval Duration
	Log              Log
	Tls              Tls
}

// Log chooses the form of the log lines.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
}

// Tls names the keys for connections between processes.
type Tls struct {
	// Mode is mutual or off.
	Mode string
	// AuthorityFile, CertificateFile and KeyFile are PEM files; they are read again when they change.
	AuthorityFile   string
	CertificateFile string
	KeyFile         string
}

// Entry is the settings of an entry process.
type Entry struct {
	Common   `yaml:",inline"`
	Listen   string
	Store    Store
	VmList   VmList
	Weights  Sources
	Requests Requests
}

// Store is the platform's configuration store.
type Store struct {
	Url string
}

// VmList is the platform's list of VMs.
type VmList struct {
	Url string
	// Interval is the time between two reads.
	Interval Duration
}

// Sources are where weights are published.
type Sources struct {
	// Urls are the weight store and the origin, in order of preference.
	Urls []string
}

// Requests bounds the requests of callers.
type Requests struct {
	MaxBody       Bytes
	HeaderTimeout Duration
	BodyTimeout   Duration
	IdleTimeout   Duration
	// QueueWait is the longest time for which a request waits for room.
	QueueWait Duration
	// MaxQueued bounds the requests that wait at once.
	MaxQueued int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// StopTimeout is the longest time that a planned stop waits for requests in progress.
	StopTimeout Duration
}

// Side is the settings of a side process.
type Side struct {
	Common `yaml:",inline"`
	Group  string
	// ContentListen is the loopback address and port from which the engine reads weights.
	ContentListen string
	Upstream      Upstream
	Weights       Weights
	StopTimeout   Duration
}

// Upstream is the program beside which a side process runs.
type Upstream struct {
	Url string
	// Kind is Engine or Service.
	Kind string
	// MaxConcurrent is the number of concurrent requests that it bears when warm.
	MaxConcurrent int
	// StartConcurrent is the limit after a start.
	StartConcurrent int
	// SlowStartRequests is the number of good answers that bring the limit from start to maximum.
	SlowStartRequests int
}

// Weights bounds what weights take of a VM.
type Weights struct {
	Urls        []string
	MemoryLimit Bytes
	// LinkPerSecond is the rate of the VM's link in bytes a second, 0 when unknown.
	LinkPerSecond Bytes
	// OriginPerSecond is the rate of the origin's link in bytes a second, 0 when unknown.
	OriginPerSecond Bytes
}
