package concurrency

import (
	"math"
	"sync/atomic"
)

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

// Load returns the value.
func (f *atomicFloat) Load() float64 { return math.Float64frombits(f.bits.Load()) }

// Store sets the value.
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }
