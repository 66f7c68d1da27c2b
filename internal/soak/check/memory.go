package check

import (
	"slices"

	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// checkMemory checks that each process keeps to the memory in its settings, also while callers outside the limits have
// connections to it. No disturbance excuses more, and a process that was not measured has not kept to it.
func (c *checker) checkMemory() {
	if c.MemoryLimit == 0 {
		return
	}
	for _, m := range c.Memory {
		if m.Bytes > c.MemoryLimit {
			c.add(WithinMemory, m.At, "%s held %d KiB in its run %d, its settings name %d KiB", m.Process, m.Bytes>>10, m.Run, c.MemoryLimit>>10)
		}
	}
	for _, process := range c.Processes {
		if !slices.ContainsFunc(c.Memory, func(m record.Memory) bool { return m.Process == process }) {
			c.add(WithinMemory, 0, "the memory of %s was not measured", process)
		}
	}
}
