package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	client "github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// Options configure a simulated engine.
type Options struct {
	// ChecksFence makes the engine reject orders whose fencing token is lower than one that it has accepted.
	ChecksFence bool
	// Capacity is the number of concurrent requests that a warm engine serves at full speed.
	Capacity int
	// ColdCapacity is the number of concurrent requests that the engine serves at full speed right after a load.
	ColdCapacity int
	// WarmRequests is the number of requests after a load until the engine reaches Capacity.
	WarmRequests int
	// TokenTime is the time to generate one token while the number of requests is within the capacity.
	TokenTime time.Duration
	// LoadTime is the duration of a load in addition to the time to read the weights.
	LoadTime time.Duration
	// ReportLag is the minimum time between two updates of the reported number of running requests.
	ReportLag time.Duration
}

// Observations are counters that tests and experiments compare with the expected behaviour.
type Observations struct {
	// Answers counts the requests for which an answer was started.
	Answers int
	// Mixed counts the requests that were in progress while the weights were replaced.
	Mixed int
	// Wrong counts the requests that arrived while no weights were loaded; they fail.
	Wrong int
	// ByDigest counts the answers by the digest of the weights that were loaded when they started.
	ByDigest map[string]int
	// Loads lists the digests of the loaded weights, in order.
	Loads []string
	// Refused counts the load orders rejected because of their fencing token.
	Refused int
	// Overloaded counts the requests that brought the number in progress above twice the capacity; they fail.
	Overloaded int
	// OverLimit counts the requests that brought the number in progress above the capacity.
	OverLimit int
	// MaxRunning is the highest number of concurrent requests.
	MaxRunning int
	// Cancelled counts the answers whose caller closed the connection before the end.
	Cancelled int
}

// Server is the HTTP handler of one simulated engine.
type Server struct {
	options Options

	mu      sync.Mutex
	version string
	digest  string
	fence   uint64
	loading bool
	// lastLoad is the sequence number of the latest accepted load order.
	lastLoad        int
	running         int
	servedSinceLoad int
	observed        Observations
	runsByRequest   map[string]int
	reported        hub.EngineStatus
	reportedAt      time.Time
	frozen          bool
	failNext        int
}

// New returns an engine with no weights loaded.
func New(options Options) *Server {
	return &Server{options: options, runsByRequest: map[string]int{}, observed: Observations{ByDigest: map[string]int{}}}
}

// Observations returns a copy of the counters.
func (s *Server) Observations() Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.observed
	out.ByDigest = map[string]int{}
	for k, v := range s.observed.ByDigest {
		out.ByDigest[k] = v
	}
	out.Loads = append([]string(nil), s.observed.Loads...)
	return out
}

// Runs returns how often the request with the given ID was run.
func (s *Server) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByRequest[request]
}

// ResetWarmup reduces the capacity to ColdCapacity, as after a load.
func (s *Server) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servedSinceLoad = 0
}

// SetFrozen suspends the output of all current and new answers, or resumes it.
func (s *Server) SetFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

// FailNext aborts the connections of the next n answers after half of their tokens.
func (s *Server) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failNext = n
}

// ServeHTTP handles status requests, load orders and completion requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case client.StatusPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.status())
	case client.LoadPath:
		s.serveLoad(w, r)
	default:
		s.serveCompletion(w, r)
	}
}

// status returns the current version, digest and fencing token, and a number of running requests that is refreshed at
// most once per Options.ReportLag.
func (s *Server) status() hub.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reportedAt) >= s.options.ReportLag {
		s.reported = hub.EngineStatus{Running: s.running}
		s.reportedAt = time.Now()
	}
	status := s.reported
	status.Version, status.Digest, status.Fence, status.Loading = s.version, s.digest, s.fence, s.loading
	return status
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order hub.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence && order.Fence < s.fence {
		s.observed.Refused++
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	if s.options.ChecksFence {
		s.fence = order.Fence
	}
	s.loading = true
	s.lastLoad++
	go s.loadWeights(order, s.lastLoad)
	w.WriteHeader(http.StatusAccepted)
}

