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
func (p *Pool) call(addr string, r *check.Request, head http.Header, deadline time.Time, dialWithin time.Duration, clock check.Clock) response {
	rep, again := p.attempt(addr, r, head, deadline, dialWithin, clock, false)
	if again {
		if all, _ := r.Attempts(); all == 0 {
			rep, _ = p.attempt(addr, r, head, deadline, dialWithin, clock, true)
		}
	}
	return rep
}

func (p *Pool) attempt(addr string, r *check.Request, head http.Header, deadline time.Time, dialWithin time.Duration, clock check.Clock, fresh bool) (rep response, again bool) {
	rep.Outcome = check.Unreachable
	c, err := p.get(addr, deadline, dialWithin, fresh)
	if err != nil {
		rep.At = clock()
		return rep, false
	}
	rep.NewConnection, rep.Outcome = !c.used, check.Unanswered
	c.used = true
	_ = c.SetDeadline(deadline)
	u, _ := url.ParseRequestURI(r.Path)
	req := &http.Request{Method: r.Method, URL: u, Host: "backend.local", Header: head,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body))}
	if r.Body != "" {
		req.Body = io.NopCloser(strings.NewReader(r.Body))
	}
	if err := req.Write(c); err != nil {
		p.drop(c)
		rep.At, rep.Closed = clock(), true
		return rep, !rep.NewConnection
	}
	rep.Sent = true
	if _, err := c.r.Peek(1); err != nil {
		p.drop(c)
		rep.At, rep.Closed = clock(), !errors.Is(err, os.ErrDeadlineExceeded)
		// Only an end in order can have crossed the request; a reset is a process that died.
		return rep, !rep.NewConnection && errors.Is(err, io.EOF)
	}
	rep.Partial = true
	resp, err := http.ReadResponse(c.r, req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		resp.Body.Close()
	}
	rep.At = clock()
	if err != nil {
		p.drop(c)
		rep.Closed = !errors.Is(err, os.ErrDeadlineExceeded)
		return rep, false
	}
	rep.Body = string(body)
	rep.notStarted = resp.Header.Get("Not-Started") == "1"
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		rep.retryAfter = time.Duration(s * float64(time.Second))
	}
	switch resp.StatusCode {
	case http.StatusOK:
		rep.Outcome = check.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		rep.Outcome = check.Rejected
	default:
		rep.Outcome = check.Failed
	}
	rep.Surplus = c.r.Buffered() > 0
	if resp.Close || rep.Surplus {
		p.drop(c)
	} else {
		p.put(c)
	}
	return rep, false
}
