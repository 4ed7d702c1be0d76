package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"knotrouter/internal/transient"
	"knotrouter/policy"
)

const maxBodyBytes = 64 << 10 // limit of request and response bodies

var (
	errAttemptWithdrawn      = errors.New("attempt withdrawn before its first byte")
	errNoSockets             = errors.New("no socket available for a new connection")
	errNotReusableYet        = errors.New("attempt timed out during the reuse delay of its connection")
	errAttemptCanceled       = errors.New("attempt cancelled")
	errTrailingBytes         = errors.New("response: trailing bytes, or framing that HTTP/1.1 does not allow")
	errBackendDrained        = errors.New("backend draining, removed or replaced")
	errClientCanceled        = errors.New("client no longer waits for the response")
	errResponseBeforeRequest = errors.New("response before the request was sent completely")
	errDedupWindowExpired    = errors.New("deduplication window expired before the request was sent")
	errUnexpectedUpgrade     = errors.New("response: unrequested protocol switch")
	errUnboundedBody         = errors.New("response: body without a length was not read")
)

// maxConnRetries limits how often an attempt switches to another connection because the chosen one has
// become unusable.
const maxConnRetries = 3

// attemptKey is the context key of the attempt that a dial serves.
type attemptKey struct{}

// The stages of an attempt.
const (
	attemptWaiting   int32 = iota // no byte was written
	attemptSending                // a byte may have been written
	attemptWithdrawn              // withdrawn before a byte was written; none will be
)

// attempt is one request sent to one backend. A health check is an attempt too, with a request that
// has no identifier and no client.
type attempt struct {
	req     *request
	index   int
	backend *backend
	started time.Time
	sendBy  time.Time // the latest time to write the last byte; zero: no limit

	transport  *backendTransport // the backend's transport when the attempt began
	dialAddr   string            // the backend's address when the attempt began
	reuseDelay time.Duration     // minimum time from the last attempt on a connection to its reuse
	singleUse  bool              // the attempt gets a new connection, which carries no other attempt
	slot       *connSlot         // slot of the attempt's connection while the attempt runs
	reuseWait  time.Duration     // time spent waiting for the reuse delay of its connection

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stage        atomic.Int32
	memory       *reservation                // memory of the response; nil: none is reserved
	header       http.Header                 // header fields of the outgoing request
	conn         atomic.Pointer[backendConn] // the only connection that the attempt may be written to
	connStale    atomic.Bool                 // the last connection had been used before and has become unusable
	writeFailed  atomic.Bool                 // a write failed: the request was not sent completely
	bodyConsumed atomic.Bool                 // the transport has read the last byte of the body
	// firstByteNs is the time from the start of the attempt until its first write was allowed, in ns; 0: none
	// was allowed.
	firstByteNs atomic.Int64
}

// allowWrite reports whether the attempt may write on c. It is called before each write. An attempt
// writes on one connection only, which also prevents net/http from resending the request on its own.
// Before the first byte, allowWrite checks that the client is still connected and that the
// deduplication window is open.
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
	if !c.beginResponse() {
		a.abandonConn(c)
		c.reportUnsolicited()
		return false
	}
	// canSwitchConn may abandon c concurrently. The stage is set before a.conn is read, so either
	// canSwitchConn sees the new stage, or its change of a.conn is seen here.
	if !a.stage.CompareAndSwap(attemptWaiting, attemptSending) || a.conn.Load() != c {
		c.framing.cancelResponse()
		return false
	}
	a.firstByteNs.Store(max(int64(time.Since(a.started)), 1))
	return true
}

// sendWindowExpired reports whether the time limit for the last byte has passed.
func (a *attempt) sendWindowExpired() bool { return !a.sendBy.IsZero() && !time.Now().Before(a.sendBy) }

// withdraw stops an attempt before its first byte. It returns true if no byte was or will be
// written.
func (a *attempt) withdraw() bool {
	return a.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.stage.Load() == attemptWithdrawn
}

// gotConn is called when the transport has chosen a connection. It binds the attempt to the first
// connection that the attempt may use: the connection has not been evicted for a dial, its reuse delay is
// over and, for a single-use attempt, it is new.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*backendConn)
	if !ok {
		return
	}
	if !c.dialer.idle.claim(c) || a.singleUse && c.wasUsed() || c.reuseDelayLeft(time.Now(), a.reuseDelay) > 0 {
		a.abandonConn(c)
		return
	}
	if a.conn.CompareAndSwap(nil, c) {
		c.attempt.Store(a)
		a.setTimeoutHeader() // now, because the connect may have taken long; the transport writes the header next
	}
}

// abandonConn gives up a connection on which the attempt has not written and must not write. If the
// connection was used before, the attempt may try another connection. If it was opened for this attempt,
// the failure counts as the backend's.
func (a *attempt) abandonConn(c *backendConn) {
	c.attempt.Store(nil) // so that nothing is written on behalf of the previous attempt
	a.conn.CompareAndSwap(c, nil)
	if c.wasUsed() {
		a.connStale.Store(true)
	}
}

// deadline returns the end of the attempt's timeout.
func (a *attempt) deadline() time.Time {
	t, _ := a.ctx.Deadline()
	return t
}

