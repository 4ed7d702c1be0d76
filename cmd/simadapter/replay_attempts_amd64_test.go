package main

import (
	"math"
)

// This file simulates the outcomes of the adapter's attempts and probes.

// drawOutcome draws the status and the latency of an attempt that is sent to the server now.
func (s *simulator) drawOutcome(v *simServer) (status uint16, ms float64) {
	ms = (5 + 15*s.rng.ExpFloat64()) * v.slow * (1 + float64(v.open)/6)
	affected := s.rng.IntN(4) > 0
	switch {
	case v.health == healthRemoved && affected:
		return outcomeConnectFailed, 1
	case v.fault == faultErrors && affected:
		return outcomeError, 4
	case v.fault == faultRejects && affected:
		return outcomeFull, 2
	case v.fault == faultHangs:
		return outcomeTimeout, math.Inf(1)
	case v.fault == faultConnectTimeouts:
		return outcomeConnectFailed, 100
	case v.fault == faultResets && affected:
		return outcomeReset, ms / 2
	case v.fault == faultSlow:
		return outcomeOK, 12 * ms
	case s.rng.IntN(150) == 0:
		return []uint16{outcomeError, outcomeFull, outcomeConnectFailed, outcomeReset, outcomeWithdrawn}[s.rng.IntN(5)], 3
	}
	return outcomeOK, ms
}

// loadReport returns the fields of a load report, which has no values if the day has no such reports.
func (s *simulator) loadReport(v *simServer, probe bool) []any {
	if s.day.report == "on_probe" && probe || s.day.report == "inline" {
		inFlight := float64(v.open) + s.rng.Float64()
		switch {
		case v.fault == faultSlow: // other agents overload it, too
			inFlight += 8 * s.rng.Float64()
		case s.day.replicas > 8:
			inFlight += 1.5 * s.rng.Float64()
		}
		return []any{uint8(2), float32(math.Min(inFlight/8, 1)), float32(inFlight)}
	}
	return []any{uint8(0)}
}

// send starts an attempt of a request at the server. The attempt times out at the request's deadline, or
// earlier after timeoutMs if that is above 0.
func (s *simulator) send(a *simAgent, id uint32, v *simServer, timeoutMs float64) {
	r := a.requests[id]
	if r == nil || r.ended && r.endedInBatch < s.batch {
		s.t.Fatalf("request %d is sent after it ended", id)
	}
	if len(r.attempts) > 0 {
		s.counts.Retries++
	}
	t := &simAttempt{server: v, sentAt: s.clock}
	n, incarnation := len(r.attempts), a.incarnation
	r.attempts = append(r.attempts, t)
	status, ms := s.drawOutcome(v)
	if r.ended {
		status, ms = outcomeWithdrawn, 0 // the request ended in the batch that this action replies to
	}
	v.open++
	limit := r.deadline - s.clock
	if timeoutMs > 0 {
		limit = min(limit, timeoutMs)
	}
	if ms >= limit {
		status, ms = outcomeTimeout, limit
	}
	if r.class == 5 && status == outcomeOK {
		s.schedule(ms, func() []byte {
			if a.incarnation != incarnation || t.ended || t.canceled || r.ended {
				return nil
			}
			t.streaming = true
			return record(eventResponseStarted, a.number, id, v.addr, s.clock-t.sentAt, uint16(n))
		})
		ms += 60 * s.rng.Float64()
		if s.rng.IntN(10) == 0 {
			status = outcomeReset
		}
	}
	s.schedule(ms, func() []byte {
		if a.incarnation != incarnation || t.ended {
			return nil
		}
		if status == outcomeOK || t.streaming {
			r.end(s.batch)
		}
		return s.outcomeRecord(a, id, n, t, status)
	})
}

// outcomeRecord ends attempt n of a request and returns the event of its outcome.
func (s *simulator) outcomeRecord(a *simAgent, id uint32, n int, t *simAttempt, status uint16) []byte {
	t.ended = true
	t.server.open--
	fields := []any{a.number, id, uint16(n), t.server.addr, status, s.clock - t.sentAt, a.requests[id].ended}
	return record(eventOutcome, append(fields, s.loadReport(t.server, false)...)...)
}

// cancel cancels attempt n of a request, unless it has ended or its response has begun.
func (s *simulator) cancel(a *simAgent, id uint32, n int) {
	r := a.requests[id]
	if r == nil || n >= len(r.attempts) {
		s.t.Fatalf("attempt %d of request %d is canceled but was never sent", n, id)
	}
	t, incarnation := r.attempts[n], a.incarnation
	if t.ended || t.streaming || t.canceled {
		return
	}
	t.canceled = true
	s.schedule(2, func() []byte {
		if a.incarnation != incarnation || t.ended {
			return nil
		}
		return s.outcomeRecord(a, id, n, t, outcomeCancelled)
	})
}

// probe answers a probe of the server.
func (s *simulator) probe(a *simAgent, v *simServer) {
	status, ms := s.drawOutcome(v)
	if ms > 200 {
		status, ms = outcomeTimeout, 200
	}
	incarnation, sent := a.incarnation, s.clock
	s.schedule(ms, func() []byte {
		if a.incarnation != incarnation {
			return nil
		}
		return record(eventProbeResult, append([]any{a.number, v.addr, status, s.clock - sent}, s.loadReport(v, true)...)...)
	})
}
