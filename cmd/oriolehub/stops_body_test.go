package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// minPartPause and maxPartPause limit the time between two parts of a body that is sent slowly, maxBodyTime that for all of it.
	minPartPause = 50 * time.Millisecond
	maxPartPause = 2 * time.Second
	maxBodyTime  = 4 * time.Second
	// shortBodyBytes and longBody are the lengths of bodies that are sent at once.
	shortBodyBytes = 2 << 10
	longBody       = 40 << 10
	// lastChunk ends a body in chunks.
	lastChunk = "0\r\n\r\n"
)

// part is a part of a request that is sent after a pause.
type part struct {
	pause time.Duration
	bytes string
}

// bodyKind is a way to send a body.
type bodyKind struct {
	name string
	// draw returns the header line of the body and its parts. A first part without a pause is sent together with the head.
	draw func(*rand.Rand) (header string, parts []part)
}

// bodyKinds are the ways to send bodies, the slow ones in chunks more often.
var bodyKinds = []bodyKind{
	{"none", func(*rand.Rand) (string, []part) { return "Content-Length: 0", nil }},
	{"length", drawLength},
	{"length-slow", drawSlowLength},
	{"chunks", drawChunks},
	{"chunks-slow", func(rng *rand.Rand) (string, []part) { return drawSlowChunks(rng, shortBodyBytes) }},
	{"chunks-slow", func(rng *rand.Rand) (string, []part) { return drawSlowChunks(rng, shortBodyBytes) }},
	{"chunks-bytes", func(rng *rand.Rand) (string, []part) { return drawSlowChunks(rng, 1) }},
	{"chunks-end", drawSeparateEnd},
	{"chunks-end", drawSeparateEnd},
	{"chunks-split-end", drawSplitEnd},
}

const chunkedHeader = "Transfer-Encoding: chunked"

// chunk returns one chunk of a body.
func chunk(length int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length))
}

func lengthHeader(n int) string { return "Content-Length: " + strconv.Itoa(n) }

func drawLength(rng *rand.Rand) (string, []part) {
	n := []int{shortBodyBytes, longBody}[rng.IntN(2)]
	return lengthHeader(n), []part{{bytes: strings.Repeat("x", n)}}
}

func drawSlowLength(rng *rand.Rand) (string, []part) {
	pauses := drawPauses(rng)
	var parts []part
	for _, pause := range pauses {
		parts = append(parts, part{pause, strings.Repeat("x", shortBodyBytes)})
	}
	return lengthHeader(len(pauses) * shortBodyBytes), parts
}

func drawChunks(*rand.Rand) (string, []part) {
	return chunkedHeader, []part{{bytes: chunk(longBody) + lastChunk}}
}

// drawSlowChunks draws a body whose last chunk comes together with the end.
func drawSlowChunks(rng *rand.Rand, length int) (string, []part) {
	var parts []part
	for _, pause := range drawPauses(rng) {
		parts = append(parts, part{pause, chunk(length)})
	}
	parts[len(parts)-1].bytes += lastChunk
	return chunkedHeader, parts
}

// drawSeparateEnd draws a body whose end comes separately.
func drawSeparateEnd(rng *rand.Rand) (string, []part) {
	pauses := drawPauses(rng)
	var parts []part
	for _, pause := range pauses[:len(pauses)-1] {
		parts = append(parts, part{pause, chunk(shortBodyBytes)})
	}
	return chunkedHeader, append(parts, part{pauses[len(pauses)-1], lastChunk})
}

// drawSplitEnd draws a body whose end comes in two parts.
func drawSplitEnd(rng *rand.Rand) (string, []part) {
	pauses := drawPauses(rng)
	parts := []part{{bytes: chunk(shortBodyBytes)}}
	for i, pause := range pauses {
		at := len(lastChunk) * i / len(pauses)
		until := len(lastChunk) * (i + 1) / len(pauses)
		parts = append(parts, part{pause, lastChunk[at:until]})
	}
	return chunkedHeader, parts
}

// drawPauses returns at least one pause, and pauses of maxBodyTime at most together.
func drawPauses(rng *rand.Rand) []time.Duration {
	left := time.Duration(rng.Int64N(int64(maxBodyTime)))
	var out []time.Duration
	for left > 0 || len(out) == 0 {
		pause := min(max(left, minPartPause), drawTime(rng, minPartPause, maxPartPause))
		out = append(out, pause)
		left -= pause
	}
	return out
}

// drawTime returns a time of at least least and less than most.
func drawTime(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// assertWhole fails the test unless a body is exactly what its header line says.
func assertWhole(t *testing.T, header, body string) {
	t.Helper()
	in := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\n" + header + "\r\n\r\n" + body))
	r, err := http.ReadRequest(in)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	assert.Equal(t, in.Buffered(), 0)
}