// loadWeights reads the weights from order.Source and replaces the loaded ones, unless a later order has been accepted
// meanwhile. load is the sequence number of the order.
func (s *Server) loadWeights(order hub.EngineOrder, load int) {
	digest, err := readDigest(order.Source)
	time.Sleep(s.options.LoadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if load != s.lastLoad {
		return
	}
	s.loading = false
	if err != nil {
		return
	}
	if s.running > 0 {
		s.observed.Mixed += s.running
	}
	s.version, s.digest, s.servedSinceLoad = order.Version, digest, 0
	s.observed.Loads = append(s.observed.Loads, digest)
}

func readDigest(url string) (string, error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("read weights: status %d", resp.StatusCode)
	}
	h := manifest.NewHash()
	if _, err := io.Copy(h, resp.Body); err != nil {
		return "", fmt.Errorf("read weights: %w", err)
	}
	return manifest.FormatDigest(h), nil
}

// Prompt is the JSON body of a completion request.
type Prompt struct {
	Prompt string
	// Tokens is the number of tokens to generate.
	Tokens int
}

// Completion returns the complete response body for the prompt p sent under the given request ID.
func Completion(request string, p Prompt) string {
	out := ""
	for i := range p.Tokens {
		out += formatToken(request, i)
	}
	return out
}

func formatToken(request string, i int) string {
	return fmt.Sprintf("%s:%d ", request, i)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var p Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.Tokens <= 0 {
		http.Error(w, "want a JSON body with Prompt and Tokens", http.StatusBadRequest)
		return
	}
	request := r.Header.Get(client.HeaderRequestID)
	digest, fail, ok := s.beginRequest(request)
	defer s.endRequest()
	if !ok {
		http.Error(w, "engine is overloaded or has no weights", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(client.HeaderDigest, digest)
	w.WriteHeader(http.StatusOK)
	due := time.Now()
	for i := range p.Tokens {
		due = due.Add(s.tokenTime())
		if s.waitToken(r.Context(), due) != nil {
			s.countCancelled()
			panic(http.ErrAbortHandler)
		}
		if fail && i == p.Tokens/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, formatToken(request, i))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

func (s *Server) beginRequest(request string) (digest string, fail, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.observed.MaxRunning = max(s.observed.MaxRunning, s.running)
	if s.running > s.capacity() {
		s.observed.OverLimit++
	}
	if s.digest == "" {
		s.observed.Wrong++
		return "", false, false
	}
	if s.running > 2*s.capacity() {
		s.observed.Overloaded++
		return "", false, false
	}
	s.runsByRequest[request]++
	s.observed.Answers++
	s.observed.ByDigest[s.digest]++
	if s.failNext > 0 {
		s.failNext--
		fail = true
	}
	return s.digest, fail, true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.servedSinceLoad++
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.Cancelled++
}

// capacity returns the current capacity, which grows linearly from ColdCapacity to Capacity with the requests served
// since the last load.
func (s *Server) capacity() int {
	if s.servedSinceLoad >= s.options.WarmRequests {
		return s.options.Capacity
	}
	span := s.options.Capacity - s.options.ColdCapacity
	return s.options.ColdCapacity + span*s.servedSinceLoad/s.options.WarmRequests
}

// tokenTime returns the current time per token. Above the capacity it grows with the square of the ratio of running
// requests to the capacity.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.running) / float64(max(1, s.capacity()))
	if load <= 1 {
		return s.options.TokenTime
	}
	return time.Duration(float64(s.options.TokenTime) * load * load)
}

// waitToken waits until due, and longer while the engine is frozen. It returns ctx.Err() if ctx is done first.
// The caller derives due from the previous due time and not from the current time, so that timers which fire late
// do not reduce the token rate.
func (s *Server) waitToken(ctx context.Context, due time.Time) error {
	const poll = 20 * time.Millisecond
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		wait := time.Until(due)
		if frozen {
			wait = poll
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		if !frozen {
			return nil
		}
	}
}
