package call

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/upstream/attempt"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const testIncarnation = 7

// recorder is a sink that stores the status and the body.
type recorder struct {
	status int
	body   strings.Builder
}

func (r *recorder) Head(status int, _ []*message.Header, _ string) error {
	r.status = status
	return nil
}

func (r *recorder) Body(data []byte) error {
	r.body.Write(data)
	return nil
}

// testBench is a client and the attempt server of a side process on a simulated network on which connections can be
// made to drop all traffic.
type testBench struct {
	network *network.Network
	client  *Client
	address string
	ledger  *attempt.Ledger
	server  *attempt.Server
	runs    atomic.Int64
	release chan struct{}
}

// withTestBench starts an upstream that sends "begin ", waits until release is closed and sends "end".
func withTestBench(t *testing.T, wrap func(message.DRPCAttemptsServer) message.DRPCAttemptsServer) *testBench {
	t.Helper()
	b := &testBench{network: network.New(network.Options{}), ledger: attempt.NewLedger(), release: make(chan struct{})}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		fmt.Fprint(w, "begin ")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-b.release:
		case <-r.Context().Done():
		}
		fmt.Fprint(w, "end")
	}))
	t.Cleanup(upstream.Close)
	base, err := url.Parse(upstream.URL)
	assert.NilError(t, err)
	g := guard.New(guard.Options{MaxConcurrent: 8, StartConcurrent: 8, SlowStartRequests: 1})
	g.Unblock(guard.ReasonNoRules)
	g.Unblock(guard.ReasonNotLoaded)
	b.server = attempt.NewServer(attempt.ServerOptions{
		Incarnation: testIncarnation, Group: "g", Guard: g, Ledger: b.ledger,
		Runner: attempt.NewRunner(base, true, func(int) {}), Root: func() string { return "" }, Log: journal.Discard().Logger(journal.Routing),
	})
	var served message.DRPCAttemptsServer = b.server
	if wrap != nil {
		served = wrap(b.server)
	}
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterAttempts(mux, served))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.Serve(l, mux, func(error) {})
	t.Cleanup(server.Close)
	b.address = server.Address()
	dialer := b.network.Dialer(b.network.NewNode("entry", "d", "r"))
	l2 := link.NewClient(dialer)
	t.Cleanup(func() { _ = l2.Close() })
	b.client = NewClient(l2)
	return b
}

func testRequest(id string) *message.RunRequest {
	return &message.RunRequest{AttemptId: id, RequestId: "r", Group: "g", Method: "POST", Target: "/x", Incarnation: testIncarnation}
}

func (b *testBench) do(ctx context.Context, id string) (Result, *recorder) {
	r := &recorder{}
	return b.client.Do(ctx, b.address, testRequest(id), r), r
}

func TestCompleteResponse(t *testing.T) {
	b := withTestBench(t, nil)
	close(b.release)
	result, got := b.do(t.Context(), "a")
	assert.Equal(t, result.Outcome, Answered)
	assert.Equal(t, got.body.String(), "begin end")
	assert.Equal(t, b.runs.Load(), int64(1))
}

// TestSilentConnection makes every open connection drop all traffic in the middle of a response, without closing it.
// A client without a timeout between frames would wait forever.
func TestSilentConnection(t *testing.T) {
	b := withTestBench(t, nil)
	var result Result
	var got *recorder
	var running sync.WaitGroup
	running.Go(func() { result, got = b.do(t.Context(), "a") })
	for b.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, b.network.Silence(nil) > 0)
	close(b.release)
	running.Wait()
	assert.Equal(t, result.Outcome, Answered, result.Reason)
	assert.Assert(t, result.Attaches > 0, "the client did not try to resume the response")
	assert.Equal(t, got.body.String(), "begin end")
	assert.Equal(t, b.runs.Load(), int64(1))
}

// scriptedServer is an attempt server that replaces Run and forwards the other methods.
type scriptedServer struct {
	message.DRPCAttemptsServer
	run func(*message.RunRequest, message.DRPCAttempts_RunStream) error
}

