package harness

import (
	"sync/atomic"

	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// ChunkFaults makes one VM a bad giver of chunks.
type ChunkFaults struct {
	// Stalled transfers stand still without closing.
	Stalled atomic.Bool
	// Corrupt is the number of chunks still to be corrupted.
	Corrupt atomic.Int64
}

// Wrap puts the faults in front of a server of chunks.
func (f *ChunkFaults) Wrap(s message.DRPCWeightsServer) message.DRPCWeightsServer {
	return &faultyWeights{DRPCWeightsServer: s, faults: f}
}

type faultyWeights struct {
	message.DRPCWeightsServer
	faults *ChunkFaults
}

// Fetch gives a chunk, stalled or corrupted as the faults say.
func (w *faultyWeights) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	corrupt := w.faults.Corrupt.Load() > 0 && w.faults.Corrupt.Add(-1) >= 0
	return w.DRPCWeightsServer.Fetch(r, &faultyStream{DRPCWeights_FetchStream: stream, faults: w.faults, corrupt: corrupt})
}

type faultyStream struct {
	message.DRPCWeights_FetchStream
	faults  *ChunkFaults
	corrupt bool
}

// Send sends one piece of a chunk.
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
