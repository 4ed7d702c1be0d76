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

// The tests of this file force the order of two events on a reused connection: the arrival of a second
// answer to one request, some milliseconds after the first answer, and the next request.

const (
	secondAnswerDelay    = 5 * time.Millisecond   // between the two answers, unless a test triggers the second
	maxSecondAnswerDelay = 10 * time.Millisecond  // a server that was itself stalled for longer sends no second answer
	maxStall             = 150 * time.Millisecond // of the agent on a busy machine
	longIdle             = 50 * time.Millisecond  // of a connection after its second answer has arrived
	notStartedAnswer     = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	strayWithLength      = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
)

// strayForms are complete and incomplete second answers.
var strayForms = map[string]string{
	"200":                        strayWithLength,
	"200 without a body":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"200 chunked":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
	"200 until the close":        "HTTP/1.1 200 OK\r\n\r\nstray",
	"204":                        "HTTP/1.1 204 No\r\n\r\n",
	"500":                        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	"503 not started":            notStartedAnswer,
	"504 not started":            strings.Replace(notStartedAnswer, "503", "504", 1),
	"103":                        "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n",
	"101":                        "HTTP/1.1 101 Switch\r\n\r\n",
	"half a head":                "HTTP/1.1 200 OK\r\nContent-Le",
	"half a head of a rejection": "HTTP/1.1 503 No\r\nNot-Started: 1\r\nX: ",
	"half a body":                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nstray",
	"half a long body":           "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nstray",
	"half a chunk":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nstray",
}

// idAnswer returns a complete response whose body is the identifier of the request that it answers.
func idAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// healthReport is the body of the answer to a health check.
const healthReport = "TEXT util=0.5"

// requestName returns the identifier of a request, or healthReport for a health check, which has none.
func requestName(req *http.Request) string {
	if id := req.Header.Get("Request-Id"); id != "" {
		return id
	}
	return healthReport
}

// secondAnswerBackend is a server that answers one request a second time, secondAnswerDelay after the first
// answer or once triggerSecond is called. It answers all other requests after that, each with its name.
type secondAnswerBackend struct {
	addr              string
	target            string // name of the request that is answered twice; default "first"
	firstAnswer       string // the first answer to it; default idAnswer(target)
	stray             string // the second answer
	onNextRequest     bool   // the next request on the connection triggers the second answer
	closesAfterAnswer bool   // close the connection after an answer to another request
	triggerSecond     func()
	sent              chan struct{} // closed once the second answer is sent

	mu       sync.Mutex
	executed map[string]int // by name
}

// start starts the server.
func (s *secondAnswerBackend) start(t *testing.T) {
	trigger := make(chan struct{})
	s.triggerSecond, s.sent, s.executed = sync.OnceFunc(func() { close(trigger) }), make(chan struct{}), map[string]int{}
	if s.target == "" {
		s.target = "first"
	}
	if s.firstAnswer == "" {
		s.firstAnswer = idAnswer(s.target)
	}
	s.addr = rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		answeredTwice := false
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := requestName(req)
			s.mu.Lock()
			s.executed[id]++
			s.mu.Unlock()
			if id != s.target {
				if answeredTwice && s.onNextRequest {
					s.triggerSecond()
				}
				<-s.sent
				time.Sleep(secondAnswerDelay) // so that this answer is not read together with the second one
				io.WriteString(c, idAnswer(id))
				if s.closesAfterAnswer {
					return
				}
				continue
			}
			answeredTwice = true
			io.WriteString(c, s.firstAnswer)
			answered := time.Now()
			go func() {
				select {
				case <-trigger:
				case <-time.After(secondAnswerDelay):
				}
				if time.Since(answered) <= maxSecondAnswerDelay {
					io.WriteString(c, s.stray)
				}
				close(s.sent)
			}()
		}
	})
}

// sendStray triggers the second answer and waits until it has arrived.
func (s *secondAnswerBackend) sendStray() {
	s.triggerSecond()
	<-s.sent
	time.Sleep(2 * time.Millisecond) // enough for the agent to read it, unless its reader is delayed
}

// attempt returns an attempt to send the request with this identifier to the server.
func (s *secondAnswerBackend) attempt(tr *backendTransport, method, id string) *attempt {
	a := newAttempt(tr, s.addr, method, testTimeout)
	a.req.wireID = id
	return a
}

// requireOwnAnswer fails the test if the result of a request that the server answers with 200 was taken
// from the answer to another request.
func (s *secondAnswerBackend) requireOwnAnswer(t *testing.T, id string, res result) {
	t.Helper()
	switch {
	case res.status == policy.OK && string(res.body) != id:
		t.Fatalf("%q was answered %q", id, res.body)
	case res.status == policy.Error || res.status == policy.Timeout:
		t.Fatalf("%q ended with status %d, although its server answers 200", id, res.status)
	case res.status.NotExecuted():
		time.Sleep(4 * secondAnswerDelay) // enough for the server to execute a request that was written
		if s.executions(id) > 0 {
			t.Fatalf("%q was executed but ended with status %d, which means not executed", id, res.status)
		}
	}
}

