// Package forward is the path of a request on the platform: from the caller's connection to an upstream and back.
package forward
