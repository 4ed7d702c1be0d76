package agent

import "molepaddle/internal/endpoints"

// startOf is when the process of a listed server started, on the loop's clock in ms; 0: long ago.
func (l *loop) startOf(h *endpoints.Host) float64 { return h.BornMs }
