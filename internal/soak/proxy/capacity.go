package proxy

import (
	"net"
	"time"
)

// rateInterval is the interval at which a part of the bytes of a connection with a limited rate is written.
const rateInterval = 20 * time.Millisecond

// Capacity is what the connections of a Proxy can carry. The zero value carries all bytes at once.
type Capacity struct {
	ToTarget, FromTarget Flow
}

// Flow is what one direction of each connection can carry.
type Flow struct {
	// Delay is the time from when bytes are read until they are written. Bytes that follow each other are delayed together.
	Delay time.Duration
	// BytesPerSecond limits the bytes that are written, 0 means no limit.
	BytesPerSecond int
}

// awaitDelay waits until bytes that were read at the given time may be written. It returns false if the connection ends meanwhile.
func (c *connection) awaitDelay(readAt time.Time, toTarget bool) bool {
	for {
		f, changed := c.proxy.flow(toTarget)
		left := time.Until(readAt.Add(f.Delay))
		if left <= 0 {
			return true
		}
		select {
		case <-time.After(left):
		case <-changed:
		case <-c.ended:
			return false
		}
	}
}

// writeAtRate writes data to dst at the limited rate. It returns false once the connection has ended.
func (c *connection) writeAtRate(dst net.Conn, data []byte, toTarget bool) bool {
	for len(data) > 0 {
		f, _ := c.proxy.flow(toTarget)
		n := len(data)
		if f.BytesPerSecond > 0 {
			n = min(n, max(1, int(float64(f.BytesPerSecond)*rateInterval.Seconds())))
			if !c.sleep(time.Duration(float64(n) / float64(f.BytesPerSecond) * float64(time.Second))) {
				return false
			}
		}
		if _, err := dst.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}
