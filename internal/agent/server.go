package agent

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"knotrouter/policy"
)

const (
	// minSockets is the least that an agent can work with; reservedSockets are kept for
	// discovery, the listener and the runtime.
	minSockets, reservedSockets = 64, 16
	// guardMargin is how long before the client's time is up the last guard answers:
	// later than the module's own last word.
	guardMargin = 2 * time.Millisecond
	// shutdownAcceptPeriod is how long connections are taken after SIGTERM: they go on coming for
	// up to 0.4 s.
	shutdownAcceptPeriod = 450 * time.Millisecond
	// headTimeout is how long a request's head may take to come, the first from the connect
	// on, and bodyTimeout how long its body: a peer that sends no proper request is owed an
	// error or a close within 3 s of connecting, and holds a client's place until then.
	headTimeout, bodyTimeout = 1500 * time.Millisecond, time.Second
	// idleTimeout is how long a connection without a request keeps its place: no shorter than
	// clients may rely on, as no place is left for others while idle ones hold them all.
	idleTimeout = 2100 * time.Millisecond
	// readyDeadline is when a new process says that it is ready at the latest: one that knows no
	// backend refuses at once, which tells its clients more than waiting for discovery does.
	readyDeadline = 2 * time.Second
	// writeTimeout is how long a client may take to read its answer.
	writeTimeout = 2 * time.Second
	// maxRequestTimeout is the longest deadline there is, with room to spare.
	maxRequestTimeout = time.Minute
)

// backendSockets is the part of the descriptors for connections to backends;
// clientSockets that for clients'.
func backendSockets(all int) int { return (all - reservedSockets) / 2 }
func clientSockets(all int) int  { return all - reservedSockets - backendSockets(all) }

// maxOpenRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left take the next clients: one that finds none
// waits in the kernel's queue, where its request counts as taken and nobody answers.
func maxOpenRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Agent is one agent: the loop with the decisions and the server for the clients.
type Agent struct {
	loop     *loop
	server   *http.Server
	config   *Config
	log      *slog.Logger
	draining atomic.Bool
	clients  *clientConns
	stop     context.CancelFunc
}

// New makes an agent, which is told the list of its configuration.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, c, log)
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{loop: l, config: c, log: log, stop: stop,
		clients: newClientConns(clientSockets(c.Limits.Sockets))}
	a.clients.log = log
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxBodyBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*clientConn); ok && state == http.StateIdle {
				c.finishRequest()
			}
		},
	}
	return a, nil
}

// Serve answers on the listener until the context ends, then finishes what it holds.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	defer a.stop()
	go a.loop.run()
	failed := make(chan error, 1)
	done := make(chan struct{})
	accepting, stopAccepting := context.WithCancel(context.Background())
	defer stopAccepting()
	go func() {
		failed <- a.server.Serve(&listener{Listener: ln, clients: a.clients, done: done, ctx: accepting, log: a.log})
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	a.shutdown(func() {
		close(done)
		stopAccepting()
		ln.Close()
		<-failed
	})
	return nil
}

// Reconfigure takes over what may change while the agent runs: discovery's addresses and the
// services that are asked for.
func (a *Agent) Reconfigure(c *Config) {
	a.loop.post(event{kind: eventDiscoveryChanged, addrs: c.addresses(), services: c.Services})
}