// executions returns how many times the server has executed a request.
func (s *secondAnswerBackend) executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[id]
}

// connStep is a point in a read or write on a connection at which a test can delay it.
type connStep int

const (
	stepNone      connStep = iota
	stepRead               // before a read
	stepReadDone           // after a read from the kernel, before it returns
	stepWrite              // before the first byte of a write, after the checks that allow it
	stepWriteDone          // after a write
)

// hookedConn is a connection to a backend that calls onStep at each step after the first answer; onStep may
// block to delay the connection.
type hookedConn struct {
	*net.TCPConn
	onStep          func(step connStep)
	answerBytesLeft atomic.Int64 // bytes of the first answer that are not read yet
}

func (c *hookedConn) Read(p []byte) (int, error) {
	answered := c.answerBytesLeft.Load() <= 0
	c.step(stepRead, answered)
	n, err := c.TCPConn.Read(p)
	c.answerBytesLeft.Add(-int64(n))
	c.step(stepReadDone, answered)
	return n, err
}

func (c *hookedConn) Write(p []byte) (int, error) {
	answered := c.answerBytesLeft.Load() <= 0
	c.step(stepWrite, answered)
	defer c.step(stepWriteDone, answered)
	return c.TCPConn.Write(p)
}

// step calls onStep, unless the step belongs to the first request.
func (c *hookedConn) step(step connStep, answered bool) {
	if answered {
		c.onStep(step)
	}
}

// hookedTransport returns a transport whose first connection calls onStep at each step after the first
// answer, which has answerBytes bytes.
func hookedTransport(t *testing.T, answerBytes int, onStep func(step connStep)) *backendTransport {
	t.Helper()
	d := newDialer()
	connect := d.connect
	var dials atomic.Int32
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err != nil || dials.Add(1) > 1 {
			return c, err
		}
		hooked := &hookedConn{TCPConn: c.(*net.TCPConn), onStep: onStep}
		hooked.answerBytesLeft.Store(int64(answerBytes))
		return hooked, nil
	}
	tr := d.newTransport()
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// delayedTransport returns a transport whose first connection is blocked at a step after the first answer
// until the next request was written on it, for maxStall at most.
func delayedTransport(t *testing.T, answerBytes int, delayed connStep) *backendTransport {
	t.Helper()
	written := make(chan struct{})
	release := sync.OnceFunc(func() { close(written) })
	t.Cleanup(release)
	return hookedTransport(t, answerBytes, func(step connStep) {
		switch step {
		case stepWriteDone:
			release()
		case delayed:
			select {
			case <-written:
			case <-time.After(maxStall):
			}
		}
	})
}

// forEachStray runs a test with a second answer that would be served to the client, and with one that would
// cause a retry.
func forEachStray(t *testing.T, name string, run func(t *testing.T, s *secondAnswerBackend, method string)) {
	for _, stray := range []string{"200", "503 not started"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprint(name, "/", stray, "/", method), func(t *testing.T) {
				s := &secondAnswerBackend{stray: strayForms[stray]}
				s.start(t)
				run(t, s, method)
			})
		}
	}
}

// requireFirstAnswer sends the request that is answered twice and fails the test unless it gets its own answer.
func requireFirstAnswer(t *testing.T, s *secondAnswerBackend, tr *backendTransport, method string) {
	t.Helper()
	if res := s.attempt(tr, method, "first").run(); res.status != policy.OK || string(res.body) != "first" {
		t.Fatalf("the first request ended with status %d and %q: %v", res.status, res.body, res.err)
	}
}

// A second answer that arrives before the checkout for the next request is not taken for its answer, even if
// the goroutine that reads the idle connection is delayed before the read, or between read and scan.
func TestSecondAnswerBeforeTheNextRequest(t *testing.T) {
	for name, delayed := range map[string]connStep{"unread": stepRead, "read, not scanned": stepReadDone, "scanned": stepNone} {
		for _, idle := range []time.Duration{0, longIdle} {
			forEachStray(t, fmt.Sprint(name, "/", idle), func(t *testing.T, s *secondAnswerBackend, method string) {
				tr := delayedTransport(t, len(s.firstAnswer), delayed)
				requireFirstAnswer(t, s, tr, method)
				s.sendStray()
				time.Sleep(idle)
				s.requireOwnAnswer(t, "second", s.attempt(tr, method, "second").run())
			})
		}
	}
}

// A second answer that arrives while the next request is written is not taken for its answer.
func TestSecondAnswerDuringTheNextRequest(t *testing.T) {
	for name, when := range map[string]connStep{"before the first byte": stepWrite, "after the first write": stepWriteDone} {
		forEachStray(t, name, func(t *testing.T, s *secondAnswerBackend, method string) {
			send := sync.OnceFunc(s.sendStray)
			tr := hookedTransport(t, len(s.firstAnswer), func(step connStep) {
				if step == when {
					send()
				}
			})
			requireFirstAnswer(t, s, tr, method)
			s.requireOwnAnswer(t, "second", s.attempt(tr, method, "second").run())
		})
	}
}

