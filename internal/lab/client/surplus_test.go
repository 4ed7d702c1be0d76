package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/policy"
)

// The answers of an agent in these tests.
const (
	failedAnswer   = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
	rejectedAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// extraAnswerTest is a checker with one idempotent class, and the clock that its clients share.
type extraAnswerTest struct {
	clock   check.Clock
	epoch   time.Time
	checker *check.Checker
}

func newExtraAnswerTest() *extraAnswerTest {
	s := &extraAnswerTest{epoch: time.Now()}
	s.clock = func() time.Duration { return time.Since(s.epoch) }
	settings := &policy.Settings{Classes: []policy.Class{{Name: "a", Effect: policy.Idempotent}}}
	s.checker = check.New(s.clock, settings, []string{"n0"}, nil)
	return s
}

// newRequest returns a request that the checker knows.
func (s *extraAnswerTest) newRequest(id string) *check.Request {
	r := &check.Request{ID: id, Method: http.MethodGet, Path: "/a/" + id, PlannedAt: s.clock(), Deadline: s.clock() + time.Minute}
	s.checker.Add(r)
	return r
}

// requireExtraAnswerBreach fails the test unless the checker has recorded that an agent sent more answers
// than it received requests.
func (s *extraAnswerTest) requireExtraAnswerBreach(t *testing.T) {
	t.Helper()
	breaches, _ := s.checker.Breaches()
	for _, breach := range breaches {
		if breach.Rule == check.RuleLost && strings.Contains(breach.Text, "more than one answer") {
			return
		}
	}
	t.Errorf("breaches %+v, want one for more than one answer", breaches)
}

// awaitBytes waits until bytes have arrived on the idle connection of a pool.
func awaitBytes(t *testing.T, p *Pool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for deadline := time.Now().Add(10 * time.Second); !p.idle[0].hasUnreadBytes(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second answer did not arrive")
		}
	}
}

// A second answer that an agent sends some milliseconds after the first is a breach, and the client does not
// take it for the answer to its next request. Otherwise the lab would count a request that the agent failed as
// rejected, and would find no fault in the agent.
func TestLateSecondAnswerOfAgentIsABreach(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err == nil {
				io.WriteString(conn, failedAnswer)
			}
			if first {
				time.Sleep(5 * time.Millisecond)
				io.WriteString(conn, rejectedAnswer)
			}
			if _, err := http.ReadRequest(reader); err == nil {
				io.WriteString(conn, failedAnswer)
			}
			conn.Close()
		}
	}()
	s := newExtraAnswerTest()
	agent := &AgentSender{Addr: listener.Addr().String(), Clock: s.clock}
	defer func() { agent.Reset(); listener.Close(); <-served }()
	for _, id := range []string{"1", "2"} {
		r := s.newRequest(id)
		response := agent.send(r, http.Header{headerRequestID: {id}}, s.epoch.Add(time.Minute))
		if s.checker.RecordAnswer(r, response.Answer) != check.Failed {
			t.Errorf("request %s: outcome %v, want Failed, as its answer says", id, response.Outcome)
		}
		if id == "1" {
			awaitBytes(t, &agent.pool)
		}
	}
	s.requireExtraAnswerBreach(t)
}

// An answer that follows the answer to the last request of a connection is a breach, because the client may
// have read the wrong answer for the last request.
func TestExtraAnswerToPipelinedRequestsIsABreach(t *testing.T) {
	s := newExtraAnswerTest()
	c := New(&Env{Clock: s.clock, Epoch: s.epoch, Checker: s.checker}, 0, &AgentSender{Clock: s.clock})
	requests := []*check.Request{s.newRequest("1"), s.newRequest("2")}
	answers := failedAnswer + rejectedAnswer + failedAnswer
	c.readPipelined(bufio.NewReader(strings.NewReader(answers)), requests, true)
	s.requireExtraAnswerBreach(t)
}
