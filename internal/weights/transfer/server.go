package transfer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// uploadSlots bounds the chunks that are sent at once, so that each arrives soon and can be passed on.
	uploadSlots = 4
	// followBatch is the least time between two messages of one Follow stream.
	followBatch = 20 * time.Millisecond
	// followIdle is the longest time between two messages of one Follow stream.
	followIdle = time.Second
	// openWait bounds the wait for a replica that this process has not begun to fetch.
	openWait = 10 * time.Second
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

// Follow streams the chunks held of one replica as they arrive.
func (s *Server) Follow(r *message.FollowRequest, stream message.DRPCWeights_FollowStream) error {
	ctx := stream.Context()
	held, err := s.await(ctx, r.GetRoot())
	if err != nil {
		return err
	}
	told := 0
	for {
		arrived, changed := held.ArrivedSince(told)
		if err := stream.Send(toHolding(held, arrived)); err != nil {
			return err
		}
		told += len(arrived)
		if err := waitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// await returns the replica of root, waiting a while for a process that has not begun to fetch it.
func (s *Server) await(ctx context.Context, root string) (*replica.Replica, error) {
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(openWait)
	for {
		held, err := s.shelf.Find(root)
		if err == nil || time.Now().After(deadline) {
			return held, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(poll):
		}
	}
}

// waitChange waits for the batching time and then for a change or the idle time.
func waitChange(ctx context.Context, changed <-chan struct{}) error {
	batch := time.NewTimer(followBatch)
	defer batch.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-batch.C:
	}
	idle := time.NewTimer(followIdle)
	defer idle.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-idle.C:
	}
	return nil
}

func toHolding(r *replica.Replica, indexes []int) *message.Holding {
	_, total := r.Held()
	out := &message.Holding{Total: uint32(total), Indexes: make([]uint32, len(indexes))}
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
	offset := int(r.GetOffset())
	if offset >= len(data) {
		return fmt.Errorf("offset %d in a chunk of %d bytes", offset, len(data))
	}
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.slots.Release(1)
	return s.send(ctx, data, offset, stream)
}

func (s *Server) send(ctx context.Context, data []byte, offset int, stream message.DRPCWeights_FetchStream) error {
	for offset < len(data) {
		end := min(offset+s.pacer.PieceBytes(), len(data))
		if err := s.pacer.Wait(ctx, end-offset); err != nil {
			return err
		}
		if err := stream.Send(&message.Piece{Offset: uint32(offset), Data: data[offset:end]}); err != nil {
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
