// Package node assembles the processes that run on the platform: entry processes, which serve callers, and side
// processes, which keep the model engines at their target versions.
package node
