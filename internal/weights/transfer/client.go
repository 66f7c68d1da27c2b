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

// errStalled means that a transfer made no progress within the stall timeout.
var errStalled = errors.New("transfer stalled: no data within the timeout")

// fetchChunk fetches one chunk from a peer into buf, of which earlier transfers have filled the first request.Offset
// bytes. It returns the number of bytes filled, also in case of an error, so that the transfer can be resumed from
// another peer, and the peer's new arrivals, which are sent along with the last piece.
func fetchChunk(ctx context.Context, stallTimeout time.Duration, conn drpc.Conn, pacer *pace.Pacer, request *message.FetchRequest, buf []byte) (int, *message.Holding, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	filled := int(request.GetOffset())
	watchdog := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
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
			return filled, nil, fmt.Errorf("piece at offset %d, want offset %d: %w", piece.GetOffset(), filled, hub.ErrCorrupt)
		}
		filled += copy(buf[filled:], piece.GetData())
		if err := pacer.Wait(ctx, len(piece.GetData())); err != nil {
			return filled, nil, transferError(ctx, err)
		}
		holding = piece.GetHolding()
		watchdog.Reset(stallTimeout)
	}
	return filled, holding, nil
}

// transferError returns the cause of ctx's cancellation if it is cancelled, otherwise err.
// It replaces io.EOF by io.ErrUnexpectedEOF.
func transferError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fetchRange reads the chunk at offset from a weight source into buf, of which earlier transfers have filled the first
// filled bytes. It returns the number of bytes filled, also in case of an error.
func fetchRange(ctx context.Context, stallTimeout time.Duration, source hub.WeightSource, pacer *pace.Pacer, version string, offset int64, buf []byte, filled int) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
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
			watchdog.Reset(stallTimeout)
		}
		if err != nil && filled < len(buf) {
			return filled, transferError(ctx, err)
		}
	}
	return filled, nil
}

// readManifest reads the manifest with the given digest from a peer.
func readManifest(ctx context.Context, timeout time.Duration, client *link.Client, address, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := message.NewDRPCWeightsClient(client.Pooled(ctx, address))
	reply, err := peer.ReadManifest(ctx, &message.ManifestRequest{Digest: digest})
	if err != nil {
		return nil, fmt.Errorf("read manifest from peer %s: %w", address, err)
	}
	return reply.GetManifest(), nil
}
