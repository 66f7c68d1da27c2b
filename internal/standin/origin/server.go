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

// writeBytes is the length of one paced write.
const writeBytes = 16 << 10

// Publication is one version with its content and manifest.
type Publication struct {
	Content  []byte
	Encoded  []byte
	Manifest manifest.Manifest
}

// Server serves published weights at a limited rate.
type Server struct {
	mu        sync.Mutex
	published map[string]Publication
	link      *rate.Limiter
	calls     *rate.Limiter
	stalled   bool
	refusing  bool
	corrupt   int

	sent    atomic.Int64
	refused atomic.Int64
}

// New returns a server without publications and without limits.
func New() *Server {
	return &Server{
		published: map[string]Publication{},
		link:      rate.NewLimiter(rate.Inf, writeBytes),
		calls:     rate.NewLimiter(rate.Inf, 1),
	}
}

// Publish makes content available as version and returns its manifest; an earlier publication is replaced.
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

// LimitLink bounds the bytes a second that the server sends.
func (s *Server) LimitLink(bytesPerSecond float64) {
	s.link.SetLimit(rate.Limit(bytesPerSecond))
	s.link.SetBurst(max(writeBytes, int(bytesPerSecond/50)))
}

// LimitCalls bounds the content calls a second; calls beyond are refused.
func (s *Server) LimitCalls(perSecond float64, burst int) {
	s.calls.SetLimit(rate.Limit(perSecond))
	s.calls.SetBurst(burst)
}

// SetStalled makes all transfers stand still without closing, or lets them go on.
func (s *Server) SetStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

// SetRefusing makes every call be refused for its rate, or ends that.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// CorruptNext flips a byte in each of the next n content answers.
func (s *Server) CorruptNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = n
}

// BytesSent returns the bytes of content and manifests sent so far.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// Refused returns the calls refused for their rate so far.
func (s *Server) Refused() int64 { return s.refused.Load() }

// ServeHTTP answers one call for a manifest or a range of content.
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
	case refusing || !s.calls.Allow():
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
	s.send(r.Context(), w, s.maybeCorrupt(content[first:last+1]))
}

func (s *Server) maybeCorrupt(data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.corrupt == 0 {
		return data
	}
	s.corrupt--
	changed := append([]byte(nil), data...)
	changed[len(changed)/2] ^= 0xff
	return changed
}

func (s *Server) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	for len(data) > 0 {
		n := min(writeBytes, len(data))
		if s.waitWhileStalled(ctx) != nil || s.link.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		s.sent.Add(int64(n))
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
