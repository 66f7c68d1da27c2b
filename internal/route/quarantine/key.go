package quarantine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 48

// Keys returns the keys of the parts of a prompt for a service, without empty parts. A key is SERVICE/PART, or a hash of
// it if that is long or has other characters than letters, digits and "-_.".
func Keys(service string, parts []string) []string {
	var out []string
	for _, p := range parts {
		if p != "" {
			out = append(out, key(service, p))
		}
	}
	return out
}

func key(service, part string) string {
	k := service + "/" + part
	if len(k) <= maxKeyBytes && isPlain(service) && isPlain(part) {
		return k
	}
	return "hash-" + strconv.FormatUint(xxhash.Sum64String(k), 16)
}

// isPlain reports whether s consists of letters, digits and "-_.", which take one byte each in JSON.
func isPlain(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.'
	})
}

// isKey reports whether s, which another process has sent, can be a key.
func isKey(s string) bool { return s != "" && len(s) <= maxKeyBytes }
