// Package listener limits what callers outside the control of a process can make it hold: open connections, and the memory
// for what is received from them and sent to them.
package listener
