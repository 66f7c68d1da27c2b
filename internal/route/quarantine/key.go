package quarantine

import (
	"iter"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 48
	// maxParts limits the parts of a prompt that the quarantine knows. A legal header has room for thousands.
	maxParts = 256
	// requestKeyPrefix begins the keys of requests; those of parts contain a slash or begin with hashKeyPrefix.
	requestKeyPrefix = "request-"
	hashKeyPrefix    = "hash-"
)

// Content is what two copies of a request have in common.
type Content struct {
	// Account is the name of the client account, empty if the request has none.
	Account string
	Method  string
	Host    string
	Target  string
	Body    []byte
	// Prompt identifies the whole prompt, SharedParts are the parts that other requests may share, in their order; nil for none.
	Prompt      string
	SharedParts iter.Seq[string]
}

// Keys are the keys under which the quarantine knows a request.
type Keys struct {
	// Parts are the keys of the first maxParts shared parts of its prompt, in their order and without empty ones.
	Parts []string
	// Request is the key of the request as a whole, the same for all copies of it.
	Request string
}

// KeysOf returns the keys of a request to a service. The key of a part is SERVICE/PART, or a hash of it if that is long
// or has other characters than letters, digits and "-_.".
func KeysOf(service string, c *Content) Keys {
	k := Keys{Request: requestKey(service, c)}
	if c.SharedParts == nil {
		return k
	}
	for p := range c.SharedParts {
		if len(k.Parts) == maxParts {
			break
		}
		if p != "" {
			k.Parts = append(k.Parts, partKey(service, p))
		}
	}
	return k
}

func partKey(service, part string) string {
	k := service + "/" + part
	if len(k) <= maxKeyBytes && isPlain(service) && isPlain(part) {
		return k
	}
	return hashKeyPrefix + strconv.FormatUint(xxhash.Sum64String(k), 16)
}

// requestKey returns a hash of a request. Each value is preceded by its length, so that different requests do not have the
// same concatenation.
func requestKey(service string, c *Content) string {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{service, c.Account, c.Method, c.Host, c.Target, c.Prompt} {
		_, _ = d.WriteString(strconv.Itoa(len(s)) + ":" + s)
	}
	_, _ = d.Write(c.Body)
	return requestKeyPrefix + strconv.FormatUint(d.Sum64(), 16)
}

// list returns all keys of a request.
func (k *Keys) list() []string {
	if k.Request == "" {
		return k.Parts
	}
	return append(slices.Clone(k.Parts), k.Request)
}

// isRequestKey reports whether a key is that of a request and not of a part of a prompt, whose service may have any name.
func isRequestKey(k string) bool {
	return strings.HasPrefix(k, requestKeyPrefix) && !strings.Contains(k, "/")
}

// isPlain reports whether s consists of letters, digits and "-_.", which take one byte each in JSON.
func isPlain(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.'
	})
}

// isKey reports whether s, which another process has sent, can be a key.
func isKey(s string) bool { return s != "" && len(s) <= maxKeyBytes }
