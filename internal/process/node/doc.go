// Package node assembles the processes that run on the users' platform, with the commands "platform entry" and
// "platform side": entry processes, which serve callers, and side processes, which keep the model engines at their
// target versions.
package node
