// Package burst measures how fast a version reaches VMs, against the lower bound that the links allow.
package burst
