// Package record holds what callers and upstreams have seen during a soak, and what was done to the deployment.
package record
