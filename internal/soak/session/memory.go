package session

import (
	"context"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// memoryInterval is the time between two readings of the largest memory of a process, which the kernel keeps.
const memoryInterval = 200 * time.Millisecond

// measureMemory records the memory of all processes until ctx is done.
func (s *session) measureMemory(ctx context.Context) {
	for {
		s.recordAllMemory()
		if hub.Sleep(ctx, memoryInterval) != nil {
			return
		}
	}
}

func (s *session) recordAllMemory() {
	for name := range s.cluster.Processes {
		s.recordMemory(name)
	}
}

// recordMemory records the memory of a process, if it runs.
func (s *session) recordMemory(name string) {
	if bytes, run, ok := s.cluster.Processes[name].PeakMemory(); ok {
		s.record.AddMemory(record.Memory{Process: name, Run: run, Bytes: bytes})
	}
}

// seen returns the record, with the memory that the settings of the processes name.
func (s *session) seen(p *plan.Plan) *record.Seen {
	out := s.record.Seen()
	out.MemoryLimit = int64(p.Memory) << 20
	for name := range s.cluster.Processes {
		out.Processes = append(out.Processes, name)
	}
	return out
}
