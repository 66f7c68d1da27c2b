package dispatch

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Problem is the JSON body of a response that the entry process generates itself.
type Problem struct {
	// Outcome is not-run or unknown.
	Outcome   string
	RequestId string
	Reason    string
	// Advice is what the caller may do next.
	Advice string
}

const (
	adviceNotRun  = "The request has not run. It may be sent again."
	adviceUnknown = "The request may have run and will not be repeated. Look up its result before sending it again."
)

// sink writes the response of an upstream to the caller.
type sink struct {
	w        http.ResponseWriter
	upstream string
	request  *request
}

var _ call.Sink = (*sink)(nil)

// Head writes the status and the headers, without those that apply to a single connection.
func (s *sink) Head(status int, headers []*message.Header, _ string) error {
	h := s.w.Header()
	for _, header := range headers {
		if !hopByHop[header.GetName()] {
			h.Add(header.GetName(), header.GetValue())
		}
	}
	h.Set(HeaderOutcome, call.Answered.String())
	h.Set(HeaderRequestID, s.request.id)
	h.Set(HeaderUpstream, s.upstream)
	s.w.WriteHeader(status)
	return s.flush()
}

// Body writes a part of the body and flushes it.
func (s *sink) Body(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flush()
}

func (s *sink) flush() error {
	return http.NewResponseController(s.w).Flush()
}

// refuse responds that a request has not run. A positive retryAfter is sent in the Retry-After header, rounded up
// to whole seconds.
func refuse(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeProblem(w, status, Problem{Outcome: call.NotRun.String(), RequestId: id, Reason: reason, Advice: adviceNotRun})
}

// respondUnknown responds that it is unknown whether a request has run.
func respondUnknown(w http.ResponseWriter, id, reason string) {
	writeProblem(w, http.StatusBadGateway, Problem{Outcome: call.Unknown.String(), RequestId: id, Reason: reason, Advice: adviceUnknown})
}

func writeProblem(w http.ResponseWriter, status int, p Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, p.Outcome)
	h.Set(HeaderRequestID, p.RequestId)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeRequestError(w http.ResponseWriter, id string, err error) {
	var e *requestError
	if !errors.As(err, &e) {
		e = badRequest("%v", err)
	}
	if id == "" || len(id) > maxIdentifierBytes {
		id = newID()
	}
	refuse(w, id, e.status, e.text, e.retryAfter)
}
