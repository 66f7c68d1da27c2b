package side

import (
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

// contentPath is the path, before the root digest, at which the engine reads weights.
const contentPath = "/weights/"

const contentHeaderTimeout = 5 * time.Second

// newContentServer gives the engine beside it whole, checked weights and nothing else.
func newContentServer(shelf *replica.Cache) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+contentPath+"{root}", func(w http.ResponseWriter, r *http.Request) {
		held, err := shelf.Find(r.PathValue("root"))
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
