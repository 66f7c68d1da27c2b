package origin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/source"
)

// maxWriteBytes is the maximum size of one rate-limited write.
const maxWriteBytes = 16 << 10

// Publication is one published version.
type Publication struct {
	Content []byte
	// Encoded is the encoded form of Manifest.
	Encoded  []byte
	Manifest manifest.Manifest
}

// Server is an HTTP handler that serves published weights, with limits on its bandwidth and on the rate of calls.
type Server struct {
	mu          sync.Mutex
	published   map[string]Publication
	sendLimiter *rate.Limiter
	callLimiter *rate.Limiter
	stalled     bool
	refusing    bool
	corruptNext int

	bytesSent atomic.Int64
	refused   atomic.Int64
}

// New returns a server with no publications and no limits.
func New() *Server {
	return &Server{
		published:   map[string]Publication{},
		sendLimiter: rate.NewLimiter(rate.Inf, maxWriteBytes),
		callLimiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// Publish makes content available as version and returns its manifest; it replaces an earlier publication of that
// version. If chunkBytes is 0, the default chunk size for the content is used.
func (s *Server) Publish(version string, content []byte, chunkBytes int) (manifest.Manifest, error) {
	if chunkBytes == 0 {
		chunkBytes = manifest.DefaultChunkBytes(int64(len(content)))
	}
	m, err := manifest.Build(version, strings.NewReader(string(content)), chunkBytes)
	if err != nil {
		return m, err
	}
	encoded, err := m.Encode()
	if err != nil {
		return m, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[version] = Publication{Content: content, Encoded: encoded, Manifest: m}
	return m, nil
}

// LimitLink limits the bandwidth of the server's network link. The burst is the data of 20 ms, but no less than
// one write.
func (s *Server) LimitLink(bytesPerSecond float64) {
	s.sendLimiter.SetLimit(rate.Limit(bytesPerSecond))
	s.sendLimiter.SetBurst(max(maxWriteBytes, int(bytesPerSecond/50)))
}

// LimitCalls limits the rate of calls; calls above the limit are rejected with status 429.
func (s *Server) LimitCalls(perSecond float64, burst int) {
	s.callLimiter.SetLimit(rate.Limit(perSecond))
	s.callLimiter.SetBurst(burst)
}

// SetStalled suspends all transfers without closing their connections, or resumes them.
func (s *Server) SetStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

// SetRefusing makes the server reject all calls with status 429, or restores normal operation.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// CorruptNext makes the server invert one byte in each of the next n content responses.
func (s *Server) CorruptNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corruptNext = n
}

// BytesSent returns the number of bytes of content and manifests sent so far.
func (s *Server) BytesSent() int64 { return s.bytesSent.Load() }

// Refused returns the number of calls rejected so far with status 429.
func (s *Server) Refused() int64 { return s.refused.Load() }

// ServeHTTP handles a request for a manifest or for a byte range of the content.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), source.WeightsPath)
	escaped, name, found := strings.Cut(rest, "/")
	version, err := url.PathUnescape(escaped)
	if !ok || !found || err != nil {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	p, known := s.published[version]
	refusing := s.refusing
	s.mu.Unlock()
	switch {
	case refusing || !s.callLimiter.Allow():
		s.refused.Add(1)
		http.Error(w, "rate limit reached", http.StatusTooManyRequests)
	case !known:
		http.NotFound(w, r)
	case "/"+name == source.ManifestName:
		s.send(r.Context(), w, p.Encoded)
	case "/"+name == source.ContentName:
		s.sendRange(w, r, p.Content)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) sendRange(w http.ResponseWriter, r *http.Request, content []byte) {
	var first, last int64
	if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil {
		http.Error(w, "want one byte range", http.StatusBadRequest)
		return
	}
	size := int64(len(content))
	if first < 0 || first >= size || last < first {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes */%d", size))
		http.Error(w, "range outside the content", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	last = min(last, size-1)
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, size))
	w.Header().Set("Content-Length", fmt.Sprint(last-first+1))
	w.WriteHeader(http.StatusPartialContent)
	s.send(r.Context(), w, s.corruptIfRequested(content[first:last+1]))
}

func (s *Server) corruptIfRequested(data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.corruptNext == 0 {
		return data
	}
	s.corruptNext--
	corrupted := append([]byte(nil), data...)
	corrupted[len(corrupted)/2] ^= 0xff
	return corrupted
}

func (s *Server) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	for len(data) > 0 {
		n := min(maxWriteBytes, len(data))
		if s.waitWhileStalled(ctx) != nil || s.sendLimiter.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		s.bytesSent.Add(int64(n))
		data = data[n:]
	}
}

func (s *Server) waitWhileStalled(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	for {
		s.mu.Lock()
		stalled := s.stalled
		s.mu.Unlock()
		if !stalled {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(poll):
		}
	}
}
