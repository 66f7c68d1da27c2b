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
	// maxUploads is the maximum number of chunks sent concurrently. A low limit makes each chunk complete sooner, so that
	// its receiver can send it on.
	maxUploads = 4
	// followBatchDelay is the time for which arrivals are collected before they are reported.
	followBatchDelay = 10 * time.Millisecond
	// maxFollowWait is the maximum time for which a Follow call waits for arrivals.
	maxFollowWait = 5 * time.Second
)

// Server implements the RPC service Weights, which sends chunks and manifests to other side processes.
type Server struct {
	cache *replica.Cache
	pacer *pace.Pacer
	slots *semaphore.Weighted

	// sent is the number of bytes of chunks sent.
	sent atomic.Int64
}

// NewServer returns a server for the replicas in cache that sends chunks at the rate of pacer.
func NewServer(cache *replica.Cache, pacer *pace.Pacer) *Server {
	return &Server{cache: cache, pacer: pacer, slots: semaphore.NewWeighted(maxUploads)}
}

// BytesSent returns the number of bytes of chunks sent so far.
func (s *Server) BytesSent() int64 { return s.sent.Load() }

// ReadManifest returns the manifest with the requested digest.
func (s *Server) ReadManifest(_ context.Context, r *message.ManifestRequest) (*message.ManifestReply, error) {
	encoded, err := s.cache.FindManifest(r.GetDigest())
	if err != nil {
		return nil, err
	}
	return &message.ManifestReply{Manifest: encoded}, nil
}

// Follow returns the chunks that have arrived since the last report to the caller. If there are none, it waits for the
// first for the requested time, at most maxFollowWait.
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
			// Further chunks that arrive within a short time are reported together.
			_ = hub.Sleep(ctx, followBatchDelay)
		}
	}
}

// holding returns the chunks of the weights with the given root digest, except the arrivals already reported, whose
// number is reported. It also returns a channel that is closed when there may be more.
func (s *Server) holding(root string, reported uint32) (*message.Holding, <-chan struct{}) {
	found, err := s.cache.Find(root)
	if err != nil {
		return &message.Holding{}, s.cache.Changed()
	}
	arrived, changed := found.ArrivedSince(int(reported))
	total, _ := found.Held()
	return toHolding(arrived, total), changed
}

// toHolding encodes the indexes of arrived chunks and the total number of arrivals reported with them.
func toHolding(indexes []int, reported int) *message.Holding {
	out := &message.Holding{Told: uint32(reported), Indexes: make([]uint32, len(indexes))}
	for i, index := range indexes {
		out.Indexes[i] = uint32(index)
	}
	return out
}

// Fetch sends one chunk, from the requested offset on, in pieces at the rate of the pacer.
func (s *Server) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	ctx := stream.Context()
	found, err := s.cache.Find(r.GetRoot())
	if err != nil {
		return err
	}
	data, err := found.Chunk(int(r.GetIndex()))
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

// checkManifest decodes a manifest and returns an error if it does not match the digest and the root digest of its pin.
func checkManifest(encoded []byte, digest, root string) (manifest.Manifest, error) {
	m, err := manifest.Decode(encoded, digest)
	if err != nil {
		return m, err
	}
	if m.Root != root {
		return m, fmt.Errorf("manifest of %s has root digest %s, want pinned root digest %s", m.Version, m.Root, root)
	}
	return m, nil
}
