package stager

import "github.com/looplab/fsm"

// States of a stager: the progress of its engine towards the target version.
const (
	StateIdle     = "idle"
	StateFetching = "fetching"
	StateHeld     = "held"
	StateLoading  = "loading"
	StateServing  = "serving"
)

// Events that change the state.
const (
	EventFetch  = "fetch"
	EventHeld   = "held"
	EventOrder  = "order"
	EventServe  = "serve"
	EventReset  = "reset"
	EventFailed = "failed"
)

var transitions = fsm.Events{
	{Name: EventFetch, Src: []string{StateIdle, StateServing}, Dst: StateFetching},
	{Name: EventHeld, Src: []string{StateFetching}, Dst: StateHeld},
	{Name: EventOrder, Src: []string{StateHeld}, Dst: StateLoading},
	{Name: EventFailed, Src: []string{StateLoading}, Dst: StateHeld},
	{Name: EventServe, Src: []string{StateIdle, StateFetching, StateHeld, StateLoading}, Dst: StateServing},
	{Name: EventReset, Src: []string{StateFetching, StateHeld, StateLoading, StateServing}, Dst: StateIdle},
}