// result is the outcome of an attempt.
type result struct {
	status      policy.Status
	latency     time.Duration // without the wait for a reuse delay
	body        []byte
	contentType string       // the response's Content-Type
	loadReport  string       // the response's load report
	memory      *reservation // memory of body and contentType; nil: none is reserved
	local       bool         // a resource of this machine ran out before a byte was written
	err         error        // why no complete response arrived; nil if one did
}

// run sends the attempt and waits for its end. When it returns, the connection is closed or idle,
// and no further byte of the attempt will be written.
func (a *attempt) run() result {
	if !a.sendBy.IsZero() {
		defer time.AfterFunc(time.Until(a.sendBy), func() {
			if a.withdraw() {
				a.cancel(errDedupWindowExpired)
			}
		}).Stop()
	}
	res, err := a.send()
	if err != nil {
		res.status, res.err = a.failureStatus(err), err
		res.local = res.status == policy.Full && (transient.IsLocal(err) || errors.Is(err, errNotReusableYet))
	}
	if res.status == policy.OK {
		a.memory.pin()
	} else {
		a.memory.release()
	}
	ended := time.Now()
	if c := a.conn.Load(); c != nil {
		if err != nil || a.singleUse {
			c.Close()
		}
		c.setIdleSince(ended)
		c.dialer.idle.add(c)
	}
	a.transport.release(a.slot)
	a.cancel(nil)
	res.latency = ended.Sub(a.started) - a.reuseWait
	return res
}

// send waits until the attempt's connection may be reused and sends the request. If the connection that
// the transport chose has become unusable, send tries another one, up to maxConnRetries times.
func (a *attempt) send() (result, error) {
	if a.singleUse {
		a.slot = a.transport.acquireEmpty()
	} else {
		var left time.Duration
		a.slot, left = a.transport.acquire(time.Now(), a.reuseDelay)
		if err := a.waitForReuse(left); err != nil {
			return result{}, err
		}
	}
	res, err := a.roundTrip()
	for retries := 0; err != nil && retries < maxConnRetries && a.canSwitchConn(); retries++ {
		res, err = a.roundTrip()
	}
	return res, err
}

// waitForReuse waits for the rest of the reuse delay of the attempt's connection. It returns an error if
// the attempt ends first.
func (a *attempt) waitForReuse(left time.Duration) error {
	if left <= 0 {
		return nil
	}
	began := time.Now()
	defer func() { a.reuseWait = time.Since(began) }()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-a.ctx.Done():
	}
	if cause := context.Cause(a.ctx); !errors.Is(cause, context.DeadlineExceeded) {
		return cause
	}
	return errNotReusableYet
}

// canSwitchConn reports whether the attempt may try another connection. It may if its context has not
// ended, no byte was written, and only the connection was at fault: the connection was evicted for a dial,
// or it was reused and had ended or received unsolicited bytes. canSwitchConn closes a reused connection
// that is still bound to the attempt.
func (a *attempt) canSwitchConn() bool {
	if a.stage.Load() != attemptWaiting || a.ctx.Err() != nil {
		return false
	}
	c := a.conn.Load()
	if c != nil && c.wasUsed() {
		a.abandonConn(c)
		c.Close()
	}
	return a.connStale.Swap(false) && a.conn.Load() == nil && a.stage.Load() == attemptWaiting
}

// roundTrip sends the request and reads the response. It returns an error if no complete response
// arrived.
func (a *attempt) roundTrip() (res result, err error) {
	ctx := context.WithValue(a.ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := a.transport.RoundTrip(a.outgoingRequest().WithContext(ctx))
	if err != nil {
		return res, err
	}
	fields := takeResponseFields(resp)
	if c := a.conn.Load(); c != nil {
		c.head.releaseParsing()
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return res, errUnexpectedUpgrade // the body is the connection itself, and the context does not end its reads
	}
	res.loadReport = fields.loadReport
	if resp.StatusCode == http.StatusOK && !a.bodyConsumed.Load() {
		return res, errResponseBeforeRequest
	}
	body, err := a.readResponseBody(resp, fields)
	if err != nil && resp.StatusCode == http.StatusOK && !errors.Is(err, errBodyTooLarge) {
		return res, fmt.Errorf("response: %w", err)
	}
	if a.conn.Load().framing.hasTrailingBytes() {
		return res, errTrailingBytes
	}
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		res.status, res.body, res.contentType = policy.OK, body, fields.contentType
		res.memory = a.memory
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		fields.notStarted:
		res.status = policy.Full
	default:
		res.status = policy.Error // the backend may have executed the request
	}
	if err != nil {
		a.conn.Load().Close()
	}
	return res, nil
}

// failureStatus returns the status of an attempt that failed with err. If it is unknown whether the
// backend executed the request, the status is one that counts as executed.
func (a *attempt) failureStatus(err error) policy.Status {
	notSent := a.withdraw()
	cause := context.Cause(a.ctx)
	switch {
	case notSent && (a.req.abandoned.Load() || a.sendWindowExpired()):
		return policy.Withdrawn // not the backend's fault
	case notSent && (errors.Is(err, errNoSockets) || errors.Is(err, errNotReusableYet) || a.connStale.Load() || errors.Is(cause, errBackendDrained)):
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

// parseLoadReport returns the values of names from a load report of the form 'TEXT name=value,
// name=value'. It returns nil if the text has another form or a value is not a number; a name that
// is missing has the value 0.
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
