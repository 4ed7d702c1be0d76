package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxDecisionTime bounds the time to handle one event, far above the time that handling takes.
const maxDecisionTime = 20 * time.Second

// handleInTime handles an event. A decision that does not terminate can't be stopped, so the watchdog
// panics and prints the event and all events before it.
func handleInTime(r *rig, history []Event, ev Event) []Action {
	watchdog := time.AfterFunc(maxDecisionTime, func() {
		panic(fmt.Sprintf("handling %+v does not terminate; events before it: %+v", ev, history))
	})
	defer watchdog.Stop()
	return r.handle(ev)
}

// checkQueue checks that each queued request is open, known, and queued once.
func checkQueue(t *rapid.T, b *Balancer) {
	t.Helper()
	queued := map[RequestID]bool{}
	for _, r := range b.queued {
		if r.closed || r.responseStarted || b.requests[r.id] != r || queued[r.id] {
			t.Fatalf("queued: request %d, closed %v, response started %v, known %v, queued before %v",
				r.id, r.closed, r.responseStarted, b.requests[r.id] == r, queued[r.id])
		}
		queued[r.id] = true
	}
}

// drawEvent draws an event of any kind for a request that may be unknown, finished or queued.
func drawEvent(t *rapid.T, requests int) Event {
	kind := rapid.SampledFrom([]EventKind{EvRequest, EvRequest, EvOutcome, EvOutcome, EvResponseStarted, EvClientCanceled, EvTimer, EvList,
		EvUnsolicited}).Draw(t, "kind")
	ev := Event{
		Kind:        kind,
		Request:     RequestID(rapid.IntRange(1, requests+1).Draw(t, "request")),
		Class:       rapid.IntRange(0, 2).Draw(t, "class"),
		Key:         uint64(rapid.IntRange(0, 3).Draw(t, "key")),
		RemainingMs: float64(rapid.SampledFrom([]int{0, 1, 50, 600}).Draw(t, "remaining")),
		Attempt:     rapid.IntRange(-1, 3).Draw(t, "attempt"),
		Server:      addr(rapid.IntRange(0, 3).Draw(t, "server")),
		Status:      rapid.SampledFrom([]Status{OK, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Withdrawn}).Draw(t, "status"),
		LatencyMs:   float64(rapid.IntRange(0, 500).Draw(t, "latency")),
		Final:       rapid.Bool().Draw(t, "final"),
	}
	switch kind {
	case EvTimer:
		ev.Token = rapid.SampledFrom([]uint32{tickToken, watchToken, confirmationToken}).Draw(t, "token")
	case EvList:
		ev.List = rapid.SampledFrom([]ListKind{ListCached, ListFull, ListChange}).Draw(t, "list")
		ev.Entries = []Entry{{Server: ev.Server, Health: rapid.SampledFrom([]Health{Ready, Draining, Gone}).Draw(t, "health"), Weight: 1}}
	}
	return ev
}

// In any order of events, including orders that no agent can cause, handling each event terminates and no
// finished request stays queued.
func TestDecisionsEndInAnyOrderOfEvents(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.Limits.OpenCap = rapid.SampledFrom([]int{0, 3}).Draw(t, "open cap")
		settings.Limits.Cancelling = rapid.Bool().Draw(t, "cancelling")
		r := newRig(outer, settings, 3)
		var history []Event
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			r.now += float64(rapid.SampledFrom([]int{0, 0, 1, 20, 400}).Draw(t, "ms"))
			ev := drawEvent(t, len(history))
			handleInTime(r, history, ev)
			history = append(history, ev)
			checkQueue(t, r.b)
		}
	})
}

// The start of a response is ignored if its attempt has already ended: the request is still retried or
// finished.
func TestResponseStartedAfterItsAttempt(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	id, server := r.mustSend(0, 0)
	r.b.retryDebt, r.b.retryDebtAt = 100, r.now // keeps the retry queued
	r.outcome(id, 0, server, Reset, 5)
	if len(r.b.queued) != 1 {
		t.Fatalf("%d requests are queued for a retry", len(r.b.queued))
	}
	handleInTime(r, nil, Event{Kind: EvResponseStarted, Request: id, Server: server})
	r.now += 700 // beyond the request's deadline
	actions := handleInTime(r, nil, Event{Kind: EvTimer, Token: tickToken})
	if find(actions, ActReject) == nil || len(r.b.queued) != 0 || len(r.b.requests) != 0 {
		t.Errorf("no final answer: %+v, %d queued, %d known", actions, len(r.b.queued), len(r.b.requests))
	}
}
