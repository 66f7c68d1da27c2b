package trace

import (
	"fmt"
	"sync"
	"time"
)

// Step is one event in the handling of a request.
type Step struct {
	Time     time.Time
	Event    string
	Upstream string
	Attempt  string
	Detail   string
}

// String returns the step as one line.
func (s Step) String() string {
	line := s.Time.UTC().Format("15:04:05.000") + "  " + s.Event
	if s.Upstream != "" {
		line += "  " + s.Upstream
	}
	if s.Attempt != "" {
		line += "  attempt " + s.Attempt
	}
	if s.Detail != "" {
		line += "  (" + s.Detail + ")"
	}
	return line
}

// Record holds the steps of one request.
type Record struct {
	Id    string
	mu    sync.Mutex
	steps []Step
}

// Add appends a step and sets its time.
func (r *Record) Add(s Step) {
	s.Time = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, s)
}

// Lines returns one line per step.
func (r *Record) Lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := make([]string, len(r.steps))
	for i, s := range r.steps {
		lines[i] = s.String()
	}
	return lines
}

// shards is the number of shards among which the requests are distributed, to reduce lock contention.
const shards = 64

// Buffer stores the records of the most recent requests.
type Buffer struct {
	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*Record
	// ring holds the IDs of the records in the order of Open; next is the index that is overwritten next.
	ring []string
	next int
}

// NewBuffer returns a Buffer of about size records, at least one per shard.
func NewBuffer(size int) *Buffer {
	b := &Buffer{}
	for i := range b.shards {
		b.shards[i].records = map[string]*Record{}
		b.shards[i].ring = make([]string, max(1, size/shards))
	}
	return b
}

// Open returns a new record for a request and deletes the oldest one of its shard if that is full.
func (b *Buffer) Open(id string) *Record {
	r := &Record{Id: id}
	s := &b.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.ring[s.next]; old != "" {
		delete(s.records, old)
	}
	s.ring[s.next] = id
	s.next = (s.next + 1) % len(s.ring)
	s.records[id] = r
	return r
}

// Find returns the record of a request, or an error if it is not or no longer stored.
func (b *Buffer) Find(id string) (*Record, error) {
	s := &b.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return nil, fmt.Errorf("request %q is not among the recent ones of this process", id)
	}
	return r, nil
}

// shardOf returns the shard of a request ID, by its FNV-1a hash.
func shardOf(id string) int {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % shards)
}
