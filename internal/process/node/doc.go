// Package node assembles the processes that run on the users' platform: entry processes, which answer callers,
// and side processes, which keep the model engines at the named version.
package node
