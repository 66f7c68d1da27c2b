// Package excess opens connections whose callers stay outside the limits of an entry process.
package excess
