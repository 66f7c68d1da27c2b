package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

type change struct {
	at time.Time
	vm hub.VM
	// removed is true if the VM was removed from the list.
	removed bool
}

// Server is an HTTP handler that serves the list as it was a fixed time ago.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	down    bool
}

// New returns a server with an empty list on which each change appears after lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag}
}

// Put adds a VM or replaces the entry with the same ID.
func (s *Server) Put(vm hub.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: time.Now(), vm: vm})
}

// Remove removes the VM with the given ID.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: time.Now(), vm: hub.VM{Id: id}, removed: true})
}

// SetDown makes all calls fail with status 503, or restores normal operation.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP responds with the list as a JSON array of hub.VM, sorted by ID.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.listAt(time.Now().Add(-s.lag)))
}

// listAt returns the list as it was at time t.
func (s *Server) listAt(t time.Time) []hub.VM {
	byID := map[string]hub.VM{}
	for _, c := range s.changes {
		if c.at.After(t) {
			break
		}
		if c.removed {
			delete(byID, c.vm.Id)
		} else {
			byID[c.vm.Id] = c.vm
		}
	}
	vms := make([]hub.VM, 0, len(byID))
	for _, vm := range byID {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b hub.VM) int { return strings.Compare(a.Id, b.Id) })
	return vms
}
