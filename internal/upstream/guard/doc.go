// Package guard is the admission control of a side process: it limits the concurrent requests to its upstream.
package guard
