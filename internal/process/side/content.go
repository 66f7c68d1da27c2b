package side

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

// contentPath is the URL path for downloads of weights; the root digest follows it.
const contentPath = "/weights/"

const contentHeaderTimeout = 5 * time.Second

// newContentServer returns the HTTP server from which the engine downloads weights. It serves only complete weights
// whose root digest has been verified.
func newContentServer(cache *replica.Cache) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+contentPath+"{root}", func(w http.ResponseWriter, r *http.Request) {
		held, err := cache.Find(r.PathValue("root"))
		if err != nil || !held.Sealed() {
			http.Error(w, "weights are not held whole", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Length", strconv.FormatInt(held.Manifest.Size, 10))
		if _, err := held.WriteTo(w); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: contentHeaderTimeout}
}
