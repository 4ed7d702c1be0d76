package agent

import (
	"net/url"
	"sync/atomic"
	"time"

	"knotrouter/policy"
)

// request is a client's request. The handler sets the fields up to answers; the later ones belong to
// the loop.
type request struct {
	client         *clientConn // nil: no client waits
	abandoned      atomic.Bool // set by the handler when it stops waiting: no attempt may begin
	class          int
	tenant         int
	affinityKey    uint64
	hintMs         float64
	hasHint        bool
	retry          bool
	deadline       time.Time
	method         string
	url            *url.URL
	host           string
	wireID         string
	idempotencyKey string
	contentType    string
	body           []byte
	memory         *requestMemory // nil: no client waits
	answers        chan answer    // receives the final answer; buffer of one

	id           policy.RequestID
	answered     bool
	attempts     []*attempt
	openAttempts int
}

// isAbandoned reports whether no client waits for the response any more. It is checked immediately
// before the first byte of an attempt is written, because the client may disconnect while the request
// is queued or a connection is established.
func (r *request) isAbandoned() bool {
	if !r.abandoned.Load() && r.client != nil && r.client.disconnected() {
		r.abandoned.Store(true)
	}
	return r.abandoned.Load()
}

// answer is the final response to a request.
type answer struct {
	status      policy.Status // OK: served; Full: rejected; Error: failed
	body        []byte
	contentType string
	retryAfter  time.Duration
	memory      *reservation // memory of body and contentType; nil: none is reserved
}

// handleRequest registers a new request and dispatches it to the balancer.
func (l *loop) handleRequest(r *request) {
	l.nextID++
	if l.nextID == 0 {
		l.nextID++
	}
	r.id = l.nextID
	l.requests[r.id] = r
	l.dispatch(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: r.class, Tenant: r.tenant,
		Key: r.affinityKey, RemainingMs: float64(time.Until(r.deadline)) / float64(time.Millisecond),
		HintMs: r.hintMs, HasHint: r.hasHint, Retry: r.retry})
}

// handleClientCanceled withdraws the attempts of a request that its handler no longer waits for.
func (l *loop) handleClientCanceled(r *request) {
	select {
	case unread := <-r.answers:
		unread.memory.release()
	default:
	}
	if r.id == 0 || r.answered {
		return
	}
	r.answered = true
	for _, a := range r.attempts {
		if a.withdraw() {
			a.cancel(errClientCanceled)
		}
	}
	l.dispatch(&policy.Event{Kind: policy.EvClientCanceled, Request: r.id})
	l.removeIfDone(r)
}

// answerRequest sends the final response to the handler, unless the request is already answered.
func (l *loop) answerRequest(r *request, a answer) {
	if r.answered {
		a.memory.release()
		return
	}
	r.answered = true
	r.answers <- a
	l.logAnswer(r, a.status)
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (l *loop) removeIfDone(r *request) {
	if _, listed := l.requests[r.id]; listed && r.answered && r.openAttempts == 0 {
		delete(l.requests, r.id)
		r.memory.release()
	}
}
