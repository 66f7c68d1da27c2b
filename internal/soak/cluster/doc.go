// Package cluster runs entry and side processes of the program as processes of their own on loopback, against stand-ins of
// the users' platform, with a proxy on every connection that can be disturbed.
package cluster
