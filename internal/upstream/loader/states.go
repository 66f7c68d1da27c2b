package loader

import "github.com/looplab/fsm"

// States and events of a loader, named as in the Promela model spec/loads.pml.
const (
	StateIdle     = "idle"
	StateFetching = "fetching"
	StateWaiting  = "waiting"
	StateDraining = "draining"
	StateLoading  = "loading"
	StateServing  = "serving"

	EventFetch  = "fetch"
	EventHeld   = "held"
	EventDrain  = "drain"
	EventOrder  = "order"
	EventServe  = "serve"
	EventRetire = "retire"
)

var transitions = fsm.Events{
	{Name: EventFetch, Src: []string{StateIdle}, Dst: StateFetching},
	{Name: EventHeld, Src: []string{StateFetching}, Dst: StateWaiting},
	{Name: EventDrain, Src: []string{StateWaiting}, Dst: StateDraining},
	{Name: EventOrder, Src: []string{StateDraining}, Dst: StateLoading},
	{Name: EventServe, Src: []string{StateLoading, StateIdle}, Dst: StateServing},
	{Name: EventRetire, Src: []string{StateFetching, StateWaiting, StateDraining, StateLoading, StateServing}, Dst: StateIdle},
}
