package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: range reads, watches and a history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]stored
	history  []stored
	changed  chan struct{}
}

type stored struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, items: map[string]stored{}, changed: make(chan struct{})}
}

// put writes a key unless it has this value already.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	if ok && string(old.Value) == string(value) {
		return
	}
	s.revision++
	i := stored{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Created: s.revision}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.add(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(stored{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) add(i stored) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(name("era"), "1")
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
	const perPage = 50
	prefix, after := queryPrefix(r), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []stored{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			page = append(page, i)
		}
	}
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	more := len(page) > perPage
	writeJSON(w, map[string]any{"items": page[:min(len(page), perPage)], "has_more": more, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := queryPrefix(r)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []stored{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// queryPrefix returns the key prefix in the query, whose only name that ends so it is.
func queryPrefix(r *http.Request) string {
	for key, values := range r.URL.Query() {
		if strings.HasSuffix(key, "_prefix") {
			return values[0]
		}
	}
	return ""
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
