package beacon

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Formats of datagrams, given by the first byte. A datagram that starts with a brace is JSON.
const (
	// formatReport is one report, sent by the side process of the upstream.
	formatReport = 1
	// formatDigest is a list of reports that an entry process passes on.
	formatDigest = 2
)

// Flags of a report.
const (
	flagBusy    = 1 << 0
	flagLeaving = 1 << 1
	// flagLimited means that the rate limit follows the other values.
	flagLimited = 1 << 2
	// flagLoadPlanned means that the time until the next load follows the other values and the rate limit.
	flagLoadPlanned = 1 << 3
)

const (
	// paceUnit is the resolution of UpstreamReport.Pace in a datagram.
	paceUnit = 1.0 / 1024
	// maxPace limits the pace that is sent; it is far above any that the choice of an upstream tells apart.
	maxPace = 1024
	// maxReportBytes is the maximum size of an encoded report in bytes.
	maxReportBytes = 1 + 16 + 2 + 10*binary.MaxVarintLen64 + 1
	// rateLimitUnit is the resolution of RateLimit.PerSecond in a datagram, maxRateLimit the highest limit that is sent.
	rateLimitUnit = 1.0 / 1024
	maxRateLimit  = 1 << 30
	// loadInUnit is the resolution of UpstreamReport.LoadIn in a datagram, maxLoadIn the longest time that is sent.
	loadInUnit = time.Millisecond
	maxLoadIn  = time.Hour
)

// errMalformed means that a datagram can't be decoded.
var errMalformed = errors.New("malformed datagram")

// appendReport appends the encoded report to b. Values that entry processes do not use are left out: the layers and the
// number of orders.
func appendReport(b []byte, r *hub.SentReport) []byte {
	address := r.Address.Addr().AsSlice()
	b = append(b, byte(len(address)))
	b = append(b, address...)
	b = binary.BigEndian.AppendUint16(b, r.Address.Port())
	var flags byte
	if r.Busy {
		flags |= flagBusy
	}
	if r.Leaving {
		flags |= flagLeaving
	}
	if r.RateLimit.Named {
		flags |= flagLimited
	}
	if r.LoadIn > 0 {
		flags |= flagLoadPlanned
	}
	b = append(b, flags)
	pace := uint64(math.Round(max(0, min(maxPace, r.Pace)) / paceUnit))
	for _, v := range []uint64{r.Epoch, r.Number, uint64(r.Born), r.Held, r.Fetched, uint64(max(0, r.Waiting)), uint64(max(0, r.Running)), pace} {
		b = binary.AppendUvarint(b, v)
	}
	if r.RateLimit.Named {
		b = binary.AppendUvarint(b, uint64(math.Round(max(0, min(maxRateLimit, r.RateLimit.PerSecond))/rateLimitUnit)))
	}
	if r.LoadIn > 0 {
		b = binary.AppendUvarint(b, uint64((min(maxLoadIn, r.LoadIn)+loadInUnit-1)/loadInUnit))
	}
	return b
}

// readReport decodes the first report in b and returns the rest of b, or errMalformed.
func readReport(b []byte) (r hub.SentReport, rest []byte, err error) {
	if len(b) == 0 || len(b) < 1+int(b[0])+3 {
		return r, nil, fmt.Errorf("%w: report of %d bytes", errMalformed, len(b))
	}
	n := int(b[0])
	address, ok := netip.AddrFromSlice(b[1 : 1+n])
	if !ok {
		return r, nil, fmt.Errorf("%w: address of %d bytes", errMalformed, n)
	}
	b = b[1+n:]
	r.Address = netip.AddrPortFrom(address, binary.BigEndian.Uint16(b))
	flags := b[2]
	r.Busy, r.Leaving, r.RateLimit.Named = flags&flagBusy != 0, flags&flagLeaving != 0, flags&flagLimited != 0
	b = b[3:]
	var born, waiting, running, pace, limit, loadIn uint64
	values := []*uint64{&r.Epoch, &r.Number, &born, &r.Held, &r.Fetched, &waiting, &running, &pace}
	if r.RateLimit.Named {
		values = append(values, &limit)
	}
	if flags&flagLoadPlanned != 0 {
		values = append(values, &loadIn)
	}
	for _, v := range values {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return r, nil, fmt.Errorf("%w: report ends early", errMalformed)
		}
		*v, b = value, b[n:]
	}
	if born > math.MaxInt64 || waiting > math.MaxInt32 || running > math.MaxInt32 || pace > maxPace/paceUnit || limit > maxRateLimit/rateLimitUnit || loadIn > uint64(maxLoadIn/loadInUnit) {
		return r, nil, fmt.Errorf("%w: number out of range", errMalformed)
	}
	r.Born, r.Waiting, r.Running, r.Pace = int64(born), int(waiting), int(running), float64(pace)*paceUnit
	r.RateLimit.PerSecond = float64(limit) * rateLimitUnit
	r.LoadIn = time.Duration(loadIn) * loadInUnit
	return r, b, nil
}

// encodeReport returns the datagram with one report of its side process.
func encodeReport(r *hub.SentReport) []byte { return appendReport([]byte{formatReport}, r) }

// decodeReports decodes all reports in b, or returns errMalformed.
func decodeReports(b []byte) ([]hub.SentReport, error) {
	var out []hub.SentReport
	for len(b) > 0 {
		r, rest, err := readReport(b)
		if err != nil {
			return nil, err
		}
		out, b = append(out, r), rest
	}
	return out, nil
}
