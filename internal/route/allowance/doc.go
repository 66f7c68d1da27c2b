// Package allowance bounds what all entry processes together may send: repeats to a service and requests to a
// cold upstream. Each process takes its share by the number of live entry processes.
package allowance
