package network

import (
	"fmt"
	"os"
	"sync/atomic"
)

// addressCount is the number of addresses that Loopback has returned.
var addressCount atomic.Uint32

// Loopback returns a new loopback address, derived from the process ID so that concurrent processes use different ones.
func Loopback() string {
	pid, n := os.Getpid(), addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8+int(n)/250)&0x7f, pid&0xff, 1+n%250)
}
