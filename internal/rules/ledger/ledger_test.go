package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/standin/kv"
	"github.com/oriolehub/oriolehub/internal/state/store"
)

func withTestLedger(t *testing.T) (*Ledger, *kv.Server) {
	t.Helper()
	s := kv.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return New(store.New(server.URL)), s
}

func rulesText(n int) string {
	return fmt.Sprintf("Domain d-%d region # Hoda: test\n", n)
}

// TestApplyKeepsHistory guards against an edit that drops earlier revisions or their diffs from the history.
func TestApplyKeepsHistory(t *testing.T) {
	l, _ := withTestLedger(t)
	base := uint64(0)
	for i := range 3 {
		revision, value, err := l.Apply(t.Context(), Edit{Text: rulesText(i), Base: base, Author: "Hoda", WriteId: fmt.Sprint(i)})
		assert.NilError(t, err)
		record, err := Decode(value)
		assert.NilError(t, err)
		assert.Equal(t, record.Text, rulesText(i))
		assert.Equal(t, len(record.History), i)
		base = revision
	}
	record, _, err := l.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, record.History[1].Diff, "- Domain d-0 region # Hoda: test\n+ Domain d-1 region # Hoda: test\n")
}

func TestApplyRejectsInvalidRulesWithoutWriting(t *testing.T) {
	l, s := withTestLedger(t)
	_, _, err := l.Apply(t.Context(), Edit{Text: "Nonsense", WriteId: "w"})
	var faults statement.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, s.Counts().Writes, uint64(0))
}

// TestLostReplyIsResolvedByReadingBack guards against an error, or a second write, when the edit took effect but the
// store's reply was lost.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	l, s := withTestLedger(t)
	s.LoseReplies(1)
	revision, _, err := l.Apply(t.Context(), Edit{Text: rulesText(1), WriteId: "w"})
	assert.NilError(t, err)
	_, current, err := l.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, current)
	assert.Equal(t, s.Counts().Writes, uint64(1))
}

// TestRepeatedApplyWritesOnce applies an edit again after a later one, like an operator who did not receive the reply.
// Apply must find it by its write ID in the history; otherwise it would return ErrStale although the edit took effect.
func TestRepeatedApplyWritesOnce(t *testing.T) {
	l, s := withTestLedger(t)
	edit := Edit{Text: rulesText(1), WriteId: "w"}
	first, _, err := l.Apply(t.Context(), edit)
	assert.NilError(t, err)
	_, _, err = l.Apply(t.Context(), Edit{Text: rulesText(2), Base: first, WriteId: "v"})
	assert.NilError(t, err)
	again, value, err := l.Apply(t.Context(), edit)
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	assert.Assert(t, value == nil)
	assert.Equal(t, s.Counts().Writes, uint64(2))
}

// TestRacingEdits guards against lost updates: several operators edit concurrently while replies of the store are lost.
// Each accepted edit must be based on the accepted edit before it, and its revision must have been returned to its
// operator.
func TestRacingEdits(t *testing.T) {
	l, s := withTestLedger(t)
	const operators, edits = 4, 8
	var mu sync.Mutex
	bases := map[uint64]uint64{}
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(o)))
			for i := range edits {
				if rng.IntN(4) == 0 {
					s.LoseReplies(1)
				}
				_, base, err := l.Read(t.Context())
				assert.Check(t, err)
				edit := Edit{Text: rulesText(o*edits + i), Base: base, WriteId: fmt.Sprintf("%d-%d", o, i)}
				revision, _, err := l.Apply(t.Context(), edit)
				if err != nil {
					assert.Check(t, errors.Is(err, ErrStale), "%v", err)
					continue
				}
				mu.Lock()
				bases[revision] = base
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	_, revision, err := l.Read(t.Context())
	assert.NilError(t, err)
	accepted := 0
	for revision != 0 {
		base, ok := bases[revision]
		assert.Assert(t, ok, "revision %d was not returned to its operator", revision)
		revision = base
		accepted++
	}
	assert.Equal(t, accepted, len(bases))
}

// TestTooLargeIsRejectedBeforeWriting guards against a write of rules whose encoding exceeds hub.MaxValueBytes. The text
// is random, so that its encoding is too long even after compression.
func TestTooLargeIsRejectedBeforeWriting(t *testing.T) {
	l, s := withTestLedger(t)
	var b strings.Builder
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Len() < 3<<20 {
		fmt.Fprintf(&b, "Domain d%x-%x-%x r # Hoda: %x\n", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
	}
	_, _, err := l.Apply(t.Context(), Edit{Text: b.String(), WriteId: "w"})
	assert.Assert(t, errors.Is(err, hub.ErrTooLarge), "%v", err)
	assert.Equal(t, s.Counts().Writes, uint64(0))
}

// TestHistoryIsTrimmed guards against a history that exceeds maxHistoryBytes, and against trimming much more of it than
// necessary.
func TestHistoryIsTrimmed(t *testing.T) {
	entry := Entry{Diff: strings.Repeat("x", maxHistoryBytes/10)}
	var history []Entry
	for range 20 {
		history = append(history, entry)
	}
	assert.Assert(t, len(trimHistory(history)) < 10)
	assert.Assert(t, len(trimHistory(history)) > 5)
}

// TestWithoutHistoryKeepsRulesAndIsSmall checks that the replicated form of a record keeps the text
// and the write ID, and that its size does not depend on the length of the history.
func TestWithoutHistoryKeepsRulesAndIsSmall(t *testing.T) {
	record := Record{Text: rulesText(1), WriteId: "w", Diff: strings.Repeat("d", 1000)}
	for range 100 {
		record.History = append(record.History, Entry{Diff: strings.Repeat("x", 1000)})
	}
	data, err := Encode(record)
	assert.NilError(t, err)
	stripped := WithoutHistory(data)
	assert.Assert(t, len(stripped) < 1000, "encoded record without history has %d bytes", len(stripped))
	got, err := Decode(stripped)
	assert.NilError(t, err)
	assert.Equal(t, got.Text, record.Text)
	assert.Equal(t, got.WriteId, record.WriteId)
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(Record{Text: rulesText(1)})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("Zx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(record)
		assert.NilError(t, err)
		_, err = Decode(again)
		assert.NilError(t, err)
	})
}