// shutdown ends the agent in order: clients go on coming for a while after the signal, so
// connections at rest are closed first, while what crosses that can still come on a new one;
// then no more are accepted; then all that is held is answered.
func (a *Agent) shutdown(stopAccepting func()) {
	a.draining.Store(true)
	a.loop.post(event{kind: eventShutdown})
	a.clients.drain()
	time.Sleep(shutdownAcceptPeriod)
	stopAccepting()
	longestMs := 0.0
	for _, c := range a.config.Settings.Classes {
		longestMs = max(longestMs, c.DeadlineMs)
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(milliseconds(longestMs) + 100*time.Millisecond); a.clients.closeUnused(minUnusedBeforeEviction) > 0 && time.Now().Before(deadline); {
		<-ticker.C
	}
	a.clients.abort() // what is left is over its deadline, or never sent a request
}

// clientConnKey finds the clientConn in a request's context.
type clientConnKey struct{}

// requestError is why a request is not taken.
type requestError struct {
	status int
	text   string
}

// ServeHTTP takes one request and gives it one answer.
func (a *Agent) ServeHTTP(w http.ResponseWriter, httpRequest *http.Request) {
	arrivedAt := time.Now()
	control := http.NewResponseController(w)
	if httpRequest.ContentLength != 0 {
		// Also where it is not read here: net/http reads on to the next request.
		_ = control.SetReadDeadline(arrivedAt.Add(bodyTimeout))
	}
	client, _ := httpRequest.Context().Value(clientConnKey{}).(*clientConn)
	if client != nil {
		arrivedAt = client.arrivalTime(arrivedAt)
	}
	if client != nil && client.head.ambiguous(httpRequest.ProtoAtLeast(1, 1)) {
		w.Header().Set("Connection", "close")
		a.writeResponse(w, http.StatusBadRequest, "text/plain", []byte("body: more than one length\n"))
		return
	}
	if len(httpRequest.TransferEncoding) > 0 {
		// Should its head have been read with the request before and so gone unseen, what
		// another reader would take for a part of its body is still not read as a request.
		w.Header().Set("Connection", "close")
	}
	if httpRequest.URL.Path == "/ready" {
		a.serveReady(w)
		return
	}
	var r *request
	answered := false
	// A panic must not leave the request without an answer, nor the module with it.
	defer func() {
		if p := recover(); p != nil {
			if p == http.ErrAbortHandler {
				panic(p) // ends the connection without an answer, as it should be
			}
			a.log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			if r != nil {
				a.loop.post(event{kind: eventClientCanceled, req: r})
			}
			if !answered {
				a.writeResponse(w, http.StatusInternalServerError, "", nil)
			}
		}
	}()
	r, problem := a.readRequest(w, httpRequest, arrivedAt)
	if problem != nil {
		answered = true
		w.Header().Set("Connection", "close") // the place is for who sends proper requests
		a.writeResponse(w, problem.status, "text/plain", []byte(problem.text+"\n"))
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	var canceled chan struct{}
	if r.client = client; client != nil {
		if !client.acceptRequest() {
			panic(http.ErrAbortHandler) // it is being closed: the client may send this again
		}
		canceled = client.canceled
	}
	guard := time.NewTimer(time.Until(r.deadline) - guardMargin)
	defer guard.Stop()
	a.loop.post(event{kind: eventRequest, req: r})
	select {
	case ans := <-r.answers:
		answered = true
		a.writeAnswer(w, r, ans)
		return
	case <-httpRequest.Context().Done():
	case <-canceled:
	case <-guard.C:
		answered = true
		r.abandoned.Store(true)
		a.log.Debug("request answered", "request_id", r.wireID, "reason", reasonDeadline)
		a.writeResponse(w, http.StatusGatewayTimeout, "", nil)
		a.loop.post(event{kind: eventClientCanceled, req: r})
		return
	}
	// The client has gone. Whatever is written now could still be read as an answer by one
	// that has only ended its sending.
	r.abandoned.Store(true)
	a.log.Debug("request dropped", "request_id", r.wireID, "reason", reasonClientCanceled)
	a.loop.post(event{kind: eventClientCanceled, req: r})
	panic(http.ErrAbortHandler)
}

func (a *Agent) serveReady(w http.ResponseWriter) {
	late := time.Since(a.loop.startedAt) >= readyDeadline
	if a.draining.Load() || !a.loop.hasUsableBackend.Load() && !late {
		a.writeResponse(w, http.StatusServiceUnavailable, "text/plain", []byte("no backend to send to\n"))
		return
	}
	a.writeResponse(w, http.StatusOK, "", nil)
}

// readRequest makes a request of what the client sent, its body included.
func (a *Agent) readRequest(w http.ResponseWriter, httpRequest *http.Request, arrivedAt time.Time) (*request, *requestError) {
	r := &request{method: httpRequest.Method, url: httpRequest.URL, host: httpRequest.Host, wireID: httpRequest.Header.Get("Request-Id"),
		idempotencyKey: httpRequest.Header.Get("Idempotency-Key"), contentType: httpRequest.Header.Get("Content-Type"),
		retry: httpRequest.Header.Get("Client-Retry") == "1", answers: make(chan answer, 1)}
	parts := strings.Split(strings.Trim(httpRequest.URL.Path, "/"), "/")
	class, known := a.config.Names.classes[parts[0]]
	if !known {
		return nil, &requestError{http.StatusNotFound, "unknown class of request"}
	}
	r.class = class
	effect := a.config.Settings.Classes[class].Effect
	method := http.MethodPost
	if effect == policy.Idempotent {
		method = http.MethodGet
	}
	timeout, err := parseTimeout(httpRequest.Header.Get("Request-Timeout"))
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
	if len(parts) > 1 {
		r.affinityKey = affinityKey(parts[len(parts)-1])
	}
	if name := httpRequest.Header.Get("Tenant"); len(a.config.Names.tenants) > 0 {
		if r.tenant, known = a.config.Names.tenants[name]; !known {
			r.tenant = -1
		}
	}
	if hint, err := strconv.ParseFloat(httpRequest.Header.Get("Work-Hint"), 64); err == nil {
		r.hintMs, r.hasHint = hint/1000, true
	}
	r.body, err = io.ReadAll(http.MaxBytesReader(w, httpRequest.Body, maxBodyBytes))
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return nil, &requestError{http.StatusRequestEntityTooLarge, "body: above 64 KiB"}
		}
		return nil, &requestError{http.StatusRequestTimeout, "body: did not come whole"}
	}
	if effect == policy.Idempotent && len(r.body) > 0 {
		return nil, &requestError{http.StatusBadRequest, "body: this class is asked without one"}
	}
	return r, nil
}

// writeAnswer words a final writeAnswer.
func (a *Agent) writeAnswer(w http.ResponseWriter, r *request, result answer) {
	switch result.status {
	case policy.OK:
		a.writeResponse(w, http.StatusOK, result.contentType, result.body)
	case policy.Full:
		if result.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(result.retryAfter.Seconds(), 'f', -1, 64))
		}
		a.writeResponse(w, http.StatusServiceUnavailable, "", nil)
	default:
		a.writeResponse(w, http.StatusBadGateway, "", nil)
	}
}

// writeResponse sends an answer. While few places are left connections are closed after it, so that
// idle ones don't keep others waiting, and while the agent leaves.
func (a *Agent) writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	h := w.Header()
	if a.draining.Load() || a.clients.nearlyFull() {
		h.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h["Date"] = nil
	if contentType == "" {
		h["Content-Type"] = nil // not to be guessed
	} else {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has gone
}

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds.
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

// affinityKey gives what a request is about its number, the same at every agent; 0 is none.
func affinityKey(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
