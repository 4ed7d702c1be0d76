package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 10

// Pool keeps the connections to one address, one request at a time on each.
type Pool struct {
	mu     sync.Mutex
	idle   []*pooledConn
	all    loopback.Set
	opened int64
}

type pooledConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// maxIdleConnections bounds the connections that are kept though nobody uses them.
const maxIdleConnections = 64

// Opened is how many connections were made.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Reset breaks all connections, as when the client's process dies.
func (p *Pool) Reset() {
	p.mu.Lock()
	p.idle = nil
	p.mu.Unlock()
	p.all.Reset()
}

// get returns a kept connection, or makes one.
func (p *Pool) get(addr string, deadline time.Time, dialWithin time.Duration, fresh bool) (*pooledConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.opened++
	p.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, min(time.Until(deadline), dialWithin))
	if err != nil {
		return nil, err
	}
	p.all.Add(nc)
	return &pooledConn{Conn: nc, r: bufio.NewReader(nc)}, nil
}

func (p *Pool) put(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConnections {
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) drop(c *pooledConn) {
	p.all.Drop(c.Conn)
	c.Close()
}

// response is what came back.
type response struct {
	check.Answer
	notStarted bool
	retryAfter time.Duration
}

// call sends a request once and waits for its answer until the deadline. Should the
// other side have closed a kept connection under it, unread, it goes out once more on a
// new one, as the protocol says.
func (p *Pool) call(addr string, request *check.Request, header http.Header, deadline time.Time, dialWithin time.Duration, clock check.Clock) response {
	response, retry := p.attempt(addr, request, header, deadline, dialWithin, clock, false)
	if retry {
		if all, _ := request.Attempts(); all == 0 {
			response, _ = p.attempt(addr, request, header, deadline, dialWithin, clock, true)
		}
	}
	return response
}

func (p *Pool) attempt(addr string, request *check.Request, header http.Header, deadline time.Time, dialWithin time.Duration, clock check.Clock, fresh bool) (response response, retry bool) {
	response.Outcome = check.Unreachable
	conn, err := p.get(addr, deadline, dialWithin, fresh)
	if err != nil {
		response.At = clock()
		return response, false
	}
	response.NewConnection, response.Outcome = !conn.used, check.Unanswered
	conn.used = true
	_ = conn.SetDeadline(deadline)
	url, _ := url.ParseRequestURI(request.Path)
	req := &http.Request{Method: request.Method, URL: url, Host: "backend.local", Header: header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(request.Body))}
	if request.Body != "" {
		req.Body = io.NopCloser(strings.NewReader(request.Body))
	}
	if err := req.Write(conn); err != nil {
		p.drop(conn)
		response.At, response.Closed = clock(), true
		return response, !response.NewConnection
	}
	response.Sent = true
	if _, err := conn.r.Peek(1); err != nil {
		p.drop(conn)
		response.At, response.Closed = clock(), !errors.Is(err, os.ErrDeadlineExceeded)
		// Only an end in order can have crossed the request; a reset is a process that died.
		return response, !response.NewConnection && errors.Is(err, io.EOF)
	}
	response.Partial = true
	resp, err := http.ReadResponse(conn.r, req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		resp.Body.Close()
	}
	response.At = clock()
	if err != nil {
		p.drop(conn)
		response.Closed = !errors.Is(err, os.ErrDeadlineExceeded)
		return response, false
	}
	response.Body = string(body)
	response.notStarted = resp.Header.Get("Not-Started") == "1"
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < 3600 {
		response.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch resp.StatusCode {
	case http.StatusOK:
		response.Outcome = check.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.Outcome = check.Rejected
	default:
		response.Outcome = check.Failed
	}
	response.Surplus = conn.r.Buffered() > 0
	if resp.Close || response.Surplus {
		p.drop(conn)
	} else {
		p.put(conn)
	}
	return response, false
}
