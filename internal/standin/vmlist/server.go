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
	// removed is true for a VM that has left the list.
	removed bool
}

// Server serves the list as it was some time ago.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	down    bool
}

// New returns an empty list that shows each change after lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag}
}

// Put adds or changes a VM.
func (s *Server) Put(vm hub.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: time.Now(), vm: vm})
}

// Remove takes a VM off the list.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: time.Now(), vm: hub.VM{Id: id}, removed: true})
}

// SetDown makes every call fail, or ends that.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP returns the list as JSON.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.visible(time.Now().Add(-s.lag)))
}

func (s *Server) visible(until time.Time) []hub.VM {
	byID := map[string]hub.VM{}
	for _, c := range s.changes {
		if c.at.After(until) {
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
