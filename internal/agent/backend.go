package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/transient"
	"knotrouter/policy"
)

const maxBodyBytes = 64 << 10 // of a request and of an answer

var (
	errAttemptWithdrawn      = errors.New("attempt withdrawn before its first byte")
	errNoSockets             = errors.New("no socket left for a new connection")
	errAttemptCanceled       = errors.New("attempt cancelled")
	errTrailingBytes         = errors.New("answer: bytes behind its end, or an end in doubt")
	errBackendDrained        = errors.New("backend drains or is gone")
	errClientCanceled        = errors.New("nobody waits for the answer")
	errResponseBeforeRequest = errors.New("an answer to a request that has not gone out whole")
	errDedupWindowExpired    = errors.New("too late for a repeat to be known as one")
	errUnboundedBody         = errors.New("a body that ends with the connection was not waited for")
)

// backend is one listed server and the connections to it. The loop owns it; the
// transport is shared with the attempts.
type backend struct {
	addr          policy.Addr
	dialAddr      string
	listedStartMs float64 // start of its process, by discovery's clock
	loopStartMs   float64 // the same by the loop's
	usable        bool
	transport     *http.Transport
	attempts      map[*attempt]struct{} // out now
}

// withdrawAttempts stops the attempts of which no byte has gone out, and closes the connections
// that stand idle: a backend that drains, is gone or is another now gets nothing more.
func (b *backend) withdrawAttempts() {
	for a := range b.attempts {
		if a.withdraw() {
			a.cancel(errBackendDrained)
		}
	}
	b.transport.CloseIdleConnections()
}

// removeUnused forgets a backend that is not to be sent to and has no attempt out.
func (l *loop) removeUnused(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.transport.CloseIdleConnections()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}

// dialer opens connections to backends within the process's share of descriptors.
type dialer struct {
	connect           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxIdlePerBackend int
	open              atomic.Int64
	maxOpen           int64
}

// newTransport makes the connections of one backend. Each backend has its own, so
// that its idle connections can be closed alone.
func (d *dialer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         d.dialForAttempt,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.maxIdlePerBackend,
		IdleConnTimeout:     d.idleTimeout,
		// What a head without an end may take of the memory, once for each attempt out.
		MaxResponseHeaderBytes: maxBodyBytes,
	}
}

// dialForAttempt opens a connection for the attempt in ctx. The transport detaches its dials
// from the request, to keep the connection for a later one; here a dialForAttempt ends with
// its attempt, so that none is left running to a backend that was given up.
func (d *dialer) dialForAttempt(ctx context.Context, network, addr string) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, errors.New("dial without an attempt")
	}
	if d.open.Add(1) > d.maxOpen {
		d.open.Add(-1)
		return nil, errNoSockets
	}
	ctx, cancel := context.WithTimeout(a.ctx, d.connectTimeout)
	defer cancel()
	c, err := connectWithRetry(ctx, func(ctx context.Context) (net.Conn, error) { return d.connect(ctx, network, addr) })
	if err == nil && a.ctx.Err() != nil { // it came up in the moment in which it was given up
		c.Close()
		err = a.ctx.Err()
	}
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &backendConn{Conn: c, dialer: d, framing: responseFraming{framingState: framingState{complete: true}}}, nil
}

// connectWithRetry connects again while a connect fails for want of something on this machine or of a
// way through the network, as long as the context lets it. What is left then is wrapped in errNoSockets
// where this machine is to blame.
func connectWithRetry(ctx context.Context, connect func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	for retries := 0; ; retries++ {
		c, err := connect(ctx)
		local := transient.IsLocal(err)
		if err == nil || !local && !transient.IsNetwork(err) || !transient.Backoff(ctx, retries) {
			if local {
				err = errors.Join(errNoSockets, err)
			}
			return c, err
		}
	}
}

// backendConn is a connection to a backend. It knows the attempt that it carries and asks
// it before a byte goes out.
type backendConn struct {
	net.Conn
	dialer  *dialer
	attempt atomic.Pointer[attempt]
	framing responseFraming
	closed  sync.Once
}

