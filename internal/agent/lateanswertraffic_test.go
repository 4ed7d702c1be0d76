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

// periodicSecondAnswers is a server that answers each request with its identifier after serviceTime, and
// every nth one a second time.
type periodicSecondAnswers struct {
	serviceTime time.Duration // until a request is answered
	lateness    time.Duration // of the second answer after the first
	every       int64         // one in this many answers is sent a second time
	stray       string

	count    atomic.Int64
	mu       sync.Mutex
	executed map[string]int // by Request-Id
}

// serve serves one connection. Second answers are sent concurrently with the requests that follow.
func (s *periodicSecondAnswers) serve(c net.Conn, r *bufio.Reader) {
	var mu sync.Mutex // so that answers are not interleaved
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
		id := requestName(req)
		s.mu.Lock()
		if s.executed == nil {
			s.executed = map[string]int{}
		}
		s.executed[id]++
		s.mu.Unlock()
		time.Sleep(s.serviceTime)
		write(idAnswer(id))
		if s.count.Add(1)%s.every == 0 {
			answered := time.Now()
			time.AfterFunc(s.lateness, func() {
				if time.Since(answered) <= maxSecondAnswerDelay {
					write(s.stray)
				}
			})
		}
	}
}

// config returns the configuration of an agent with three such servers. The target latency is short because a
// server is ejected for that long, and requests would otherwise wait for the end of the ejection.
func (s *periodicSecondAnswers) config(t *testing.T) map[string]any {
	t.Helper()
	config := testConfig(unreachableAddr, rawBackend(t, s.serve), rawBackend(t, s.serve), rawBackend(t, s.serve))
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["aimMs"] = 100
	}
	return config
}

// trafficCase is one kind of traffic to servers that send second answers.
type trafficCase struct {
	class    string
	lateness time.Duration
	every    int64
	clients  int
}

func (c trafficCase) String() string {
	return fmt.Sprint(c.class, "/", c.lateness, "/every ", c.every, "/clients ", c.clients)
}

// sendAll sends requests from all clients concurrently, each without a pause, and checks that each request gets
// a final answer: its own, or one with status 503 or 502. It returns how many were served.
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
					t.Errorf("%s: incomplete answer: %v", id, err)
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

// No request of any class is answered with the second answer to another one, however late that arrives,
// and each gets a final answer.
func TestNoRequestGetsAnothersAnswer(t *testing.T) {
	for _, class := range []string{"look", "send", "order"} {
		for _, late := range []time.Duration{1, 3, 5, 8} {
			for _, every := range []int64{1, 5} {
				for _, clients := range []int{1, 4} {
					c := trafficCase{class, late * time.Millisecond, every, clients}
					t.Run(c.String(), func(t *testing.T) {
						t.Parallel()
						s := &periodicSecondAnswers{serviceTime: c.lateness, lateness: c.lateness, every: c.every, stray: strayWithLength}
						_, base, _, _ := startAgent(t, s.config(t))
						if c.sendAll(t, base) == 0 {
							t.Error("no request was served")
						}
					})
				}
			}
		}
	}
}

// A second answer that says "not started" does not make the agent retry a request that was executed.
func TestSecondAnswerCausesNoDuplicate(t *testing.T) {
	for _, late := range []time.Duration{1, 3, 5, 8} {
		for _, clients := range []int{1, 4} {
			c := trafficCase{"order", late * time.Millisecond, 2, clients}
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				s := &periodicSecondAnswers{serviceTime: c.lateness, lateness: c.lateness, every: c.every, stray: notStartedAnswer}
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

// healthCheckedLoop returns a loop whose only backend is the server; how selects the kind of health check.
func healthCheckedLoop(t *testing.T, how string, s *secondAnswerBackend) *loop {
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

// A health check and a request on the same connection do not get each other's second answer.
func TestHealthCheckGetsItsOwnAnswer(t *testing.T) {
	for how, path := range map[string]string{"on_probe": "/status/load", "off": "/health"} {
		for _, stray := range []string{"200", "500", "503 not started"} {
			t.Run(path+" behind a request/"+stray, func(t *testing.T) {
				s := &secondAnswerBackend{stray: strayForms[stray], onNextRequest: true}
				l := healthCheckedLoop(t, how, s)
				sendRequest(l, "first")
				s.requireOwnAnswer(t, healthReport, checkHealth(t, l))
			})
			t.Run("request behind "+path+"/"+stray, func(t *testing.T) {
				s := &secondAnswerBackend{target: healthReport, stray: strayForms[stray], onNextRequest: true}
				l := healthCheckedLoop(t, how, s)
				checkHealth(t, l)
				s.requireOwnAnswer(t, "second", sendRequest(l, "second"))
			})
		}
	}
}

// The answers to an abandoned attempt are not taken for the answer to the next attempt.
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
						if requestName(req) != "first" {
							time.Sleep(secondAnswerDelay)
							io.WriteString(c, idAnswer(requestName(req)))
							continue
						}
						io.WriteString(c, idAnswer("first")[:bytes])
						close(got)
						<-abandoned
						io.WriteString(c, idAnswer("first")[bytes:])
						time.Sleep(time.Millisecond)
						io.WriteString(c, strayWithLength)
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
					t.Fatalf("executed, but ended with status %d, which means not executed", res.status)
				}
				close(abandoned)
				second := newAttempt(tr, addr, http.MethodPost, testTimeout)
				second.req.wireID = "second"
				if res := second.run(); res.status == policy.OK && string(res.body) != "second" {
					t.Fatalf("the next attempt was answered %q", res.body)
				}
			})
		}
	}
}

// An attempt that is withdrawn on a reused connection leaves no connection on which a second answer may arrive
// for a later request.
func TestSecondAnswerAroundWithdrawnAttempt(t *testing.T) {
	s := &secondAnswerBackend{stray: strayWithLength}
	s.start(t)
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	requireFirstAnswer(t, s, tr, http.MethodPost)
	withdrawn := s.attempt(tr, http.MethodPost, "withdrawn")
	withdrawn.withdraw()
	if res := withdrawn.run(); !res.status.NotExecuted() {
		t.Fatalf("the withdrawn attempt ended with status %d", res.status)
	}
	s.requireOwnAnswer(t, "second", s.attempt(tr, http.MethodPost, "second").run())
	if n := s.executions("withdrawn"); n > 0 {
		t.Fatalf("the withdrawn attempt was executed %d times", n)
	}
}
