package kv

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/store"
)

// Counts holds the numbers of calls received, including failed ones.
type Counts struct {
	Reads uint64
	// Writes includes the calls that create, renew and revoke leases.
	Writes  uint64
	Watches uint64
	// Waiting is the number of watches that are waiting for a change.
	Waiting int
}

type record struct {
	data     []byte
	revision uint64
	lease    hub.LeaseID
}

// grant is the state of one lease.
type grant struct {
	ttl     time.Duration
	expires time.Time
}

// Server is the HTTP handler of a key-value store with compare-and-swap, leases and watches.
type Server struct {
	mu        sync.Mutex
	records   map[string]record
	leases    map[hub.LeaseID]grant
	revision  uint64
	nextLease uint64
	// changed is closed and replaced when waiting watches must check again.
	changed       chan struct{}
	counts        Counts
	down          bool
	delay         time.Duration
	repliesToDrop int
}

// New returns an empty store.
func New() *Server {
	return &Server{
		records: map[string]record{},
		leases:  map[hub.LeaseID]grant{},
		changed: make(chan struct{}),
	}
}

// SetDown makes all calls fail with status 503, or restores normal operation.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetDelay sets the time for which each call waits before it is processed.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseReplies makes the next n writes take effect but closes their connections without a response.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToDrop = n
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Expire ends a lease at once and deletes the keys attached to it.
func (s *Server) Expire(lease hub.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(lease)
}

// LeaseOf returns the lease to which key is attached, empty if there is none.
func (s *Server) LeaseOf(key string) hub.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key].lease
}

// ServeHTTP handles one call of the store's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r) {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	key, isKey := strings.CutPrefix(r.URL.Path, store.KeysPath)
	lease, isLease := strings.CutPrefix(r.URL.Path, store.LeasesPath)
	switch {
	case isKey && r.Method == http.MethodGet:
		s.read(w, r, key)
	case isKey && r.Method == http.MethodPut:
		s.write(w, r, key)
	case isLease && r.Method == http.MethodPost:
		s.grant(w, r)
	case isLease && r.Method == http.MethodPut:
		s.keepAlive(w, hub.LeaseID(lease))
	case isLease && r.Method == http.MethodDelete:
		s.revoke(w, hub.LeaseID(lease))
	default:
		http.Error(w, "unknown call", http.StatusBadRequest)
	}
}

// admit counts the call, waits for the configured delay and reports whether the store is up.
func (s *Server) admit(r *http.Request) bool {
	s.mu.Lock()
	delay := s.delay
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case r.URL.Query().Has(store.ParamAfter):
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	s.mu.Unlock()
	if delay > 0 {
		_ = hub.Sleep(r.Context(), delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	return !s.down
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get(store.ParamAfter), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get(store.ParamWaitMs), 10, 64)
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		rec, ok := s.records[key]
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		if ok && rec.revision > after {
			w.Header().Set(store.HeaderRevision, strconv.FormatUint(rec.revision, 10))
			_, _ = w.Write(rec.data)
			return
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			http.Error(w, "no newer value", http.StatusNotFound)
			return
		}
		s.wait(r.Context(), changed, min(remaining, time.Second))
		if r.Context().Err() != nil {
			return
		}
	}
}

func (s *Server) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	s.mu.Lock()
	s.counts.Waiting++
	s.mu.Unlock()
	timer := time.NewTimer(d)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	s.mu.Lock()
	s.counts.Waiting--
	s.deleteExpiredLeases()
	s.mu.Unlock()
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, hub.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "cut body", http.StatusBadRequest)
		return
	}
	if len(data) > hub.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	base, err := strconv.ParseUint(r.URL.Query().Get(store.ParamBase), 10, 64)
	if err != nil {
		http.Error(w, "base revision missing", http.StatusBadRequest)
		return
	}
	lease := hub.LeaseID(r.URL.Query().Get(store.ParamLease))
	code, revision, replyLost := s.compareAndSwap(key, base, data, lease)
	if replyLost {
		panic(http.ErrAbortHandler)
	}
	if code != http.StatusOK {
		http.Error(w, http.StatusText(code), code)
		return
	}
	w.Header().Set(store.HeaderRevision, strconv.FormatUint(revision, 10))
}

// compareAndSwap writes data if the revision of key is base. code is the HTTP status of the response. replyLost is true
// if the write took effect but the caller must not receive a response.
func (s *Server) compareAndSwap(key string, base uint64, data []byte, lease hub.LeaseID) (code int, revision uint64, replyLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; lease != "" && !ok {
		return http.StatusGone, 0, false
	}
	if s.records[key].revision != base {
		return http.StatusConflict, 0, false
	}
	s.revision++
	s.records[key] = record{data: data, revision: s.revision, lease: lease}
	s.notifyWatchers()
	if s.repliesToDrop > 0 {
		s.repliesToDrop--
		return http.StatusOK, s.revision, true
	}
	return http.StatusOK, s.revision, false
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	ttlMs, err := strconv.ParseInt(r.URL.Query().Get(store.ParamTtlMs), 10, 64)
	if err != nil || ttlMs <= 0 {
		http.Error(w, "ttl_ms missing", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := hub.LeaseID(fmt.Sprintf("lease-%d", s.nextLease))
	ttl := time.Duration(ttlMs) * time.Millisecond
	s.leases[id] = grant{ttl: ttl, expires: time.Now().Add(ttl)}
	_, _ = io.WriteString(w, string(id))
}

func (s *Server) keepAlive(w http.ResponseWriter, id hub.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		http.Error(w, "lease has lapsed", http.StatusGone)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	s.leases[id] = lease
}

func (s *Server) revoke(w http.ResponseWriter, id hub.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(id)
	w.WriteHeader(http.StatusOK)
}

// deleteExpiredLeases deletes the leases that were not renewed in time; the caller holds mu.
func (s *Server) deleteExpiredLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and the keys attached to it; the caller holds mu.
func (s *Server) deleteLease(id hub.LeaseID) {
	delete(s.leases, id)
	for key, rec := range s.records {
		if rec.lease == id && id != "" {
			delete(s.records, key)
		}
	}
	s.notifyWatchers()
}

// notifyWatchers makes all waiting watches check again; the caller holds mu.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
