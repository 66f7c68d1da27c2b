package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/upstream/engine"
)

// Answer is the body of every answer.
type Answer struct {
	Request string
	Method  string
	Path    string
	Number  int
	Body    string
}

// Runs counts the executions of each request; the instances of one service share it.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{counts: map[string]int{}}
}

// Add counts one execution of a request and returns the number of all executions.
func (r *Runs) Add(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[request]++
	r.total++
	return r.total
}

// Of returns how often a request was executed.
func (r *Runs) Of(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[request]
}

// Repeated returns the number of requests that were executed more than once.
func (r *Runs) Repeated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	repeated := 0
	for _, n := range r.counts {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// Server executes every request it is given and counts the executions.
type Server struct {
	runs *Runs

	mu     sync.Mutex
	delay  time.Duration
	before bool
	after  bool
}

// New returns a server that counts into runs.
func New(runs *Runs) *Server {
	return &Server{runs: runs}
}

// SetDelay sets the time that one execution takes.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// BreakNext cuts the connection of the next request, before or after it is executed.
func (s *Server) BreakNext(afterRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = !afterRun
	s.after = afterRun
}

// ServeHTTP executes a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	delay, before, after := s.delay, s.before, s.after
	s.before, s.after = false, false
	s.mu.Unlock()
	if before {
		panic(http.ErrAbortHandler)
	}
	request := r.Header.Get(engine.HeaderRequestID)
	number := s.runs.Add(request)
	time.Sleep(delay)
	if after {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Request: request, Method: r.Method, Path: r.URL.Path, Number: number, Body: string(body)})
}