func (s *scriptedServer) Run(r *message.RunRequest, stream message.DRPCAttempts_RunStream) error {
	return s.run(r, stream)
}

// editingStream is a stream that replaces each sent frame by the frames that edit returns.
type editingStream struct {
	message.DRPCAttempts_RunStream
	edit func(*message.AnswerFrame) []*message.AnswerFrame
}

func (e *editingStream) Send(f *message.AnswerFrame) error {
	for _, out := range e.edit(f) {
		if err := e.DRPCAttempts_RunStream.Send(out); err != nil {
			return err
		}
	}
	return nil
}

func editFrames(edit func(*message.AnswerFrame) []*message.AnswerFrame) func(message.DRPCAttemptsServer) message.DRPCAttemptsServer {
	return func(s message.DRPCAttemptsServer) message.DRPCAttemptsServer {
		return &scriptedServer{DRPCAttemptsServer: s, run: func(r *message.RunRequest, stream message.DRPCAttempts_RunStream) error {
			return s.Run(r, &editingStream{DRPCAttempts_RunStream: stream, edit: edit})
		}}
	}
}

// TestBadFrames replaces, duplicates, drops or truncates frames on the first connection and checks that the client
// receives the complete response exactly once.
func TestBadFrames(t *testing.T) {
	isBody := func(f *message.AnswerFrame) bool { return f.GetKind() == message.FrameKind_FRAME_KIND_BODY }
	for name, edit := range map[string]func(*message.AnswerFrame) []*message.AnswerFrame{
		"crossed": func(f *message.AnswerFrame) []*message.AnswerFrame {
			if !isBody(f) {
				return []*message.AnswerFrame{f}
			}
			return []*message.AnswerFrame{{AttemptId: "another", Kind: f.GetKind(), Data: []byte("not yours")}}
		},
		"duplicated": func(f *message.AnswerFrame) []*message.AnswerFrame { return []*message.AnswerFrame{f, f} },
		"lost": func(f *message.AnswerFrame) []*message.AnswerFrame {
			if isBody(f) && f.GetOffset() == 0 {
				return nil
			}
			return []*message.AnswerFrame{f}
		},
		"truncated": func(f *message.AnswerFrame) []*message.AnswerFrame {
			if isBody(f) {
				f = &message.AnswerFrame{AttemptId: f.GetAttemptId(), Kind: f.GetKind(), Offset: f.GetOffset(), Data: f.GetData()[:1]}
			}
			return []*message.AnswerFrame{f}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := withTestBench(t, editFrames(edit))
			close(b.release)
			result, got := b.do(t.Context(), "a")
			assert.Equal(t, result.Outcome, Answered, result.Reason)
			assert.Equal(t, got.body.String(), "begin end")
			assert.Equal(t, b.runs.Load(), int64(1))
		})
	}
}

// TestNotRunMeansNeverRun loses the first message, checks for the outcome NotRun and then delivers the message late.
// If the late message ran, a request reported as not run would have run, and its retry would be a second run.
func TestNotRunMeansNeverRun(t *testing.T) {
	var late *message.RunRequest
	b := withTestBench(t, func(s message.DRPCAttemptsServer) message.DRPCAttemptsServer {
		return &scriptedServer{DRPCAttemptsServer: s, run: func(r *message.RunRequest, _ message.DRPCAttempts_RunStream) error {
			late = r
			return io.ErrUnexpectedEOF
		}}
	})
	result, _ := b.do(t.Context(), "a")
	assert.Equal(t, result.Outcome, NotRun, result.Reason)
	stream := &recordingStream{ctx: t.Context()}
	assert.NilError(t, b.server.Run(late, stream))
	assert.Equal(t, stream.last.GetKind(), message.FrameKind_FRAME_KIND_REFUSED)
	assert.Equal(t, b.runs.Load(), int64(0))
}

