package placement

import (
	"math"
	"sync/atomic"
	"time"
)

// pressureTime is the time constant with which old outcomes are forgotten.
const pressureTime = time.Second

// pressure is the recent share of the requests of a service for which no upstream had room. It is safe for concurrent use.
type pressure struct {
	state atomic.Pointer[pressureState]
}

// pressureState holds decayed numbers of requests at one time.
type pressureState struct {
	time    time.Time
	refused float64
	all     float64
}

// add counts a request that has got a slot or has been refused one.
func (p *pressure) add(refused bool, now time.Time) {
	for {
		old := p.state.Load()
		next := old.at(now)
		next.all++
		if refused {
			next.refused++
		}
		if p.state.CompareAndSwap(old, &next) {
			return
		}
	}
}

// share returns the share of refused requests, from 0 to 1.
func (p *pressure) share(now time.Time) float64 {
	s := p.state.Load().at(now)
	if s.all < 1 {
		return 0
	}
	return s.refused / s.all
}

// at returns the state decayed to the time now; s may be nil.
func (s *pressureState) at(now time.Time) pressureState {
	if s == nil {
		return pressureState{time: now}
	}
	keep := math.Exp(-max(0, now.Sub(s.time).Seconds()) / pressureTime.Seconds())
	return pressureState{time: now, refused: keep * s.refused, all: keep * s.all}
}
