package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span written with its unit, e.g. 500ms, 2s or 10m.
type Duration time.Duration

// Std returns the span as the type of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the span with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns the span with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// MarshalText returns the size with its unit.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// Bytes is a size written with its unit, e.g. 64KiB, 8MiB or 2GiB.
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"KB", 1e3}, {"B", 1},
}

// ParseBytes returns the size that text names; a bare number counts bytes.
func ParseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("size %q: want a number and a unit, e.g. 64MiB", text)
		}
		return Bytes(n * float64(u.factor)), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("size %q: want a number and a unit, e.g. 64MiB", text)
	}
	return Bytes(n), nil
}

// String returns the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits[:3] {
		if b != 0 && int64(b)%u.factor == 0 {
			return fmt.Sprintf("%d%s", int64(b)/u.factor, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}
