// Package testbed runs entry and side processes on loopback before stand-ins of the users' platform.
package testbed
