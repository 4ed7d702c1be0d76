package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

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

func (a *attempt) deadline() time.Time {
	t, _ := a.ctx.Deadline()
	return t
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
