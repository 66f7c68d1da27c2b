package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
)

const (
	pieces     = 64
	pieceBytes = 32768
)

// piece returns the content of a piece of a version.
func piece(version uint64, num int) []byte {
	seed := sha256.Sum256([]byte(strconv.FormatUint(version, 10) + "/" + strconv.Itoa(num)))
	out := make([]byte, pieceBytes)
	rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))).Read(out)
	return out
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

var digests = map[uint64][]string{}

// digestsOf returns the digests of a version. It is called for all versions before anything runs.
func digestsOf(version uint64) []string {
	if digests[version] == nil {
		for i := range pieces {
			digests[version] = append(digests[version], digest(piece(version, i)))
		}
	}
	return digests[version]
}

// origin serves the digests and the pieces of all versions.
type origin struct{}

func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	switch {
	case strings.HasPrefix(r.URL.Path, name("manifest")):
		writeJSON(w, map[string]any{"model": "m0", "version": version, "chunk_bytes": pieceBytes, "layers": 16, "digests": digests[version]})
	case strings.HasPrefix(r.URL.Path, name("piece")):
		num, err := strconv.Atoi(r.URL.Query().Get("num"))
		if err != nil || num < 0 || num >= pieces {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(piece(version, num))
	default:
		http.NotFound(w, r)
	}
}
