package agent

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"knotrouter/policy"
)

// errBodyTooLarge is the error of a body that is longer than maxBodyBytes.
var errBodyTooLarge = errors.New("body above 64 KiB")

// requestMemory is the memory that a client's request holds. The handler and, once it has the request, the loop
// release it; the memory is free when both have.
type requestMemory struct {
	reservation *reservation
	users       atomic.Int32
}

// newRequestMemory returns the memory of a request. The request may be evicted until its memory is pinned. client
// is nil in tests without a connection.
func (a *Agent) newRequestMemory(client *clientConn) *requestMemory {
	var evict func()
	if client != nil {
		evict = client.evict
	}
	m := &requestMemory{reservation: a.budgets.requests.reserve(evict)}
	m.users.Store(1)
	return m
}

// pin excludes the request from eviction. It returns false if the request was evicted before.
func (m *requestMemory) pin() bool { return m.reservation.pin() }

// share adds a second user.
func (m *requestMemory) share() { m.users.Add(1) }

// release releases the memory for one user. It does nothing for a request without a client.
func (m *requestMemory) release() {
	if m != nil && m.users.Add(-1) == 0 {
		m.reservation.release()
	}
}

// readBody reads the body of a request. It returns a requestError if the body is invalid or incomplete, or if
// there is no memory for it.
func (a *Agent) readBody(w http.ResponseWriter, httpRequest *http.Request, r *request, client *clientConn) *requestError {
	deadline := time.Now().Add(bodyTimeout)
	var ended chan struct{}
	if client != nil {
		ended = client.ended
	}
	head := int64(r.headBytes())
	reserve := func(bytes int64) error {
		return r.memory.reservation.grow(bytes, memoryWait{deadline: deadline, ended: ended})
	}
	var err error
	if head > unreservedBytes {
		err = reserve(head)
	}
	if err == nil {
		r.body, err = readBody(http.MaxBytesReader(w, httpRequest.Body, maxBodyBytes), httpRequest.ContentLength, reserve)
	}
	httpRequest.Trailer = nil
	tooLarge := new(http.MaxBytesError)
	switch {
	case errors.Is(err, errNoMemory) || errors.Is(err, errMemoryEvicted):
		return &requestError{http.StatusServiceUnavailable, "body: no memory for it"}
	case errors.As(err, &tooLarge):
		return &requestError{http.StatusRequestEntityTooLarge, "body: above 64 KiB"}
	case err != nil:
		return &requestError{http.StatusRequestTimeout, "body: did not come whole"}
	case a.config.Settings.Classes[r.class].Effect == policy.Idempotent && len(r.body) > 0:
		return &requestError{http.StatusBadRequest, "body: this class is asked without one"}
	}
	return nil
}

// readBody reads a body to its end. length is its length, or -1 if that is unknown. Before the body takes more
// than unreservedBytes, readBody calls reserve with the size of its buffer. It returns errBodyTooLarge once it
// has read maxBodyBytes and more follows.
func readBody(body io.Reader, length int64, reserve func(bytes int64) error) ([]byte, error) {
	size := int64(maxBodyBytes)
	if length >= 0 {
		size = min(length, size)
	}
	buffer := make([]byte, 0, min(size, unreservedBytes))
	for {
		if len(buffer) == cap(buffer) && int64(cap(buffer)) < size {
			if err := reserve(size); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		var n int
		var err error
		if free := buffer[len(buffer):cap(buffer)]; len(free) > 0 {
			n, err = body.Read(free)
			buffer = buffer[:len(buffer)+n]
		} else if n, err = body.Read(make([]byte, 1)); n > 0 {
			return nil, errBodyTooLarge
		}
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
