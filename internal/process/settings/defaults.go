package settings

import "time"

// DefaultEntry returns the settings of an entry process for keys that the settings file does not set.
func DefaultEntry() Entry {
	return Entry{
		Common:   defaultCommon(),
		Listen:   "127.0.0.1:8080",
		VmList:   VmList{Interval: Duration(5 * time.Second)},
		Requests: defaultRequests(),
	}
}

func defaultCommon() Common {
	return Common{
		ControlListen:    "127.0.0.1:7400",
		AdminListen:      "127.0.0.1:0",
		ExchangeInterval: Duration(500 * time.Millisecond),
		Listeners:        defaultListeners(),
		Log:              Log{Level: "info", Format: "json"},
		Tls:              Tls{Mode: "off"},
	}
}

func defaultRequests() Requests {
	return Requests{
		MaxBody:        1 << 20,
		Buffer:         256 << 20,
		HeaderTimeout:  Duration(5 * time.Second),
		BodyTimeout:    Duration(30 * time.Second),
		IdleTimeout:    Duration(2 * time.Minute),
		QueueWait:      Duration(2 * time.Second),
		MaxQueued:      1000,
		MaxConnections: 10000,
		StopTimeout:    Duration(2 * time.Minute),
	}
}

// DefaultSide returns the settings of a side process for keys that the settings file does not set.
func DefaultSide() Side {
	return Side{
		Common:        defaultCommon(),
		ContentListen: "127.0.0.1:0",
		Upstream:      Upstream{Kind: "Engine", MaxConcurrent: 16, StartConcurrent: 1, SlowStartRequests: 60},
		Weights:       Weights{MemoryLimit: 8 << 30},
		StopTimeout:   Duration(2 * time.Minute),
	}
}
