package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// Guards against a fault of the program that closes a caller's connection without a response, or lets a part of one look complete.
func TestRequestIsAnsweredAfterAPanic(t *testing.T) {
	serve := func(handler http.HandlerFunc) (*http.Response, error) {
		s := httptest.NewServer(recoverPanics(journal.Discard().Logger(journal.Process))(handler))
		defer s.Close()
		return http.Get(s.URL)
	}
	resp, err := serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1")
		panic("no response")
	})
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, string(body), "internal error\n")
	_, err = serve(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		panic("within a response")
	})
	assert.ErrorIs(t, err, io.EOF)
	_, err = serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	assert.ErrorIs(t, err, io.EOF)
}
