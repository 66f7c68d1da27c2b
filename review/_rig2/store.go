package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a page of a range read.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// store is the platform's store: keys with revisions, range reads in pages, and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = i
	s.add(i)
	return time.Now()
}

func (s *store) add(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case name("range"):
		s.serveRange(w, r)
	case name("watch"):
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get(name("prefix")), r.URL.Query().Get("after")
	s.mu.Lock()
	var all []item
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			all = append(all, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(all) && n < maxPageItems && (n == 0 || size+len(all[n].Value) <= maxPageBytes) {
		size += len(all[n].Value)
		n++
	}
	writeJSON(w, map[string]any{"items": append([]item{}, all[:n]...), "has_more": n < len(all), "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get(name("prefix"))) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
