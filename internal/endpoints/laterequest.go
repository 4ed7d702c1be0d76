package endpoints

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lateRequestTimeout is how long a request may take to its first byte. A call does not wait that long: it is given
	// up after its own timeout, so that a service that does not answer is left in time.
	lateRequestTimeout = 30 * time.Second
	// maxLateRequests limits the requests of given-up calls to which a client still listens. Beyond that, the latest
	// one is dropped: those before it are nearer to their answers.
	maxLateRequests = 3
)

// requestKey identifies requests whose answers a call can use alike.
type requestKey struct {
	query                       string
	subscription                uint64
	needsFullList, sendsVersion bool
}

// key returns the key of a request with this query for the subscription.
func (s *subscription) key(query string) requestKey {
	return requestKey{query: query, subscription: s.number, needsFullList: s.needsFullList, sendsVersion: s.sendsVersion}
}

// listRequest is a request for a list or a watch, and a reader of the body of its response. It may outlive the call
// that sent it.
type listRequest struct {
	addr     string
	key      requestKey
	sentAt   time.Time
	cancel   context.CancelFunc
	timer    *time.Timer   // cancels the request unless its first byte arrives in time
	answered chan struct{} // closed when resp and first, or err, are set

	resp  *http.Response
	first []byte // the first bytes of the body; empty: none, or they were read
	err   error
}

// startRequest sends a request. It ends with ctx.
func (c *Client) startRequest(ctx context.Context, addr string, key requestKey) *listRequest {
	ctx, cancel := context.WithCancel(ctx)
	r := &listRequest{addr: addr, key: key, sentAt: time.Now(), cancel: cancel, answered: make(chan struct{})}
	r.timer = time.AfterFunc(lateRequestTimeout, cancel)
	go r.run(ctx, c)
	return r
}

// run sends the request and waits for the first bytes of the body.
func (r *listRequest) run(ctx context.Context, c *Client) {
	defer close(r.answered)
	if r.resp, r.err = c.requestList(ctx, r.addr, r.key.query); r.err != nil {
		return
	}
	buffer := make([]byte, watchBufferBytes)
	n, err := r.resp.Body.Read(buffer)
	r.first = buffer[:n]
	if n == 0 && err != nil && err != io.EOF {
		r.resp.Body.Close()
		r.err = err
	}
}

// isAnswered reports whether the response or an error has arrived.
func (r *listRequest) isAnswered() bool {
	select {
	case <-r.answered:
		return true
	default:
		return false
	}
}

// Read reads the body of the response.
func (r *listRequest) Read(p []byte) (int, error) {
	if len(r.first) > 0 {
		n := copy(p, r.first)
		r.first = r.first[n:]
		return n, nil
	}
	return r.resp.Body.Read(p)
}

// Close ends the request and, as soon as there is one, its response.
func (r *listRequest) Close() {
	r.timer.Stop()
	r.cancel()
	go func() {
		<-r.answered
		if r.err == nil {
			r.resp.Body.Close()
		}
	}()
}

// lateRequests holds the requests of calls that were given up because the service had not answered in time. It still
// answers them, in turn, and a reader that always gave up before that would never hear it.
type lateRequests struct {
	onAnswer func()        // is called when one of the requests has been answered with a list; may be nil
	arrived  chan struct{} // receives a value when one of the requests has been answered; buffer of one

	mu       sync.Mutex
	requests []*listRequest
}

// newLateRequests returns an empty set.
func newLateRequests(onAnswer func()) *lateRequests {
	return &lateRequests{onAnswer: onAnswer, arrived: make(chan struct{}, 1)}
}

// add keeps a request, unless there are too many.
func (l *lateRequests) add(r *listRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.requests) >= maxLateRequests {
		r.Close()
		return
	}
	l.requests = append(l.requests, r)
	go l.notify(r)
}

// notify waits for the answer to a request and announces it.
func (l *lateRequests) notify(r *listRequest) {
	<-r.answered
	select {
	case l.arrived <- struct{}{}:
	default:
	}
	if r.err == nil && l.onAnswer != nil {
		l.onAnswer()
	}
}

// drop ends the requests for which unusable returns true.
func (l *lateRequests) drop(unusable func(*listRequest) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = slices.DeleteFunc(l.requests, func(r *listRequest) bool {
		if unusable(r) {
			r.Close()
			return true
		}
		return false
	})
}

// dropAll ends all requests.
func (l *lateRequests) dropAll() { l.drop(func(*listRequest) bool { return true }) }

// take returns a request with this key that was answered with a list and ends all others; nil: there is none. Requests
// that failed and those with another key, which no call can use any more, are ended.
func (l *lateRequests) take(key requestKey) (answered *listRequest) {
	l.drop(func(r *listRequest) bool { return r.key != key || r.isAnswered() && r.err != nil })
	l.mu.Lock()
	if i := slices.IndexFunc(l.requests, (*listRequest).isAnswered); i >= 0 {
		answered = l.requests[i]
		l.requests = slices.Delete(l.requests, i, i+1)
	}
	l.mu.Unlock()
	if answered != nil {
		l.dropAll()
	}
	return answered
}

// isEmpty reports whether no request is kept.
func (l *lateRequests) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests) == 0
}

// await waits until a kept request with this key is answered with a list, and returns it. It returns nil if none is
// left or ctx ends.
func (l *lateRequests) await(ctx context.Context, key requestKey) *listRequest {
	for {
		if r := l.take(key); r != nil || l.isEmpty() {
			return r
		}
		select {
		case <-l.arrived:
		case <-ctx.Done():
			return nil
		}
	}
}

// request sends a request to addr and waits until it, or a late one with the same key, is answered with a list. The
// caller has to close the request that it gets. wait limits the wait; if it ends with errSilenceTimeout, the request
// goes on as a late one. Requests end with ctx.
func (c *Client) request(ctx, wait context.Context, addr string, key requestKey, late *lateRequests) (*listRequest, error) {
	own := c.startRequest(ctx, addr, key)
	for {
		if r := late.take(key); r != nil {
			own.Close()
			return r, nil
		}
		select {
		case <-own.answered:
			if own.err != nil {
				own.Close()
				return nil, own.err
			}
			late.dropAll()
			return own, nil
		case <-late.arrived:
		case <-wait.Done():
			cause := context.Cause(wait)
			if errors.Is(cause, errSilenceTimeout) && ctx.Err() == nil {
				late.add(own)
			} else {
				own.Close()
			}
			return nil, cause
		}
	}
}

// endWith ends the request when call ends, and its limit on the time to the first byte, which has arrived. The caller
// has to call stop when it has read the response.
func (r *listRequest) endWith(call context.Context) (stop func() bool) {
	r.timer.Stop()
	return context.AfterFunc(call, r.cancel)
}
