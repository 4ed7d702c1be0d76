package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/policy"
)

// The tests of this file force the order of two events on a kept connection: a second answer to one
// request, some milliseconds after the first, and the next request.

const (
	lateBy     = 5 * time.Millisecond   // from an answer to the second one, unless a test has it sent before
	maxLate    = 10 * time.Millisecond  // a server that was itself held up for longer sends no second answer
	maxHoldUp  = 150 * time.Millisecond // for which a busy machine may hold the agent up
	longRest   = 50 * time.Millisecond  // of a connection whose second answer arrived long before
	rejection  = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	straySized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
)

// strayAnswers are the second answers, whole and in part.
var strayAnswers = map[string]string{
	"200":                        straySized,
	"200 without a body":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"200 chunked":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
	"200 until the close":        "HTTP/1.1 200 OK\r\n\r\nstray",
	"204":                        "HTTP/1.1 204 No\r\n\r\n",
	"500":                        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	"503 not started":            rejection,
	"504 not started":            strings.Replace(rejection, "503", "504", 1),
	"103":                        "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n",
	"101":                        "HTTP/1.1 101 Switch\r\n\r\n",
	"half a head":                "HTTP/1.1 200 OK\r\nContent-Le",
	"half a head of a rejection": "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX: ",
	"half a body":                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nstray",
	"half a long body":           "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nstray",
	"half a chunk":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nstray",
}

// idAnswer returns a complete response whose body names the request that it answers.
func idAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// healthReport is the answer to a health check.
const healthReport = "TEXT util=0.5"

// nameOf returns the identifier of a request; a health check has none.
func nameOf(req *http.Request) string {
	if id := req.Header.Get("Request-Id"); id != "" {
		return id
	}
	return healthReport
}

// twiceAnswering is a server that answers one request a second time, lateBy after the first answer or
// once due is called. It answers all others after that, each with its name.
type twiceAnswering struct {
	addr      string
	twice     string // the name of the request that is answered twice; "": "first"
	first     string // the first answer to it; "": one that names it
	stray     string // the second answer
	atRequest bool   // the next request on the connection makes the second answer due
	closes    bool   // it closes a connection after an answer to another request
	due       func()
	sent      chan struct{} // closed once the second answer is sent

	mu       sync.Mutex
	executed map[string]int // by name
}

// start starts the server.
func (s *twiceAnswering) start(t *testing.T) {
	due := make(chan struct{})
	s.due, s.sent, s.executed = sync.OnceFunc(func() { close(due) }), make(chan struct{}), map[string]int{}
	if s.twice == "" {
		s.twice = "first"
	}
	if s.first == "" {
		s.first = idAnswer(s.twice)
	}
	s.addr = rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		answeredTwice := false
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := nameOf(req)
			s.mu.Lock()
			s.executed[id]++
			s.mu.Unlock()
			if id != s.twice {
				if answeredTwice && s.atRequest {
					s.due()
				}
				<-s.sent
				time.Sleep(lateBy) // so that it is not read together with the second answer to the other
				io.WriteString(c, idAnswer(id))
				if s.closes {
					return
				}
				continue
			}
			answeredTwice = true
			io.WriteString(c, s.first)
			answered := time.Now()
			go func() {
				select {
				case <-due:
				case <-time.After(lateBy):
				}
				if time.Since(answered) <= maxLate {
					io.WriteString(c, s.stray)
				}
				close(s.sent)
			}()
		}
	})
}

// sendStray has the second answer sent now, and waits until it has arrived.
func (s *twiceAnswering) sendStray() {
	s.due()
	<-s.sent
	time.Sleep(2 * time.Millisecond) // in which it is read, unless that is held up
}

// attempt returns an attempt of the request with this identifier at the server.
func (s *twiceAnswering) attempt(tr *backendTransport, method, id string) *attempt {
	a := newAttempt(tr, s.addr, method, testTimeout)
	a.req.wireID = id
	return a
}

// requireOwn fails the test if the outcome of a request that its server answers 200 was taken from
// the answer to another one.
func (s *twiceAnswering) requireOwn(t *testing.T, id string, res result) {
	t.Helper()
	switch {
	case res.status == policy.OK && string(res.body) != id:
		t.Fatalf("%q was answered %q", id, res.body)
	case res.status == policy.Error || res.status == policy.Timeout:
		t.Fatalf("%q ended %d, although its server answers 200", id, res.status)
	case res.status.NotExecuted():
		time.Sleep(4 * lateBy) // in which what was written would be executed
		if s.executions(id) > 0 {
			t.Fatalf("%q was executed, and ended %d, which says that it was not", id, res.status)
		}
	}
}

