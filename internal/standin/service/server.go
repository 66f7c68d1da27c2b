package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/upstream/engine"
)

// Answer is the JSON body of every response.
type Answer struct {
	// Request is the ID of the request; Method, Path and Body are copied from it.
	Request string
	Method  string
	Path    string
	// Number is the number of runs of all requests, including this one.
	Number int
	Body   string
}

// Runs counts the runs of each request. All instances of a service share one Runs.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

// NewRuns returns a Runs without any counts.
func NewRuns() *Runs {
	return &Runs{counts: map[string]int{}}
}

// Add counts one run of the request with the given ID and returns the number of runs of all requests.
func (r *Runs) Add(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[request]++
	r.total++
	return r.total
}

// Of returns how often the request with the given ID was run.
func (r *Runs) Of(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[request]
}

// Repeated returns the number of requests that were run more than once.
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

// Server is the HTTP handler of one instance. It runs every request that it receives and counts the runs.
type Server struct {
	runs *Runs

	mu          sync.Mutex
	delay       time.Duration
	breakBefore bool
	breakAfter  bool
}

// New returns a server that counts its runs in runs.
func New(runs *Runs) *Server {
	return &Server{runs: runs}
}

// SetDelay sets the duration of one run.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// BreakNext closes the connection of the next request without a response, before the request is run or, if afterRun
// is set, after it.
func (s *Server) BreakNext(afterRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakBefore = !afterRun
	s.breakAfter = afterRun
}

// ServeHTTP runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	delay, breakBefore, breakAfter := s.delay, s.breakBefore, s.breakAfter
	s.breakBefore, s.breakAfter = false, false
	s.mu.Unlock()
	if breakBefore {
		panic(http.ErrAbortHandler)
	}
	request := r.Header.Get(engine.HeaderRequestID)
	number := s.runs.Add(request)
	time.Sleep(delay)
	if breakAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Request: request, Method: r.Method, Path: r.URL.Path, Number: number, Body: string(body)})
}
