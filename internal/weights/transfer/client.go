package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// errStalled reports a transfer that made no progress for the time allowed.
var errStalled = errors.New("transfer stalled")

// fetchChunk reads one chunk from a peer into buf, which holds the first offset bytes already.
// It returns the bytes that buf then holds, also with an error, so that another sender can go on from there,
// and what the peer told with the last piece.
func fetchChunk(ctx context.Context, stall time.Duration, conn drpc.Conn, pacer *pace.Pacer, request *message.FetchRequest, buf []byte) (int, *message.Holding, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	filled := int(request.GetOffset())
	watchdog := time.AfterFunc(stall, func() { cancel(errStalled) })
	defer watchdog.Stop()
	stream, err := message.NewDRPCWeightsClient(conn).Fetch(ctx, request)
	if err != nil {
		return filled, nil, transferError(ctx, err)
	}
	defer stream.Close()
	var holding *message.Holding
	for filled < len(buf) {
		piece, err := stream.Recv()
		if err != nil {
			return filled, nil, transferError(ctx, err)
		}
		if int(piece.GetOffset()) != filled || filled+len(piece.GetData()) > len(buf) {
			return filled, nil, fmt.Errorf("piece at %d, want %d: %w", piece.GetOffset(), filled, hub.ErrCorrupt)
		}
		filled += copy(buf[filled:], piece.GetData())
		if err := pacer.Wait(ctx, len(piece.GetData())); err != nil {
			return filled, nil, transferError(ctx, err)
		}
		holding = piece.GetHolding()
		watchdog.Reset(stall)
	}
	return filled, holding, nil
}

// transferError prefers the reason for which a context was cancelled over the error that followed from it.
func transferError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fetchRange reads one chunk from a weight source into buf from filled on and returns the bytes then held.
func fetchRange(ctx context.Context, stall time.Duration, source hub.WeightSource, pacer *pace.Pacer, version string, offset int64, buf []byte, filled int) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(stall, func() { cancel(errStalled) })
	defer watchdog.Stop()
	body, err := source.Read(ctx, version, offset+int64(filled), int64(len(buf)-filled))
	if err != nil {
		return filled, transferError(ctx, err)
	}
	defer body.Close()
	for filled < len(buf) {
		n, err := body.Read(buf[filled:])
		filled += n
		if n > 0 {
			if err := pacer.Wait(ctx, n); err != nil {
				return filled, transferError(ctx, err)
			}
			watchdog.Reset(stall)
		}
		if err != nil && filled < len(buf) {
			return filled, transferError(ctx, err)
		}
	}
	return filled, nil
}

// readManifest asks a process for a manifest.
func readManifest(ctx context.Context, stall time.Duration, client *link.Client, address, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stall)
	defer cancel()
	peer := message.NewDRPCWeightsClient(client.Pooled(ctx, address))
	reply, err := peer.ReadManifest(ctx, &message.ManifestRequest{Digest: digest})
	if err != nil {
		return nil, fmt.Errorf("manifest from %s: %w", address, err)
	}
	return reply.GetManifest(), nil
}
