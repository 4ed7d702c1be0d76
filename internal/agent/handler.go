package agent

import (
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"knotrouter/policy"
)

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// requestError is the response to an invalid request.
type requestError struct {
	status int
	text   string
}

// ServeHTTP answers one request of a client.
func (a *Agent) ServeHTTP(w http.ResponseWriter, httpRequest *http.Request) {
	arrivedAt := time.Now()
	if httpRequest.ContentLength != 0 {
		// The deadline also applies to a body that this handler does not read: net/http then skips the body
		// to reach the next request.
		_ = http.NewResponseController(w).SetReadDeadline(arrivedAt.Add(bodyTimeout))
	}
	client, _ := httpRequest.Context().Value(clientConnKey{}).(*clientConn)
	fields := takeFields(httpRequest)
	if client != nil {
		arrivedAt = client.arrivalTime(arrivedAt)
		client.beginHandling(httpRequest.ContentLength)
	}
	if client != nil && client.head.ambiguous(httpRequest.ProtoAtLeast(1, 1)) {
		w.Header().Set("Connection", "close")
		a.writeResponse(w, client, http.StatusBadRequest, "text/plain", []byte("body: more than one length\n"))
		return
	}
	if len(httpRequest.TransferEncoding) > 0 {
		// If the head was read together with the previous request, requestHead has not seen it. Closing
		// the connection still prevents a part of the body from being read as a request.
		w.Header().Set("Connection", "close")
	}
	if httpRequest.URL.Path == "/ready" && httpRequest.Method == http.MethodGet {
		client.paceLocalAnswer()
		a.serveReady(w, client)
		return
	}
	a.serveRequest(w, httpRequest, fields, client, arrivedAt)
}

// serveRequest reads a request and answers it with the balancer's decision, or with a timeout shortly
// before its deadline. It aborts the connection without a response if the client has disconnected.
func (a *Agent) serveRequest(w http.ResponseWriter, httpRequest *http.Request, fields requestFields, client *clientConn, arrivedAt time.Time) {
	var r *request
	answered := false
	defer func() {
		if p := recover(); p != nil {
			a.handlePanic(w, p, r, client, answered)
		}
	}()
	r, reqErr := a.readRequest(httpRequest, fields, arrivedAt)
	if reqErr == nil {
		r.memory = a.newRequestMemory(client)
		defer r.memory.release()
		reqErr = a.readBody(w, httpRequest, r, client)
	}
	if reqErr != nil {
		answered = true
		w.Header().Set("Connection", "close") // frees the slot for clients that send valid requests
		a.writeResponse(w, client, reqErr.status, "text/plain", []byte(reqErr.text+"\n"))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if client != nil && client.shedding.Load() {
		answered = true
		a.writeResponse(w, client, http.StatusServiceUnavailable, "", nil)
		return
	}
	var canceled chan struct{}
	if r.client = client; client != nil {
		if !r.memory.pin() || !client.acceptRequest() {
			panic(http.ErrAbortHandler) // the connection is being closed: the client may send the request again
		}
		canceled = client.canceled
		if !client.awaitReadAhead(httpRequest.Context()) {
			answered = true
			a.writeResponse(w, client, http.StatusServiceUnavailable, "", nil)
			return
		}
	}
	guardTimer := time.NewTimer(time.Until(r.deadline) - guardMargin)
	defer guardTimer.Stop()
	r.memory.share()
	a.loop.post(event{kind: eventRequest, req: r})
	select {
	case ans := <-r.answers:
		defer ans.memory.release()
		answered = true
		a.writeAnswer(w, r, ans)
		return
	case <-httpRequest.Context().Done():
	case <-canceled:
	case <-guardTimer.C:
		answered = true
		r.abandoned.Store(true)
		a.log.Debug("request answered", "request_id", r.wireID, "reason", reasonDeadline)
		a.writeResponse(w, client, http.StatusGatewayTimeout, "", nil)
		a.loop.post(event{kind: eventClientCanceled, req: r})
		return
	}
	// The client has disconnected, or has ended only its sending side. In the second case it would read
	// anything that is written now as a response, so nothing is written.
	r.abandoned.Store(true)
	a.log.Debug("request canceled", "request_id", r.wireID, "reason", reasonClientCanceled)
	a.loop.post(event{kind: eventClientCanceled, req: r})
	panic(http.ErrAbortHandler)
}

// handlePanic is called with the value of a recovered panic. It answers the request and removes its state
// from the balancer.
func (a *Agent) handlePanic(w http.ResponseWriter, p any, r *request, client *clientConn, answered bool) {
	if p == http.ErrAbortHandler {
		panic(p) // closes the connection without a response, as intended
	}
	a.log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
	if r != nil {
		a.loop.post(event{kind: eventClientCanceled, req: r})
	}
	if !answered {
		w.Header().Set("Connection", "close")
		a.writeResponse(w, client, http.StatusInternalServerError, "", nil)
	}
}

// readRequest reads a client's request with its body. It returns a requestError if the request is
// invalid.
func (a *Agent) readRequest(httpRequest *http.Request, fields requestFields, arrivedAt time.Time) (*request, *requestError) {
	r := &request{
		method:         httpRequest.Method,
		url:            httpRequest.URL,
		host:           httpRequest.Host,
		wireID:         fields.requestID,
		idempotencyKey: fields.idempotencyKey,
		contentType:    fields.contentType,
		retry:          fields.retry,
		answers:        make(chan answer, 1),
	}
	path := strings.Trim(httpRequest.URL.Path, "/")
	className, _, hasKey := strings.Cut(path, "/")
	class, known := a.config.Names.classes[className]
	if !known {
		return nil, &requestError{http.StatusNotFound, "unknown class of request"}
	}
	r.class = class
	effect := a.config.Settings.Classes[class].Effect
	method := http.MethodPost
	if effect == policy.Idempotent {
		method = http.MethodGet
	}
	timeout, err := parseTimeout(fields.timeout)
	switch {
	case httpRequest.Method != method:
		return nil, &requestError{http.StatusMethodNotAllowed, "this class is asked with " + method}
	case r.wireID == "":
		return nil, &requestError{http.StatusBadRequest, "Request-Id: missing"}
	case effect == policy.Deduplicated && r.idempotencyKey == "":
		return nil, &requestError{http.StatusBadRequest, "Idempotency-Key: missing"}
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, "Request-Timeout: " + err.Error()}
	}
	r.deadline = arrivedAt.Add(timeout)
	if hasKey {
		r.affinityKey = affinityKey(path[strings.LastIndexByte(path, '/')+1:])
	}
	if len(a.config.Names.tenants) > 0 {
		if r.tenant, known = a.config.Names.tenants[fields.tenant]; !known {
			r.tenant = -1
		}
	}
	if hint, err := strconv.ParseFloat(fields.workHint, 64); err == nil {
		r.hintMs, r.hasHint = hint/1000, true
	}
	return r, nil
}

// parseTimeout parses a number with a unit, m for milliseconds or u for microseconds. The result is
// above 0 and at most maxRequestTimeout.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	default:
		return 0, errors.New("no number with the unit m or u")
	}
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 63)
	if err != nil || n == 0 || n > uint64(maxRequestTimeout/unit) {
		return 0, errors.New("no number above 0 and within a minute")
	}
	return time.Duration(n) * unit, nil
}