// recordingStream is a stream that stores the last sent frame.
type recordingStream struct {
	message.DRPCAttempts_RunStream
	ctx  context.Context
	last *message.AnswerFrame
}

func (s *recordingStream) Context() context.Context { return s.ctx }

func (s *recordingStream) Send(f *message.AnswerFrame) error {
	s.last = f
	return nil
}

// TestRestartedSideDoesNotClaimNotRun resumes an attempt that was sent to an earlier incarnation of the side process.
// After the restart its record of attempts is gone, so that it can't rule out that the attempt has run.
func TestRestartedSideDoesNotClaimNotRun(t *testing.T) {
	b := withTestBench(t, nil)
	x := &exchange{client: b.client, address: b.address, request: testRequest("a"), sink: &recorder{}, started: time.Now()}
	x.request.Incarnation = testIncarnation - 1
	assert.NilError(t, x.attachOnce(t.Context()))
	assert.Equal(t, x.result.Outcome, Unknown)
}

func TestRunForAnotherIncarnationIsRefused(t *testing.T) {
	b := withTestBench(t, nil)
	r := testRequest("a")
	r.Incarnation = testIncarnation - 1
	result := b.client.Do(t.Context(), b.address, r, &recorder{})
	assert.Equal(t, result.Outcome, NotRun)
	assert.Equal(t, b.runs.Load(), int64(0))
}

func TestSameAttemptTwiceRunsOnce(t *testing.T) {
	b := withTestBench(t, nil)
	close(b.release)
	first, _ := b.do(t.Context(), "a")
	assert.Equal(t, first.Outcome, Answered)
	second, _ := b.do(t.Context(), "a")
	assert.Equal(t, second.Outcome, NotRun)
	assert.Equal(t, b.runs.Load(), int64(1))
}

// TestConnectionRefused sends to an address on which no process listens. Nothing has been sent, so the outcome must be
// NotRun; after Unknown, a request that is not idempotent could not be retried.
func TestConnectionRefused(t *testing.T) {
	b := withTestBench(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	result := b.client.Do(t.Context(), l.Addr().String(), testRequest("a"), &recorder{})
	assert.Equal(t, result.Outcome, NotRun)
}

// TestBrokenUpstreamIsUnknownOrCut closes the connection to the upstream before the response is complete. The request
// has run, so the outcome must not be NotRun, and the response must not pass for a complete one.
func TestBrokenUpstreamIsUnknownOrCut(t *testing.T) {
	for _, tc := range []struct {
		name  string
		begin bool
		want  Outcome
	}{{"before the head", false, Unknown}, {"in the body", true, Cut}} {
		t.Run(tc.name, func(t *testing.T) {
			b := withTestBench(t, nil)
			broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.begin {
					fmt.Fprint(w, "begin")
					_ = http.NewResponseController(w).Flush()
				}
				panic(http.ErrAbortHandler)
			}))
			defer broken.Close()
			base, err := url.Parse(broken.URL)
			assert.NilError(t, err)
			g := guard.New(guard.Options{MaxConcurrent: 1, StartConcurrent: 1, SlowStartRequests: 1})
			g.Unblock(guard.ReasonNoRules)
			g.Unblock(guard.ReasonNotLoaded)
			server := attempt.NewServer(attempt.ServerOptions{
				Incarnation: testIncarnation, Group: "g", Guard: g, Ledger: attempt.NewLedger(),
				Runner: attempt.NewRunner(base, true, func(int) {}), Root: func() string { return "" }, Log: journal.Discard().Logger(journal.Routing),
			})
			mux := drpcmux.New()
			assert.NilError(t, message.DRPCRegisterAttempts(mux, server))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := link.Serve(l, mux, func(error) {})
			defer s.Close()
			result := b.client.Do(t.Context(), s.Address(), testRequest("a"), &recorder{})
			assert.Equal(t, result.Outcome, tc.want, result.Reason)
		})
	}
}
