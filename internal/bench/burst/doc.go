// Package burst measures the time until VMs hold a new version and compares it with the lower bound that the
// bandwidths allow.
package burst