// executions returns how often the server has executed a request.
func (s *twiceAnswering) executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[id]
}

// connStep is a step of a connection that a test can hold up.
type connStep int

const (
	stepNone    connStep = iota
	stepRead             // a read begins
	stepHasRead          // bytes were read from the kernel, and nobody has seen them
	stepWrite            // a write was allowed, and no byte of it written
	stepWritten          // a write has ended
)

// steppedConn is a connection to a backend that reports its steps behind the first answer, and may be
// held up at each.
type steppedConn struct {
	*net.TCPConn
	at   func(step connStep)
	left atomic.Int64 // bytes of the first answer that are still to be read
}

func (c *steppedConn) Read(p []byte) (int, error) {
	answered := c.left.Load() <= 0
	c.step(stepRead, answered)
	n, err := c.TCPConn.Read(p)
	c.left.Add(-int64(n))
	c.step(stepHasRead, answered)
	return n, err
}

func (c *steppedConn) Write(p []byte) (int, error) {
	answered := c.left.Load() <= 0
	c.step(stepWrite, answered)
	defer c.step(stepWritten, answered)
	return c.TCPConn.Write(p)
}

// step reports a step, unless it is one of the first request.
func (c *steppedConn) step(step connStep, answered bool) {
	if answered {
		c.at(step)
	}
}

// steppedTransport returns a transport whose first connection calls at for each of its steps behind
// the first answer, which has so many bytes.
func steppedTransport(t *testing.T, answerBytes int, at func(step connStep)) *backendTransport {
	t.Helper()
	d := newDialer()
	connect := d.connect
	var dials atomic.Int32
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err != nil || dials.Add(1) > 1 {
			return c, err
		}
		stepped := &steppedConn{TCPConn: c.(*net.TCPConn), at: at}
		stepped.left.Store(int64(answerBytes))
		return stepped, nil
	}
	tr := d.newTransport()
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// delayedTransport returns the same, with the first connection held up at a step until the next request
// was written on it, but for no longer than a busy machine holds the agent up.
func delayedTransport(t *testing.T, answerBytes int, delayed connStep) *backendTransport {
	t.Helper()
	written := make(chan struct{})
	release := sync.OnceFunc(func() { close(written) })
	t.Cleanup(release)
	return steppedTransport(t, answerBytes, func(step connStep) {
		switch step {
		case stepWritten:
			release()
		case delayed:
			select {
			case <-written:
			case <-time.After(maxHoldUp):
			}
		}
	})
}

// forEachStray runs a test for a second answer that is served, and for one that has the request
// repeated.
func forEachStray(t *testing.T, name string, run func(t *testing.T, s *twiceAnswering, method string)) {
	for _, stray := range []string{"200", "503 not started"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprint(name, "/", stray, "/", method), func(t *testing.T) {
				s := &twiceAnswering{stray: strayAnswers[stray]}
				s.start(t)
				run(t, s, method)
			})
		}
	}
}

// requireFirst sends the request that is answered twice, and requires its own answer.
func requireFirst(t *testing.T, s *twiceAnswering, tr *backendTransport, method string) {
	t.Helper()
	if res := s.attempt(tr, method, "first").run(); res.status != policy.OK || string(res.body) != "first" {
		t.Fatalf("the first ended %d with %q", res.status, res.body)
	}
}

// A second answer that arrives before the checkout for the next request is not its answer, however far
// the goroutine that reads the idle connection has come: it may be held up.
func TestSecondAnswerBeforeTheNextRequest(t *testing.T) {
	for name, delayed := range map[string]connStep{"unread": stepRead, "read, not scanned": stepHasRead, "scanned": stepNone} {
		for _, rest := range []time.Duration{0, longRest} {
			forEachStray(t, fmt.Sprint(name, "/", rest), func(t *testing.T, s *twiceAnswering, method string) {
				tr := delayedTransport(t, len(s.first), delayed)
				requireFirst(t, s, tr, method)
				s.sendStray()
				time.Sleep(rest)
				s.requireOwn(t, "second", s.attempt(tr, method, "second").run())
			})
		}
	}
}

// A second answer that arrives while the next request is written is not its answer.
func TestSecondAnswerDuringTheNextRequest(t *testing.T) {
	for name, when := range map[string]connStep{"before the first byte": stepWrite, "after the first write": stepWritten} {
		forEachStray(t, name, func(t *testing.T, s *twiceAnswering, method string) {
			send := sync.OnceFunc(s.sendStray)
			tr := steppedTransport(t, len(s.first), func(step connStep) {
				if step == when {
					send()
				}
			})
			requireFirst(t, s, tr, method)
			s.requireOwn(t, "second", s.attempt(tr, method, "second").run())
		})
	}
}

