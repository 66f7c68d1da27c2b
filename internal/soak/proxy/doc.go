// Package proxy forwards TCP connections on loopback and disturbs them: it delays, slows, cuts, silences or resets them, or
// repeats responses.
package proxy
