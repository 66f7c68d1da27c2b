// Package session plays a plan of faults against a deployment while callers send requests, and checks what they got.
package session
