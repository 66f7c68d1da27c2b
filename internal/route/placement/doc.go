// Package placement chooses the upstream of each request on the platform by predicted load and distance, and lets
// requests wait by priority and client account while no upstream has room.
package placement