func (c *backendConn) Read(p []byte) (int, error) {
	if c.framing.hasTrailingBytes() {
		return 0, errTrailingBytes
	}
	n, err := c.Conn.Read(p)
	if got := c.framing.scan(p[:n]); got < n {
		return got, errTrailingBytes
	}
	return n, err
}

func (c *backendConn) Write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil || !a.allowWrite(c) {
		return 0, errAttemptWithdrawn
	}
	if err := c.Conn.SetWriteDeadline(a.sendBy); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil && n < len(p) {
		a.writeFailed.Store(true) // the last byte can no longer follow
	}
	return n, err
}

func (c *backendConn) Close() error {
	c.closed.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

type attemptKey struct{}

// The stages of an attempt.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written: none will be
)

// attempt is one send of a request to a backend. A probe is one too, of a request that
// has no id and that no client waits for.
type attempt struct {
	req     *request
	index   int
	backend *backend
	started time.Time
	sendBy  time.Time // when its last byte has to be written; zero: whenever

	transport *http.Transport // the backend's, and its address, when the attempt began
	dialAddr  string

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stage        atomic.Int32
	header       http.Header                 // of the request as the backend gets it
	conn         atomic.Pointer[backendConn] // the one that it may be written to
	writeFailed  atomic.Bool                 // a write failed: the request did not go out whole
	bodyConsumed atomic.Bool                 // its body was taken to the last byte
	// firstByte is how long after its start its first byte was let out, in ns; 0: none was.
	firstByte atomic.Int64
}

// allowWrite is asked before each write. It lets an attempt out on one connection only,
// which also stops a second copy that a library might send by itself.
func (a *attempt) allowWrite(c *backendConn) bool {
	if a.conn.Load() != c {
		return false
	}
	switch a.stage.Load() {
	case attemptSending:
		return true
	case attemptWithdrawn:
		return false
	}
	if a.req.isAbandoned() || a.sendWindowExpired() {
		a.withdraw()
		return false
	}
	if !c.framing.beginResponse() || !a.stage.CompareAndSwap(attemptWaiting, attemptSending) {
		return false
	}
	a.firstByte.Store(max(int64(time.Since(a.started)), 1))
	return true
}

// sendWindowExpired tells whether the time is over in which it may go out.
func (a *attempt) sendWindowExpired() bool { return !a.sendBy.IsZero() && !time.Now().Before(a.sendBy) }

// withdraw stops an attempt of which no byte went out, and reports whether it is so.
func (a *attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// gotConn binds the attempt to its connection; to the first one only.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*backendConn); ok && a.conn.CompareAndSwap(nil, c) {
		c.attempt.Store(a)
		a.setTimeoutHeader() // now, and not before a connect that takes long: the transport writes it next
	}
}

// result is how an attempt ended.
type result struct {
	status      policy.Status
	latency     time.Duration
	body        []byte
	contentType string // the answer's Content-Type
	loadReport  string // the answer's load report
	err         error  // why no whole answer came; nil: one did
}

// run sends the attempt and waits for its end. When it returns, the connection is
// closed or free for the next, and no further byte of the attempt goes out.
func (a *attempt) run() result {
	if !a.sendBy.IsZero() {
		defer time.AfterFunc(time.Until(a.sendBy), func() {
			if a.withdraw() {
				a.cancel(errDedupWindowExpired)
			}
		}).Stop()
	}
	res, err := a.roundTrip()
	if err != nil {
		res.status, res.err = a.failureStatus(err), err
		if c := a.conn.Load(); c != nil {
			c.Close()
		}
	}
	a.cancel(nil)
	res.latency = time.Since(a.started)
	return res
}

