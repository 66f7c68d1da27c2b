package forward_test

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
)

// flood returns a script that answers each request with begin and then with text without end, until the connection is closed.
func flood(begin, text string) script {
	return func(_ *http.Request, c net.Conn) bool {
		faulty.Flood(c, begin, text)
		return false
	}
}

// watchHeap returns a function that ends the watch and returns the largest size of the heap in bytes.
func watchHeap() func() uint64 {
	stop, largest := make(chan struct{}), make(chan uint64)
	go func() {
		var m runtime.MemStats
		size := uint64(0)
		for {
			runtime.ReadMemStats(&m)
			size = max(size, m.HeapInuse)
			select {
			case <-stop:
				largest <- size
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(stop); return <-largest }
}

// Guards against answers without end, to many requests at once, that together exceed the memory of an entry process.
func TestManyAnswersWithoutEndFitIntoTheMemory(t *testing.T) {
	const (
		upstreams = 16
		requests  = 100
		// maxHeap is the memory of the smallest entry VM of the deployments, 184 MB, less that for the program and its idle state.
		maxHeap = 120 << 20
	)
	stream := "HTTP/1.1 200 X\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
	for name, f := range map[string]struct{ path, begin, text string }{
		"head of short lines":     {"/many/x", "HTTP/1.1 200 X\r\n", "A: b\r\n"},
		"head of different lines": {"/many/x", "HTTP/1.1 200 X\r\n", "Abc: b\r\nDef: e\r\nGhi:\r\n"},
		"head of one line":        {"/many/x", "HTTP/1.1 200 X\r\nA: ", "b"},
		"status line":             {"/many/x", "HTTP/1.1 200 ", "x"},
		"interim responses":       {"/many/x", "", "HTTP/1.1 100 X\r\n\r\n"},
		"no answer":               {"/many/x", "", "\x00"},
		"body":                    {"/many/x", "HTTP/1.1 200 X\r\nSignature: s\r\n\r\n", "x"},
		"body in chunks":          {"/many/x", "HTTP/1.1 200 X\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk extension":         {"/many/x", "HTTP/1.1 200 X\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":                 {"/many/x", "HTTP/1.1 200 X\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"failure":                 {"/many/x", "HTTP/1.1 500 X\r\n\r\n", "x"},
		"event of one line":       {"/stream/x", stream + "\r\n", "x"},
		"event of short lines":    {"/stream/x", stream + "\r\n", "x\n"},
		"blank lines":             {"/stream/x", stream + "\r\n", "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var faulty []*upstream
			for range upstreams {
				faulty = append(faulty, withTestUpstream(t, flood(f.begin, f.text)))
			}
			entry := withTestEntry(t, faulty...)
			runtime.GC()
			stop := watchHeap()
			var running sync.WaitGroup
			for range requests {
				running.Go(func() { entry.call(t.Context(), t, http.MethodPost, f.path, nil) })
			}
			running.Wait()
			size := stop()
			t.Logf("%d MiB", size>>20)
			assert.Assert(t, size < maxHeap, "%d MiB", size>>20)
		})
	}
}
