package transfer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// uploadSlots bounds the chunks that are sent at once, so that each arrives soon and can be passed on.
	uploadSlots = 4
	// followBatch is the time for which arrivals are gathered before they are told.
	followBatch = 10 * time.Millisecond
	// maxFollowWait bounds the wait for an arrival.
	maxFollowWait = 5 * time.Second
)

// Server gives chunks to other side processes.
type Server struct {
	shelf *replica.Shelf
	pacer *pace.Pacer
	slots *semaphore.Weighted

	sent atomic.Int64
}

// NewServer returns a server of the replicas on shelf that sends through pacer.
func NewServer(shelf *replica.Shelf, pacer *pace.Pacer) *Server {
	return &Server{shelf: shelf, pacer: pacer, slots: semaphore.NewWeighted(uploadSlots)}
}

// BytesSent returns the bytes of chunks sent so far.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// ReadManifest returns a manifest by its digest.
func (s *Server) ReadManifest(_ context.Context, r *message.ManifestRequest) (*message.ManifestReply, error) {
	encoded, err := s.shelf.FindManifest(r.GetDigest())
	if err != nil {
		return nil, err
	}
	return &message.ManifestReply{Manifest: encoded}, nil
}

// Follow returns the chunks that arrived since the sender was told, waiting for the first as long as it asks.
func (s *Server) Follow(ctx context.Context, r *message.FollowRequest) (*message.Holding, error) {
	timer := time.NewTimer(min(maxFollowWait, time.Duration(r.GetWaitMs())*time.Millisecond))
	defer timer.Stop()
	for {
		holding, changed := s.holding(r.GetRoot(), r.GetTold())
		if len(holding.GetIndexes()) > 0 {
			return holding, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return holding, nil
		case <-changed:
			// A moment later, more has arrived that can be told together.
			_ = hub.Sleep(ctx, followBatch)
		}
	}
}

// holding returns the arrivals since told, and a channel that is closed or ready when there may be more.
func (s *Server) holding(root string, told uint32) (*message.Holding, <-chan struct{}) {
	held, err := s.shelf.Find(root)
	if err != nil {
		return &message.Holding{}, s.shelf.Changed()
	}
	arrived, changed := held.ArrivedSince(int(told))
	total, _ := held.Held()
	return toHolding(arrived, total), changed
}

func toHolding(indexes []int, told int) *message.Holding {
	out := &message.Holding{Told: uint32(told), Indexes: make([]uint32, len(indexes))}
	for i, index := range indexes {
		out.Indexes[i] = uint32(index)
	}
	return out
}

// Fetch streams one chunk from an offset in paced pieces.
func (s *Server) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	ctx := stream.Context()
	held, err := s.shelf.Find(r.GetRoot())
	if err != nil {
		return err
	}
	data, err := held.Chunk(int(r.GetIndex()))
	if err != nil {
		return err
	}
	if int(r.GetOffset()) >= len(data) {
		return fmt.Errorf("offset %d in a chunk of %d bytes", r.GetOffset(), len(data))
	}
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.slots.Release(1)
	return s.send(ctx, r, data, stream)
}

func (s *Server) send(ctx context.Context, r *message.FetchRequest, data []byte, stream message.DRPCWeights_FetchStream) error {
	offset := int(r.GetOffset())
	for offset < len(data) {
		end := min(offset+s.pacer.PieceBytes(), len(data))
		if err := s.pacer.Wait(ctx, end-offset); err != nil {
			return err
		}
		piece := &message.Piece{Offset: uint32(offset), Data: data[offset:end]}
		if end == len(data) {
			piece.Holding, _ = s.holding(r.GetRoot(), r.GetTold())
		}
		if err := stream.Send(piece); err != nil {
			return err
		}
		s.sent.Add(int64(end - offset))
		offset = end
	}
	return nil
}

// checkManifest decodes a manifest and checks it against its pin.
func checkManifest(encoded []byte, digest, root string) (manifest.Manifest, error) {
	m, err := manifest.Decode(encoded, digest)
	if err != nil {
		return m, err
	}
	if m.Root != root {
		return m, fmt.Errorf("manifest of %s has root %s, pinned is %s", m.Version, m.Root, root)
	}
	return m, nil
}
