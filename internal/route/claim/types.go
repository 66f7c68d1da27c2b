package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// keyPrefix is the store key of a shard before its number.
	keyPrefix = "claims/"
	// shardCount is the number of store values over which claims are spread.
	shardCount = 16
	// keepClaims is the time for which a claim holds.
	keepClaims = time.Hour
	// digestBytes is the length of the digests that stand for keys and calls.
	digestBytes = 16
)

var (
	// ErrClaimed reports a key that another call has used.
	ErrClaimed = errors.New("idempotency key is in use")
	// ErrOther reports a key that was used for a call with another method, target or body.
	ErrOther = errors.New("idempotency key belongs to another call")
)

// Claim is one use of a key.
type Claim struct {
	// Key is a digest of account, group and key.
	Key string
	// Call is a digest of method, target and body.
	Call string
	// Id names the use; it settles a write whose reply was lost.
	Id string
	// RequestId is the request that the key was used for.
	RequestId string
	Time      time.Time
}

// shard is the stored value: the claims that hold.
type shard struct {
	Claims []Claim
}

// Digest returns the digest of the given parts.
func Digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func decodeShard(data []byte) (shard, error) {
	var s shard
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode claims: %w: %w", hub.ErrCorrupt, err)
	}
	return s, nil
}

// find returns the claim of a key that still holds.
func (s *shard) find(key string, now time.Time) (Claim, bool) {
	for _, c := range s.Claims {
		if c.Key == key && now.Sub(c.Time) < keepClaims {
			return c, true
		}
	}
	return Claim{}, false
}

// drop removes the claims that no longer hold, and the one with an ID.
func (s *shard) drop(id string, now time.Time) {
	s.Claims = slices.DeleteFunc(s.Claims, func(c Claim) bool { return c.Id == id || now.Sub(c.Time) >= keepClaims })
}
