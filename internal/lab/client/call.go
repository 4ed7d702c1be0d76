package client

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"knotrouter/internal/lab/check"
)

const (
	// maxAnswerBytes bounds the size of the body of an answer.
	maxAnswerBytes = 64 << 10
	// maxRetryAfter is the shortest delay for which a Retry-After header is ignored as too long.
	maxRetryAfter = time.Hour
)

// The protocol's headers of requests and answers.
const (
	headerRequestID      = "Request-Id"
	headerRequestTimeout = "Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerClientRetry    = "Client-Retry" // "1": the request is a retry
	headerNotStarted     = "Not-Started"  // "1": the server has not begun to execute the request
)

// call is a request to one address.
type call struct {
	addr           string
	request        *check.Request
	header         http.Header
	deadline       time.Time
	connectTimeout time.Duration
	clock          check.Clock
}

// httpRequest returns the request in the form in which it is written to a connection.
func (c *call) httpRequest() *http.Request {
	u, _ := url.ParseRequestURI(c.request.Path)
	httpRequest := &http.Request{Method: c.request.Method, URL: u, Host: "backend.local", Header: c.header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.request.Body))}
	if c.request.Body != "" {
		httpRequest.Body = io.NopCloser(strings.NewReader(c.request.Body))
	}
	return httpRequest
}

// response is the answer to a call.
type response struct {
	check.Answer
	notStarted bool          // the server has not begun to execute the request
	retryAfter time.Duration // delay that the Retry-After header asks for; 0 if there is none
}

// call sends a request and waits for its answer until the deadline. If the other side closes an idle
// connection while the request is being sent, and no server has received the request, the request is sent
// once more on a new connection, as HTTP allows.
func (p *Pool) call(c *call) response {
	result, stale := p.attempt(c, false)
	if stale {
		if received, _ := c.request.Attempts(); received == 0 {
			extraBytesBefore := result.ExtraBytesBefore
			result, _ = p.attempt(c, true)
			result.ExtraBytesBefore = extraBytesBefore
		}
	}
	return result
}

// attempt sends a request once. stale reports that its connection, which was idle before, was closed
// without a reset before an answer began.
func (p *Pool) attempt(c *call, forceNew bool) (result response, stale bool) {
	result.Outcome = check.Unreachable
	conn, extraBytes, err := p.get(c.addr, c.deadline, c.connectTimeout, forceNew)
	result.ExtraBytesBefore = extraBytes
	if err != nil {
		result.At = c.clock()
		if errors.Is(err, errNoIdleConnection) {
			result.Outcome = check.Void
		}
		return result, false
	}
	result.NewConnection, result.Outcome = !conn.used, check.Unanswered
	conn.used = true
	_ = conn.SetDeadline(c.deadline)
	httpRequest := c.httpRequest()
	if err := httpRequest.Write(conn); err != nil {
		p.drop(conn)
		result.At, result.Closed = c.clock(), true
		return result, !result.NewConnection
	}
	result.Sent = true
	if _, err := conn.reader.Peek(1); err != nil {
		p.drop(conn)
		result.At, result.Closed = c.clock(), !errors.Is(err, os.ErrDeadlineExceeded)
		// A reset, unlike EOF, means that the other process died.
		return result, !result.NewConnection && errors.Is(err, io.EOF)
	}
	result.Partial = true
	p.readResponse(conn, httpRequest, c.clock, &result)
	return result, false
}

// readResponse reads a response whose first byte has arrived, and returns the connection to the pool or
// closes it.
func (p *Pool) readResponse(conn *pooledConn, httpRequest *http.Request, clock check.Clock, result *response) {
	httpResponse, err := http.ReadResponse(conn.reader, httpRequest)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxAnswerBytes))
		httpResponse.Body.Close()
	}
	result.At = clock()
	if err != nil {
		p.drop(conn)
		result.Closed = !errors.Is(err, os.ErrDeadlineExceeded)
		return
	}
	result.Body = string(body)
	result.Outcome = outcomeOf(httpResponse.StatusCode)
	result.notStarted = httpResponse.Header.Get(headerNotStarted) == "1"
	result.retryAfter = parseRetryAfter(httpResponse.Header.Get("Retry-After"))
	result.ExtraBytes = conn.reader.Buffered() > 0
	if httpResponse.Close || result.ExtraBytes {
		p.drop(conn)
	} else {
		p.put(conn)
	}
}

// outcomeOf returns the outcome of an answer with the given status.
func outcomeOf(status int) check.Outcome {
	switch status {
	case http.StatusOK:
		return check.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return check.Rejected
	}
	return check.Failed
}

// parseRetryAfter parses a number of seconds, with or without a fraction. It returns 0 if the number is
// missing, invalid, not positive or at least maxRetryAfter.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds < maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
