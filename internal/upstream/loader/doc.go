// Package loader brings the agreed version into the upstream's engine: it fetches, waits for its turn,
// drains the upstream, orders the load and checks what the engine then holds.
package loader
