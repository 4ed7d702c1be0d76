package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/policy"
)

// secondAnswers is a server that executes requests for some time, answers them with their identifier,
// and answers some of them a second time.
type secondAnswers struct {
	takes time.Duration // for a request
	late  time.Duration // from an answer to the second one
	every int64         // how many answers there are to a second one
	stray string

	count    atomic.Int64
	mu       sync.Mutex
	executed map[string]int // by Request-Id
}

// serve serves one connection. Second answers go out beside the requests that follow.
func (s *secondAnswers) serve(c net.Conn, r *bufio.Reader) {
	var mu sync.Mutex // so that answers don't mix
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(c, text)
	}
	for {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		id := nameOf(req)
		s.mu.Lock()
		if s.executed == nil {
			s.executed = map[string]int{}
		}
		s.executed[id]++
		s.mu.Unlock()
		time.Sleep(s.takes)
		write(idAnswer(id))
		if s.count.Add(1)%s.every == 0 {
			answered := time.Now()
			time.AfterFunc(s.late, func() {
				if time.Since(answered) <= maxLate {
					write(s.stray)
				}
			})
		}
	}
}

// config returns the configuration of an agent with three such servers. A server is ejected for the
// target latency, which is short here: else requests would wait for that, not for an answer.
func (s *secondAnswers) config(t *testing.T) map[string]any {
	t.Helper()
	config := testConfig(unreachableAddr, rawBackend(t, s.serve), rawBackend(t, s.serve), rawBackend(t, s.serve))
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["aimMs"] = 100
	}
	return config
}

// trafficCase is one kind of traffic to servers that answer twice.
type trafficCase struct {
	class   string
	late    time.Duration
	every   int64
	clients int
}

func (c trafficCase) String() string {
	return fmt.Sprint(c.class, "/", c.late, "/every ", c.every, "/clients ", c.clients)
}

// sendAll sends requests from all clients at once, each without a pause, and requires a final answer
// to each: its own, or one that says that it was rejected or failed. It returns how many were served.
func (c trafficCase) sendAll(t *testing.T, base string) (served int64) {
	t.Helper()
	const each = 15
	var n atomic.Int64
	var wg sync.WaitGroup
	for client := range c.clients {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprint("id-", client, "-", i)
				req := newCall(base, c.class)
				req.Header.Set("Request-Id", id)
				req.Header.Set("Request-Timeout", "2000m")
				if c.class == "send" {
					req.Header.Set("Idempotency-Key", id)
				}
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
				if err != nil {
					t.Errorf("%s: no answer: %v", id, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				switch {
				case err != nil:
					t.Errorf("%s: no whole answer: %v", id, err)
				case resp.StatusCode == http.StatusOK && string(body) != id:
					t.Errorf("%s was answered %q", id, body)
				case resp.StatusCode == http.StatusOK:
					n.Add(1)
				case resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusBadGateway:
					t.Errorf("%s was answered with status %d", id, resp.StatusCode)
				}
			}
		})
	}
	wg.Wait()
	return n.Load()
}

// No request of any class is answered with the second answer to another one, however late that comes,
// and each gets a final answer.
func TestNoRequestGetsAnothersAnswer(t *testing.T) {
	for _, class := range []string{"look", "send", "order"} {
		for _, late := range []time.Duration{1, 3, 5, 8} {
			for _, every := range []int64{1, 5} {
				for _, clients := range []int{1, 4} {
					c := trafficCase{class, late * time.Millisecond, every, clients}
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						s := &secondAnswers{takes: c.late, late: c.late, every: c.every, stray: straySized}
						_, base, _, _ := startAgent(t, s.config(t))
						if c.sendAll(t, base) == 0 {
							t.Error("nothing was served")
						}
					})
				}
			}
		}
	}
}

// A second answer that says "not started" does not make the agent repeat a request that was executed.
func TestSecondAnswerCausesNoDuplicate(t *testing.T) {
	for _, late := range []time.Duration{1, 3, 5, 8} {
		for _, clients := range []int{1, 4} {
			c := trafficCase{"order", late * time.Millisecond, 2, clients}
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				s := &secondAnswers{takes: c.late, late: c.late, every: c.every, stray: rejection}
				_, base, _, _ := startAgent(t, s.config(t))
				c.sendAll(t, base)
				s.mu.Lock()
				defer s.mu.Unlock()
				for id, n := range s.executed {
					if n > 1 {
						t.Errorf("%s was executed %d times", id, n)
					}
				}
			})
		}
	}
}