// delayedContext is a context that holds up the call in which an attempt is bound to its connection.
type delayedContext struct {
	context.Context
	deadlineRead func()
}

func (c delayedContext) Deadline() (time.Time, bool) {
	c.deadlineRead()
	return c.Context.Deadline()
}

// A second answer that arrives while the agent is held up between the checkout of a connection and the
// first byte is not the answer, whether or not the connection is read meanwhile.
func TestSecondAnswerBetweenCheckoutAndFirstByte(t *testing.T) {
	for name, delayed := range map[string]connStep{"unread": stepRead, "read": stepNone} {
		forEachStray(t, name, func(t *testing.T, s *twiceAnswering, method string) {
			tr := delayedTransport(t, len(s.first), delayed)
			requireFirst(t, s, tr, method)
			a := s.attempt(tr, method, "second")
			var calls atomic.Int32
			a.ctx = delayedContext{a.ctx, func() {
				if calls.Add(1) == 2 { // the first one is before the checkout
					s.sendStray()
				}
			}}
			s.requireOwn(t, "second", a.run())
		})
	}
}

// A second answer of any form that arrives once the next request was sent is not its answer, nor a
// part of it.
func TestSecondAnswerBehindTheNextRequest(t *testing.T) {
	for name, stray := range strayAnswers {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				s := &twiceAnswering{stray: stray, atRequest: true}
				s.start(t)
				tr := newDialer().newTransport()
				defer tr.CloseIdleConnections()
				requireFirst(t, s, tr, method)
				a := s.attempt(tr, method, "second")
				defer time.AfterFunc(20*lateBy, func() { a.cancel(context.DeadlineExceeded) }).Stop()
				s.requireOwn(t, "second", a.run())
			})
		}
	}
}

// A second answer that ends with its connection does not make one with the answer behind it.
func TestSecondAnswerUntilTheClose(t *testing.T) {
	s := &twiceAnswering{stray: strayAnswers["200 until the close"], atRequest: true, closes: true}
	s.start(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	requireFirst(t, s, tr, http.MethodPost)
	s.requireOwn(t, "second", s.attempt(tr, http.MethodPost, "second").run())
}

// One second answer does not shift the answers to all requests that follow on its connection.
func TestSecondAnswerDoesNotShiftTheNextOnes(t *testing.T) {
	for _, stray := range []string{"200", "500", "503 not started"} {
		t.Run(stray, func(t *testing.T) {
			s := &twiceAnswering{stray: strayAnswers[stray], atRequest: true}
			s.start(t)
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			requireFirst(t, s, tr, http.MethodPost)
			for _, id := range []string{"second", "third", "fourth", "fifth"} {
				if res := s.attempt(tr, http.MethodPost, id).run(); res.status == policy.OK && string(res.body) != id {
					t.Errorf("%q was answered %q", id, res.body)
				}
			}
		})
	}
}

// The second answer after a first one of any form is not the answer to the next request: net/http puts
// a connection back at another moment after an answer without a body.
func TestSecondAnswerAfterAnyFirst(t *testing.T) {
	for name, first := range map[string]string{
		"200 without a body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"200 chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
		"204":                "HTTP/1.1 204 No\r\n\r\n",
		"500":                "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
		"503 not started":    rejection,
		"interim and 200":    "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + idAnswer("first"),
	} {
		t.Run(name, func(t *testing.T) {
			s := &twiceAnswering{first: first, stray: straySized, atRequest: true}
			s.start(t)
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			s.attempt(tr, http.MethodPost, "first").run()
			s.requireOwn(t, "second", s.attempt(tr, http.MethodPost, "second").run())
		})
	}
}

// A second answer that arrives together with the end of a long one is not the answer to the next
// request: net/http reads a long body up to its end, and leaves what follows in the kernel's buffer.
func TestSecondAnswerTogetherWithALongFirst(t *testing.T) {
	for _, size := range []int{1_000, 30_000, 60_000, maxBodyBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			long := idAnswer(strings.Repeat("y", size))
			s := &twiceAnswering{first: long + straySized}
			s.start(t)
			tr := delayedTransport(t, len(long), stepRead)
			s.attempt(tr, http.MethodGet, "first").run()
			s.requireOwn(t, "second", s.attempt(tr, http.MethodGet, "second").run())
		})
	}
}
