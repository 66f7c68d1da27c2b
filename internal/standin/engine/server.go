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

// Options describe one engine.
type Options struct {
	// ChecksFence is true for an engine that refuses an old fencing number.
	ChecksFence bool
	// Capacity is the number of concurrent requests that a warm engine bears.
	Capacity int
	// ColdCapacity is the number that an engine bears which has just loaded.
	ColdCapacity int
	// WarmRequests is the number of answers after which an engine is warm.
	WarmRequests int
	// TokenTime is the time for one token within the capacity.
	TokenTime time.Duration
	// LoadTime is added to the reading of the weights.
	LoadTime time.Duration
	// ReportLag delays the load numbers that the engine reports.
	ReportLag time.Duration
}

// Observations is what an engine has seen, for checks from outside.
type Observations struct {
	Answers int
	// Mixed counts the answers during which the weights were changed.
	Mixed int
	// Wrong counts the answers given without complete weights.
	Wrong int
	// ByDigest counts the answers by the digest they came from.
	ByDigest map[string]int
	// Loads lists the digests loaded, in order.
	Loads []string
	// Refused counts the orders refused for their fencing number.
	Refused int
	// Overloaded counts the requests that arrived above twice the capacity, which fail.
	Overloaded int
	// OverLimit counts the requests that arrived above the capacity.
	OverLimit int
	// MaxRunning is the highest number of concurrent requests.
	MaxRunning int
	// Cancelled counts the answers whose caller left.
	Cancelled int
}

// Server is one engine.
type Server struct {
	options Options

	mu       sync.Mutex
	version  string
	digest   string
	fence    uint64
	loading  bool
	loads    int
	running  int
	served   int
	seen     Observations
	runs     map[string]int
	reported hub.EngineStatus
	at       time.Time
	frozen   bool
	failNext int
}

// New returns an engine without weights.
func New(options Options) *Server {
	return &Server{options: options, runs: map[string]int{}, seen: Observations{ByDigest: map[string]int{}}}
}

// Observations returns a copy of what the engine has seen.
func (s *Server) Observations() Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.seen
	out.ByDigest = map[string]int{}
	for k, v := range s.seen.ByDigest {
		out.ByDigest[k] = v
	}
	out.Loads = append([]string(nil), s.seen.Loads...)
	return out
}

// Runs returns how often a request was executed.
func (s *Server) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// TurnCold makes the engine bear only its cold capacity again.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = 0
}

// SetFrozen makes answers in progress and new ones stand still, or lets them go on.
func (s *Server) SetFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

// FailNext makes the next n answers break in their middle.
func (s *Server) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failNext = n
}

// ServeHTTP answers control calls and completions.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case client.StatusPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.status())
	case client.LoadPath:
		s.load(w, r)
	default:
		s.complete(w, r)
	}
}

// status reports the digest at once and the load numbers with the configured lag.
func (s *Server) status() hub.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.at) >= s.options.ReportLag {
		s.reported = hub.EngineStatus{Running: s.running}
		s.at = time.Now()
	}
	status := s.reported
	status.Version, status.Digest, status.Fence, status.Loading = s.version, s.digest, s.fence, s.loading
	return status
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var order hub.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence && order.Fence < s.fence {
		s.seen.Refused++
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	if s.options.ChecksFence {
		s.fence = order.Fence
	}
	s.loading = true
	s.loads++
	go s.fetch(order, s.loads)
	w.WriteHeader(http.StatusAccepted)
}

// fetch reads the weights as the order says and swaps them in, unless a later order has come.
func (s *Server) fetch(order hub.EngineOrder, load int) {
	digest, err := readDigest(order.Source)
	time.Sleep(s.options.LoadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if load != s.loads {
		return
	}
	s.loading = false
	if err != nil {
		return
	}
	if s.running > 0 {
		s.seen.Mixed += s.running
	}
	s.version, s.digest, s.served = order.Version, digest, 0
	s.seen.Loads = append(s.seen.Loads, digest)
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

// Prompt is the body of a completion request.
type Prompt struct {
	Prompt string
	Tokens int
}

// Completion returns the whole body that answers a prompt for a request.
func Completion(request string, p Prompt) string {
	out := ""
	for i := range p.Tokens {
		out += token(request, i)
	}
	return out
}

func token(request string, i int) string {
	return fmt.Sprintf("%s:%d ", request, i)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var p Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.Tokens <= 0 {
		http.Error(w, "want a JSON body with Prompt and Tokens", http.StatusBadRequest)
		return
	}
	request := r.Header.Get(client.HeaderRequestID)
	digest, fail, ok := s.begin(request)
	defer s.end()
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
			s.cancelled()
			panic(http.ErrAbortHandler)
		}
		if fail && i == p.Tokens/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, token(request, i))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

func (s *Server) begin(request string) (digest string, fail, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.seen.MaxRunning = max(s.seen.MaxRunning, s.running)
	if s.running > s.capacity() {
		s.seen.OverLimit++
	}
	if s.digest == "" {
		s.seen.Wrong++
		return "", false, false
	}
	if s.running > 2*s.capacity() {
		s.seen.Overloaded++
		return "", false, false
	}
	s.runs[request]++
	s.seen.Answers++
	s.seen.ByDigest[s.digest]++
	if s.failNext > 0 {
		s.failNext--
		fail = true
	}
	return s.digest, fail, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
}

func (s *Server) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Cancelled++
}

// capacity grows in a line from the cold to the warm capacity with the answers served.
func (s *Server) capacity() int {
	if s.served >= s.options.WarmRequests {
		return s.options.Capacity
	}
	span := s.options.Capacity - s.options.ColdCapacity
	return s.options.ColdCapacity + span*s.served/s.options.WarmRequests
}

// tokenTime returns the time that one token takes now; it grows with the square of the overload.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := float64(s.running) / float64(max(1, s.capacity()))
	if load <= 1 {
		return s.options.TokenTime
	}
	return time.Duration(float64(s.options.TokenTime) * load * load)
}

// waitToken waits until a token is due, and for as long as the engine is frozen.
// Tokens are due by the clock, so that timers which fire late don't make the engine slower.
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
