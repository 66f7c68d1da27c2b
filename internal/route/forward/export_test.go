package forward

import "github.com/oriolehub/oriolehub/internal/route/duration"

// Estimates returns the estimates of response times.
func (h *Handler) Estimates() *duration.Estimates { return h.times.Estimates }
