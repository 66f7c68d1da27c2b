package settings

// Common is the settings that entry and side processes have in common.
type Common struct {
	// Id is the ID of the process; it must be unique in the deployment.
	Id string
	// Deployment is the name of the deployment. Connections from processes of other deployments are rejected.
	Deployment string
	Domain     string
	Region     string
	// ControlListen is the IP address and port for connections from other processes and operators.
	ControlListen string
	// AdminListen is the IP address and port for metrics, health checks and profiles.
	AdminListen string
	// Peers are the control addresses of the entry processes that are contacted first at startup.
	Peers []string
	// ExchangeInterval is the mean interval between two rounds of state exchange with other processes.
	ExchangeInterval Duration
	Listeners        Listeners
	Log              Log
	Tls              Tls
}

// Log is the level and format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
}

// Tls configures TLS for the connections between processes.
type Tls struct {
	// Mode is mutual or off.
	Mode string
	// AuthorityFile, CertificateFile and KeyFile are PEM files; they are reloaded when they change.
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
	// Interval is the polling interval.
	Interval Duration
}

// Sources are the servers that publish weights.
type Sources struct {
	// Urls are the weight store and the origin, in order of preference.
	Urls []string
}

// Requests limits the requests of callers.
type Requests struct {
	MaxBody Bytes
	// Buffer is the memory for the headers and bodies of all requests together.
	Buffer        Bytes
	HeaderTimeout Duration
	BodyTimeout   Duration
	IdleTimeout   Duration
	// QueueWait is the maximum time for which a request waits in the queue for an upstream.
	QueueWait Duration
	// MaxQueued is the maximum number of requests in the queue.
	MaxQueued int
	// MaxConnections is the maximum number of open connections from callers.
	MaxConnections int
	// StopTimeout is the maximum time for which a planned stop waits for requests in progress.
	StopTimeout Duration
}

// Side is the settings of a side process.
type Side struct {
	Common `yaml:",inline"`
	Group  string
	// ContentListen is the loopback address and port on which the engine downloads weights.
	ContentListen string
	Upstream      Upstream
	Weights       Weights
	StopTimeout   Duration
}

// Upstream is the upstream next to which a side process runs.
type Upstream struct {
	Url string
	// Kind is Engine or Service.
	Kind string
	// MaxConcurrent is the maximum number of concurrent requests after slow start.
	MaxConcurrent int
	// StartConcurrent is the maximum number of concurrent requests at the beginning of slow start.
	StartConcurrent int
	// SlowStartRequests is the number of successful responses that raise the limit from StartConcurrent to
	// MaxConcurrent.
	SlowStartRequests int
}

// Weights configures the transfer of weights and limits the memory and bandwidth for it.
type Weights struct {
	Urls        []string
	MemoryLimit Bytes
	// LinkPerSecond is the bandwidth of the VM's network link in bytes per second, 0 if unknown.
	LinkPerSecond Bytes
	// OriginPerSecond is the bandwidth of the origin's network link in bytes per second, 0 if unknown.
	OriginPerSecond Bytes
}
