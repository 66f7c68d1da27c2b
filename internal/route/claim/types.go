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
	// keyPrefix is the prefix of the store keys; the number of the shard follows.
	keyPrefix = "claims/"
	// shardCount is the number of store values among which the claims are distributed.
	shardCount = 16
	// claimLifetime is the time after which a claim expires.
	claimLifetime = time.Hour
	// digestBytes is the length in bytes of the truncated digests of keys and requests.
	digestBytes = 16
)

var (
	// ErrClaimed means that the key is claimed by an earlier request with the same method, target and body.
	ErrClaimed = errors.New("idempotency key is in use")
	// ErrKeyMismatch means that the key is claimed by a request with another method, target or body.
	ErrKeyMismatch = errors.New("idempotency key belongs to another call")
)

// Claim is the use of an idempotency key by one request.
type Claim struct {
	// Key is the digest of the account, the group and the idempotency key.
	Key string
	// Call is the digest of the method, the target and the body.
	Call string
	// Id identifies this claim; after a lost reply it shows whether the write took effect.
	Id string
	// RequestId is the ID of the request that claimed the key.
	RequestId string
	// Time is when the claim was added; it expires claimLifetime later.
	Time time.Time
}

// shard is the value of one store key: the claims that have not expired.
type shard struct {
	Claims []Claim
}

// Digest returns the truncated SHA-256 digest of the given parts in hex. Each part is prefixed with its length, so
// that different parts never form the same input.
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

// find returns the claim of a key unless it has expired.
func (s *shard) find(key string, now time.Time) (Claim, bool) {
	for _, c := range s.Claims {
		if c.Key == key && now.Sub(c.Time) < claimLifetime {
			return c, true
		}
	}
	return Claim{}, false
}

// drop deletes the expired claims and the claim with the given ID.
func (s *shard) drop(id string, now time.Time) {
	s.Claims = slices.DeleteFunc(s.Claims, func(c Claim) bool { return c.Id == id || now.Sub(c.Time) >= claimLifetime })
}
