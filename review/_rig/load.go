package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// load sends requests at a steady rate, spread over the entry processes, on kept channels.
type load struct {
	site    *site
	client  *http.Client
	running sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]time.Time
	entry   map[string]*process
	answers map[string]answer
	n       int
}

func newLoad(s *site) *load {
	return &load{site: s, client: newClient(), sent: map[string]time.Time{}, entry: map[string]*process{}, answers: map[string]answer{}}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
}

// request is one request of a load.
type request struct {
	method, host, path string
	timeout            time.Duration
	set                func(http.Header)
}

// every calls make at a steady rate for a time and sends what it returns. It doesn't wait for the answers.
func (l *load) every(ctx context.Context, pause, length time.Duration, prefix string, make func(n int) request) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	end := time.After(length)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-ticker.C:
			l.send(ctx, prefix, make)
		}
	}
}

func (l *load) send(ctx context.Context, prefix string, make func(n int) request) {
	l.mu.Lock()
	l.n++
	n := l.n
	id := fmt.Sprintf("%s%06d", prefix, n)
	p := l.site.entries[n%len(l.site.entries)]
	l.sent[id], l.entry[id] = time.Now(), p
	l.mu.Unlock()
	r := make(n)
	l.running.Go(func() {
		a := l.site.call(ctx, l.client, p, r.method, r.host, r.path, id, r.timeout, r.set, nil)
		l.mu.Lock()
		l.answers[id] = a
		l.mu.Unlock()
	})
}

func stream(parts func(n int) string) func(n int) request {
	return func(n int) request {
		return request{http.MethodPost, "note.example", "/note/x", 6 * time.Second, func(h http.Header) {
			h.Set(name("model"), "m0")
			h.Set(name("usage"), "500,70")
			h.Set(name("parts"), parts(n))
		}}
	}
}