// delayedContext is a context that calls onDeadline, which may block, whenever its deadline is read. An
// attempt reads it when it is bound to a connection.
type delayedContext struct {
	context.Context
	onDeadline func()
}

func (c delayedContext) Deadline() (time.Time, bool) {
	c.onDeadline()
	return c.Context.Deadline()
}

// A second answer that arrives while the agent is delayed between the checkout of a connection and the
// first byte of the next request is not taken for its answer, whether or not the connection is read meanwhile.
func TestSecondAnswerBetweenCheckoutAndFirstByte(t *testing.T) {
	for name, delayed := range map[string]connStep{"unread": stepRead, "read": stepNone} {
		forEachStray(t, name, func(t *testing.T, s *secondAnswerBackend, method string) {
			tr := delayedTransport(t, len(s.firstAnswer), delayed)
			requireFirstAnswer(t, s, tr, method)
			a := s.attempt(tr, method, "second")
			var calls atomic.Int32
			a.ctx = delayedContext{a.ctx, func() {
				if calls.Add(1) == 2 { // the first one is before the checkout
					s.sendStray()
				}
			}}
			s.requireOwnAnswer(t, "second", a.run())
		})
	}
}

// A second answer of any form that arrives after the next request was sent is not taken for its answer or
// for a part of it.
func TestSecondAnswerAfterTheNextRequest(t *testing.T) {
	for name, stray := range strayForms {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				s := &secondAnswerBackend{stray: stray, onNextRequest: true}
				s.start(t)
				tr := newDialer().newTransport()
				defer tr.CloseIdleConnections()
				requireFirstAnswer(t, s, tr, method)
				a := s.attempt(tr, method, "second")
				defer time.AfterFunc(20*secondAnswerDelay, func() { a.cancel(context.DeadlineExceeded) }).Stop()
				s.requireOwnAnswer(t, "second", a.run())
			})
		}
	}
}

// A second answer that is delimited by the close of the connection is not merged with the answer after it.
func TestSecondAnswerDelimitedByClose(t *testing.T) {
	s := &secondAnswerBackend{stray: strayForms["200 until the close"], onNextRequest: true, closesAfterAnswer: true}
	s.start(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	requireFirstAnswer(t, s, tr, http.MethodPost)
	s.requireOwnAnswer(t, "second", s.attempt(tr, http.MethodPost, "second").run())
}

// One second answer does not shift the answers to all later requests on its connection.
func TestSecondAnswerDoesNotShiftTheNextOnes(t *testing.T) {
	for _, stray := range []string{"200", "500", "503 not started"} {
		t.Run(stray, func(t *testing.T) {
			s := &secondAnswerBackend{stray: strayForms[stray], onNextRequest: true}
			s.start(t)
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			requireFirstAnswer(t, s, tr, http.MethodPost)
			for _, id := range []string{"second", "third", "fourth", "fifth"} {
				if res := s.attempt(tr, http.MethodPost, id).run(); res.status == policy.OK && string(res.body) != id {
					t.Errorf("%q was answered %q", id, res.body)
				}
			}
		})
	}
}

// The second answer after a first one of any form is not taken for the answer to the next request. The form
// matters because net/http returns a connection to the pool at another moment after an answer without a body.
func TestSecondAnswerAfterAnyFirst(t *testing.T) {
	for name, first := range map[string]string{
		"200 without a body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"200 chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
		"204":                "HTTP/1.1 204 No\r\n\r\n",
		"500":                "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
		"503 not started":    notStartedAnswer,
		"interim and 200":    "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + idAnswer("first"),
	} {
		t.Run(name, func(t *testing.T) {
			s := &secondAnswerBackend{firstAnswer: first, stray: strayWithLength, onNextRequest: true}
			s.start(t)
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			s.attempt(tr, http.MethodPost, "first").run()
			s.requireOwnAnswer(t, "second", s.attempt(tr, http.MethodPost, "second").run())
		})
	}
}

// A second answer that arrives together with the end of a long first answer is not taken for the answer to
// the next request: net/http reads a long body up to its end and leaves later bytes in the kernel's buffer.
func TestSecondAnswerTogetherWithALongFirst(t *testing.T) {
	for _, size := range []int{1_000, 30_000, 60_000, maxBodyBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			long := idAnswer(strings.Repeat("y", size))
			s := &secondAnswerBackend{firstAnswer: long + strayWithLength}
			s.start(t)
			tr := delayedTransport(t, len(long), stepRead)
			s.attempt(tr, http.MethodGet, "first").run()
			s.requireOwnAnswer(t, "second", s.attempt(tr, http.MethodGet, "second").run())
		})
	}
}
