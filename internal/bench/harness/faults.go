package harness

import (
	"sync/atomic"

	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// ChunkFaults injects faults into the chunk transfers that one VM serves.
type ChunkFaults struct {
	// Stalled makes transfers stop without closing their streams.
	Stalled atomic.Bool
	// Corrupt is the number of chunks left to corrupt.
	Corrupt atomic.Int64
}

// Wrap returns a server that injects the faults into the chunks that s sends.
func (f *ChunkFaults) Wrap(s message.DRPCWeightsServer) message.DRPCWeightsServer {
	return &faultyWeights{DRPCWeightsServer: s, faults: f}
}

type faultyWeights struct {
	message.DRPCWeightsServer
	faults *ChunkFaults
}

// Fetch sends one chunk, which is corrupted if ChunkFaults.Corrupt is positive when the transfer starts.
func (w *faultyWeights) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	corrupt := w.faults.Corrupt.Load() > 0 && w.faults.Corrupt.Add(-1) >= 0
	return w.DRPCWeightsServer.Fetch(r, &faultyStream{DRPCWeights_FetchStream: stream, faults: w.faults, corrupt: corrupt})
}

type faultyStream struct {
	message.DRPCWeights_FetchStream
	faults  *ChunkFaults
	corrupt bool
}

// Send sends one piece of a chunk. While ChunkFaults.Stalled is set, it blocks until the stream ends.
func (s *faultyStream) Send(p *message.Piece) error {
	if s.faults.Stalled.Load() {
		<-s.Context().Done()
		return s.Context().Err()
	}
	if s.corrupt && len(p.GetData()) > 0 {
		data := append([]byte(nil), p.GetData()...)
		data[0] ^= 0xff
		p = &message.Piece{Offset: p.GetOffset(), Data: data}
	}
	return s.DRPCWeights_FetchStream.Send(p)
}
