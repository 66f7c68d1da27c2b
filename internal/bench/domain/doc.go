// Package domain measures latency and correctness while a failure domain is taken out of service and put back, and while
// the offered load exceeds the capacity.
package domain