// roundTrip returns an error where no whole answer came.
func (a *attempt) roundTrip() (res result, err error) {
	ctx := context.WithValue(a.ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := a.transport.RoundTrip(a.outgoingRequest().WithContext(ctx))
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	res.loadReport = resp.Header.Get("Server-Load")
	if resp.StatusCode == http.StatusOK && !a.bodyConsumed.Load() {
		return res, errResponseBeforeRequest
	}
	body, err := readResponseBody(resp)
	if err != nil && resp.StatusCode == http.StatusOK {
		return res, fmt.Errorf("answer: %w", err)
	}
	if a.conn.Load().framing.hasTrailingBytes() {
		return res, errTrailingBytes
	}
	switch {
	case resp.StatusCode == http.StatusOK && len(body) <= maxBodyBytes:
		res.status, res.body, res.contentType = policy.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		res.status = policy.Full
	default:
		res.status = policy.Error // it may have run
	}
	if err != nil || len(body) > maxBodyBytes {
		a.conn.Load().Close()
	}
	return res, nil
}

// readResponseBody reads an answer's body, one byte more than there may be at the most. A body without a
// length ends with the connection: a server that closes it has sent all, and a reset is an error
// (PROTOCOL, "Agents to programme servers"). Of an answer that is not passed on such a body is not
// waited for.
func readResponseBody(resp *http.Response) ([]byte, error) {
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if untilClose && resp.StatusCode != http.StatusOK {
		return nil, errUnboundedBody
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
}

// outgoingRequest is the request as the backend gets it. The transport sends a request
// again by itself, unasked, if it has no body or can get it anew; so it always has
// a body here, one that can't be had twice.
func (a *attempt) outgoingRequest() *http.Request {
	r := a.req
	u := *r.url
	u.Scheme, u.Host = "http", a.dialAddr
	h := http.Header{"User-Agent": {""}}
	a.header = h
	a.setTimeoutHeader()
	if r.wireID != "" {
		h["Request-Id"] = []string{r.wireID}
	}
	if r.idempotencyKey != "" {
		h["Idempotency-Key"] = []string{r.idempotencyKey}
	}
	if r.contentType != "" {
		h["Content-Type"] = []string{r.contentType}
	}
	a.bodyConsumed.Store(len(r.body) == 0)
	return &http.Request{Method: r.method, URL: &u, Host: r.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &requestBody{reader: bytes.NewReader(r.body), consumed: &a.bodyConsumed}, ContentLength: int64(len(r.body))}
}

// setTimeoutHeader sets what the backend is told of the time that the agent will wait.
func (a *attempt) setTimeoutHeader() {
	left := max(time.Until(a.deadline()).Milliseconds(), 1)
	a.header["Request-Timeout"] = []string{strconv.FormatInt(left, 10) + "m"}
}

// requestBody is a request's body on its way out. It notes when it was taken to its last byte, which
// the transport sends on before it comes for more.
type requestBody struct {
	reader   *bytes.Reader
	consumed *atomic.Bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.reader.Len() == 0 {
		b.consumed.Store(true)
	}
	return n, err
}

func (b *requestBody) Close() error { return nil }

func (a *attempt) deadline() time.Time {
	t, _ := a.ctx.Deadline()
	return t
}

// failureStatus tells how an attempt ended that got no whole answer. In doubt it may have run.
func (a *attempt) failureStatus(err error) policy.Status {
	notSent := a.withdraw()
	cause := context.Cause(a.ctx)
	switch {
	case notSent && (a.req.abandoned.Load() || a.sendWindowExpired()):
		return policy.Withdrawn // the backend is not to blame
	case notSent && (errors.Is(err, errNoSockets) || errors.Is(cause, errBackendDrained)):
		return policy.Full
	case errors.Is(cause, errAttemptCanceled):
		return policy.Cancelled
	case notSent || a.writeFailed.Load():
		return policy.ConnectFailed
	case cause != nil:
		return policy.Timeout
	}
	return policy.Reset
}

// parseLoadReport reads the values that the settings name from a load parseLoadReport of the form
// 'TEXT name=value, name=value'.
func parseLoadReport(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				x, err := strconv.ParseFloat(value, 32)
				if err != nil {
					return nil
				}
				values[i] = float32(x)
			}
		}
	}
	return values
}