// healthCheckedLoop returns a loop whose one backend is the server, with health checks of this kind.
func healthCheckedLoop(t *testing.T, how string, s *twiceAnswering) *loop {
	t.Helper()
	s.start(t)
	l := offlineLoop(t, s.addr)
	l.settings.Report = policy.Report{Mode: how, Names: []string{"util"}}
	return l
}

// checkHealth sends a health check to the loop's backend and returns its result.
func checkHealth(t *testing.T, l *loop) result {
	t.Helper()
	l.actions = []policy.Action{{Kind: policy.ActProbe, Server: policyAddr("s-0"), ReuseDelayMs: testReuseDelayMs}}
	l.executeActions()
	e := receive(t, "the health check's result", l.events)
	l.handle(e)
	return e.result
}

// sendRequest sends a request to the loop's backend and returns the attempt's result.
func sendRequest(l *loop, id string) result {
	b := l.backends[policyAddr("s-0")]
	r := &request{method: http.MethodPost, url: &url.URL{Path: "/order/u1"}, host: "backend.local", wireID: id, body: []byte("body")}
	a := l.newAttempt(r, b, testTimeout)
	a.reuseDelay = milliseconds(testReuseDelayMs)
	return a.run()
}

// A health check and a request on one connection don't get each other's second answer.
func TestHealthCheckGetsItsOwnAnswer(t *testing.T) {
	for how, path := range map[string]string{"on_probe": "/status/load", "off": "/health"} {
		for _, stray := range []string{"200", "500", "503 not started"} {
			t.Run(path+" behind a request/"+stray, func(t *testing.T) {
				s := &twiceAnswering{stray: strayAnswers[stray], atRequest: true}
				l := healthCheckedLoop(t, how, s)
				sendRequest(l, "first")
				s.requireOwn(t, healthReport, checkHealth(t, l))
			})
			t.Run("request behind "+path+"/"+stray, func(t *testing.T) {
				s := &twiceAnswering{twice: healthReport, stray: strayAnswers[stray], atRequest: true}
				l := healthCheckedLoop(t, how, s)
				checkHealth(t, l)
				s.requireOwn(t, "second", sendRequest(l, "second"))
			})
		}
	}
}

// The answers to an attempt that was given up are not the next attempt's.
func TestAnswersToAbandonedAttemptAreNotTheNextAnswer(t *testing.T) {
	for name, cause := range map[string]error{
		"cancelled": errAttemptCanceled, "timed out": context.DeadlineExceeded, "client gone": errClientCanceled,
	} {
		for arrived, bytes := range map[string]int{"nothing": 0, "half": len(idAnswer("first")) - 2} {
			t.Run(name+"/"+arrived+" had arrived", func(t *testing.T) {
				got, abandoned := make(chan struct{}), make(chan struct{})
				addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
					for {
						req, err := readRequest(r)
						if err != nil {
							return
						}
						if nameOf(req) != "first" {
							time.Sleep(lateBy)
							io.WriteString(c, idAnswer(nameOf(req)))
							continue
						}
						io.WriteString(c, idAnswer("first")[:bytes])
						close(got)
						<-abandoned
						io.WriteString(c, idAnswer("first")[bytes:])
						time.Sleep(time.Millisecond)
						io.WriteString(c, straySized)
					}
				})
				tr := newDialer().newTransport()
				defer tr.CloseIdleConnections()
				first := newAttempt(tr, addr, http.MethodPost, testTimeout)
				first.req.wireID = "first"
				ended := make(chan result, 1)
				go func() { ended <- first.run() }()
				receive(t, "the request", got)
				first.cancel(cause)
				res := receive(t, "the attempt's end", ended)
				if res.status.NotExecuted() {
					t.Fatalf("it was executed, and ended %d", res.status)
				}
				close(abandoned)
				second := newAttempt(tr, addr, http.MethodPost, testTimeout)
				second.req.wireID = "second"
				if res := second.run(); res.status == policy.OK && string(res.body) != "second" {
					t.Fatalf("the next one was answered %q", res.body)
				}
			})
		}
	}
}

// An attempt that is withdrawn on a kept connection leaves none on which a second answer may arrive.
func TestSecondAnswerAroundWithdrawnAttempt(t *testing.T) {
	s := &twiceAnswering{stray: straySized}
	s.start(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	requireFirst(t, s, tr, http.MethodPost)
	withdrawn := s.attempt(tr, http.MethodPost, "withdrawn")
	withdrawn.withdraw()
	if res := withdrawn.run(); !res.status.NotExecuted() {
		t.Fatalf("the withdrawn one ended %d", res.status)
	}
	s.requireOwn(t, "second", s.attempt(tr, http.MethodPost, "second").run())
	if n := s.executions("withdrawn"); n > 0 {
		t.Fatalf("the withdrawn one was executed %d times", n)
	}
}
