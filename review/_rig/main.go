// Command rig plays the scripts of the review: it starts stand-ins of the platform and the processes of the project on
// loopback addresses, plays one scenario and judges what clients and workers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit ends a scenario that takes too long.
const timeLimit = 112 * time.Second

const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario plays a case. trouble is false if the disruption is to be left out. It returns whether the rule was broken.
type scenario func(s *site, trouble bool) (bool, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO ROOT RECORD")
		os.Exit(failed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(play(scenarios[os.Args[1]], r, root))
}

func play(f scenario, r *record, root string) int {
	defer r.close()
	s, err := newSite(r, root)
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	defer s.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		b, err := f(s, os.Getenv("TROUBLE") != "0")
		done <- outcome{b, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var result outcome
	select {
	case result = <-done:
	case <-stop:
		result.err = errors.New("interrupted")
	case <-time.After(timeLimit):
		result.err = errors.New("it took too long")
	}
	wasBroken, err := result.broken, result.err
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return failed
	case wasBroken:
		r.say("the rule was BROKEN")
		return broken
	default:
		r.say("the rule held")
		return held
	}
}
