package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span that is encoded with a unit, e.g. 500ms, 2s or 10m.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d with a unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns d with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// MarshalText returns b with a unit.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// Bytes is a size in bytes that is encoded with a unit, e.g. 64KiB, 8MiB or 2GiB.
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"KB", 1e3}, {"B", 1},
}

// ParseBytes parses a size with an optional unit; a number without a unit is in bytes.
func ParseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("size %q: must be a number with a unit, e.g. 64MiB", text)
		}
		return Bytes(n * float64(u.factor)), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("size %q: must be a number with a unit, e.g. 64MiB", text)
	}
	return Bytes(n), nil
}

// String returns b in the largest of GiB, MiB, KiB and B of which it is a multiple.
func (b Bytes) String() string {
	for _, u := range byteUnits[:3] {
		if b != 0 && int64(b)%u.factor == 0 {
			return fmt.Sprintf("%d%s", int64(b)/u.factor, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}
