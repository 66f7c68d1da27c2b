package response_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// Guards against statuses that no response may have being taken for those of interim or final ones.
func TestStatusesOfResponses(t *testing.T) {
	for status, valid := range map[int]bool{
		0: false, 7: false, 99: false, 100: true, 101: false, 102: true, 103: true, 199: true, 200: true, 404: true, 599: true, 600: true, 999: true,
	} {
		err := response.Check(&http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: status})
		if valid {
			assert.NilError(t, err, "status %d", status)
			continue
		}
		assert.ErrorIs(t, err, response.ErrMalformed, "status %d", status)
	}
}

// Guards against names of fields that package net/http accepts although they are none.
func TestNamesOfFields(t *testing.T) {
	for name, valid := range map[string]bool{"Extra": true, "extra-1": true, "Extra ": false, "Ex tra": false, "Content-Length ": false} {
		err := response.Check(&http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: http.Header{name: {"1"}}})
		if valid {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorIs(t, err, response.ErrMalformed, name)
	}
}

// Guards against versions of HTTP that frame their messages in other ways.
func TestVersionsOfHTTP(t *testing.T) {
	for major, valid := range map[int]bool{0: false, 1: true, 2: false, 9: false} {
		err := response.Check(&http.Response{ProtoMajor: major, StatusCode: http.StatusOK})
		assert.Equal(t, err == nil, valid, "major version %d: %v", major, err)
	}
}
