package agent

import (
	"net/url"
	"sync/atomic"
	"time"

	"knotrouter/policy"
)

// request is what a client asked. The handler fills it in; what stands below
// answers belongs to the loop.
type request struct {
	client         *clientConn // nil: none waits
	abandoned      atomic.Bool // by its handler, which waits no longer: no attempt may begin
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
	answers        chan answer // room for the one that is sent

	id           policy.RequestID
	answered     bool
	attempts     []*attempt
	openAttempts int
}

// isAbandoned tells whether nobody waits for the answer any more. It is asked last of all before an
// attempt begins: the client may have gone while the request waited, or a connection came up.
func (r *request) isAbandoned() bool {
	if !r.abandoned.Load() && r.client != nil && r.client.disconnected() {
		r.abandoned.Store(true)
	}
	return r.abandoned.Load()
}

// answer is the final answer to a request.
type answer struct {
	status      policy.Status // OK: served; Full: refused; Error: failed
	body        []byte
	contentType string
	retryAfter  time.Duration
}

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

// answerRequest gives a request its final answerRequest, unless it has one.
func (l *loop) answerRequest(r *request, a answer) {
	if !r.answered {
		r.answered = true
		r.answers <- a
		l.logAnswer(r, a.status)
	}
}

// removeIfDone drops a request that is answered and has no attempt out.
func (l *loop) removeIfDone(r *request) {
	if r.answered && r.openAttempts == 0 {
		delete(l.requests, r.id)
	}
}
