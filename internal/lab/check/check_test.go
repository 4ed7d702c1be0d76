package check

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knotrouter/policy"
)

const ms = time.Millisecond

// environment is a checker with a clock that a test sets.
type environment struct {
	*Checker
	now time.Duration
	set policy.Settings
	n   int
}

func newEnvironment() *environment {
	w := &environment{now: time.Second}
	w.set = policy.Settings{
		Classes: []policy.Class{{Name: "look", Effect: policy.Idempotent, Group: policy.GroupAll},
			{Name: "send", Effect: policy.Deduplicated, Group: policy.GroupZone, DedupWindowMs: 3000},
			{Name: "vote", Effect: policy.Deduplicated, Group: policy.GroupAll, DedupWindowMs: 3000},
			{Name: "order", Effect: policy.NonIdempotent}, {Name: "cell", Effect: policy.Deduplicated, Group: policy.GroupCell, DedupWindowMs: 3000}},
		Contract: policy.Contract{AnswerSlackMs: 20, DrainGraceMs: 500, TipAfterMs: 1000},
		Limits:   policy.Limits{MaxAttempts: 3, ParallelAttempts: true},
	}
	w.Checker = New(func() time.Duration { return w.now }, &w.set, []string{"n0", "n1"},
		[]Server{{"s0", 0, 0}, {"s1", 1, 1}, {"s2", 0, 2}})
	return w
}

const look, send, vote, order, cell = 0, 1, 2, 3, 4

func (w *environment) request(class int) *Request {
	w.n++
	r := &Request{ID: strings.Repeat("x", w.n), Class: class, PlannedAt: w.now, Deadline: w.now + 5*time.Second}
	w.Add(r)
	return r
}

func (w *environment) at(d time.Duration) *environment { w.now = time.Second + d; return w }

// arrive is a whole request at a server now.
func (w *environment) arrive(r *Request, server int) *Attempt {
	return w.RecordAttempt(r, server, w.now, w.now, true)
}

// answer is a final answer now.
func (w *environment) answer(r *Request, kind Outcome, body string) Outcome {
	return w.RecordAnswer(r, Answer{Outcome: kind, At: w.now, Body: body, Sent: true})
}

func TestRulesAreChecked(t *testing.T) {
	for _, c := range []struct {
		name string
		rule string // "" is none
		play func(w *environment)
	}{
		{"served by a server", "", func(w *environment) {
			r := w.request(look)
			a := w.arrive(r, 0)
			a.MarkFinished()
			w.at(time.Second).answer(r, Served, a.Body("s0"))
		}},
		{"served by nobody", RuleLost, func(w *environment) { w.answer(w.request(look), Served, "all is well") }},
		{"served with another request's answer", RuleLost, func(w *environment) {
			r, other := w.request(look), w.request(look)
			w.arrive(r, 0)
			a := w.arrive(other, 0)
			w.answer(r, Served, a.Body("s0"))
		}},
		{"within the slack", "", func(w *environment) { r := w.request(look); w.at(5070*ms).answer(r, Failed, "") }},
		{"beyond the slack", RuleLost, func(w *environment) { r := w.request(look); w.at(5071*ms).answer(r, Failed, "") }},
		{"beyond it while the lab had it stopped", "", func(w *environment) {
			r := w.request(look)
			w.AgentPaused(0, w.now+time.Second, w.now+5*time.Second)
			w.at(6*time.Second).answer(r, Failed, "")
		}},
		{"never", RuleLost, func(w *environment) { r := w.request(look); w.at(5080*ms).answer(r, Unanswered, "") }},
		{"never, its agent killed by the lab", "", func(w *environment) {
			r := w.request(look)
			w.at(time.Second).AgentKilled(0)
			w.answer(r, Unanswered, "")
		}},
		{"closed on it", RuleLost, func(w *environment) {
			r := w.request(look)
			w.RecordAnswer(r, Answer{Outcome: Unanswered, At: w.now, Sent: true, Closed: true})
		}},
		{"a new connection closed, nothing sent on", "", func(w *environment) {
			r := w.request(look)
			w.RecordAnswer(r, Answer{Outcome: Unanswered, At: w.now, Sent: true, Closed: true, NewConnection: true})
		}},
		{"a new connection closed, sent on", RuleLost, func(w *environment) {
			r := w.request(look)
			w.arrive(r, 0)
			w.RecordAnswer(r, Answer{Outcome: Unanswered, At: w.now, Sent: true, Closed: true, NewConnection: true})
		}},
		{"broken off half way", "", func(w *environment) {
			r := w.request(look)
			w.arrive(r, 0)
			w.RecordAnswer(r, Answer{Outcome: Unanswered, At: w.now, Sent: true, Closed: true, Partial: true})
		}},
		{"left by its client", "", func(w *environment) { w.answer(w.request(look), ClientCanceled, "") }},

		{"a free one again and again", "", func(w *environment) { r := w.request(look); w.arrive(r, 0); w.arrive(r, 1); w.arrive(r, 2) }},
		{"more than the limit", RuleDuplicate, func(w *environment) {
			r := w.request(look)
			for range 4 {
				w.arrive(r, 0)
			}
		}},
		{"two copies where one is allowed", RuleDuplicate, func(w *environment) {
			w.set.Limits.ParallelAttempts = false
			r := w.request(look)
			w.arrive(r, 0)
			w.arrive(r, 1)
		}},
		{"one copy after the other", "", func(w *environment) {
			w.set.Limits.ParallelAttempts = false
			r := w.request(look)
			w.arrive(r, 0).MarkFinished()
			w.arrive(r, 1)
		}},
		{"single shot again after it was turned away", "", func(w *environment) { r := w.request(order); w.arrive(r, 0).MarkRejected(); w.arrive(r, 1) }},
		{"single shot again after it may have run", RuleDuplicate, func(w *environment) { r := w.request(order); w.arrive(r, 0).MarkFinished(); w.arrive(r, 1) }},
		{"single shot refused after it may have run", RuleDuplicate, func(w *environment) {
			r := w.request(order)
			w.arrive(r, 0).MarkFinished()
			w.answer(r, Rejected, "")
		}},
		{"single shot refused unseen", "", func(w *environment) { r := w.request(order); w.arrive(r, 0).MarkRejected(); w.answer(r, Rejected, "") }},
		{"keyed within its zone and time", "", func(w *environment) { r := w.request(send); w.arrive(r, 0); w.at(3050*ms).arrive(r, 2) }},
		{"keyed after its time", RuleDuplicate, func(w *environment) { r := w.request(send); w.arrive(r, 0); w.at(3051*ms).arrive(r, 2) }},
		{"keyed in another zone", RuleDuplicate, func(w *environment) { r := w.request(send); w.arrive(r, 0); w.arrive(r, 1) }},
		{"keyed in another cell", RuleDuplicate, func(w *environment) { r := w.request(cell); w.arrive(r, 0); w.arrive(r, 2) }},
		{"keyed for all, anywhere", "", func(w *environment) { r := w.request(vote); w.arrive(r, 0); w.arrive(r, 1); w.answer(r, Rejected, "") }},
		{"keyed for a zone, refused", RuleDuplicate, func(w *environment) { r := w.request(send); w.arrive(r, 0); w.answer(r, Rejected, "") }},
		{"sent after its final answer", RuleDuplicate, func(w *environment) {
			r := w.request(look)
			a := w.arrive(r, 0)
			w.answer(r, Served, a.Body("s0"))
			w.at(60*ms).arrive(r, 1)
		}},
		{"sent as its final answer went out", "", func(w *environment) {
			r := w.request(look)
			a := w.arrive(r, 0)
			w.answer(r, Served, a.Body("s0"))
			w.at(50*ms).arrive(r, 1)
		}},

		{"to a draining server within the grace", "", func(w *environment) {
			w.RecordNotified(0, 0, "draining", 0)
			w.at(550*ms).arrive(w.request(look), 0)
		}},
		{"to a draining server after it", RuleDrain, func(w *environment) {
			w.RecordNotified(0, 0, "draining", 0)
			w.at(551*ms).arrive(w.request(look), 0)
		}},
		{"to a server that is ready again", "", func(w *environment) {
			w.RecordNotified(0, 0, "gone", 0)
			w.RecordNotified(0, 0, "ready", 7)
			w.at(time.Second).arrive(w.request(look), 0)
		}},
		{"the other agent was told", "", func(w *environment) {
			w.RecordNotified(1, 0, "draining", 0)
			w.at(time.Second).arrive(w.request(look), 0)
		}},
		{"told by another process of this name", "", func(w *environment) {
			w.RecordNotified(0, 0, "draining", 0)
			w.AgentStarted(0)
			w.at(time.Second).arrive(w.request(look), 0)
		}},
		{"a drain that counts as told", RuleDrain, func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.at(6551*ms).arrive(w.request(look), 0)
		}},
		{"a drain that does not yet", "", func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.at(6550*ms).arrive(w.request(look), 0)
		}},
		{"a drain while discovery is down", "", func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.at(time.Second).SetDiscoveryUp(false)
			w.at(20*time.Second).arrive(w.request(look), 0)
		}},
		{"a drain after discovery was down", RuleDrain, func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.at(time.Second).SetDiscoveryUp(false)
			w.at(20 * time.Second).SetDiscoveryUp(true)
			w.at(25551*ms).arrive(w.request(look), 0)
		}},
		{"a drain while the lab has the agent cut off", "", func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.SetDiscoveryCut(0, true)
			w.at(20*time.Second).arrive(w.request(look), 0)
		}},
		{"a drain after that", RuleDrain, func(w *environment) {
			w.RecordDiscovery(0, "draining", 0)
			w.SetDiscoveryCut(0, true)
			w.at(20*time.Second).SetDiscoveryCut(0, false)
			w.at(26551*ms).arrive(w.request(look), 0)
		}},
		{"a send that a link may have held", "", func(w *environment) {
			w.RecordNotified(0, 0, "draining", 0)
			w.at(time.Second)
			w.RecordAttempt(w.request(look), 0, w.now, w.now, false)
		}},

		{"pushed over by those who knew", RuleSlowStart, func(w *environment) { w.WarmupOverload(0, 0.67, 900, 500) }},
		{"pushed over by those who could not know", "", func(w *environment) { w.WarmupOverload(0, 0.66, 900, 500) }},
		{"an id that no client sent", RuleUnknown, func(w *environment) { w.ReportUnknown(w.Lookup("nobody"), "nobody", 0, "it came") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEnvironment()
			c.play(w)
			breaches, count := w.Breaches()
			switch {
			case c.rule == "" && len(breaches) > 0:
				t.Errorf("nothing is broken, yet: %v", breaches)
			case c.rule != "" && (count[c.rule] != 1 || len(count) != 1):
				t.Errorf("want one breach of %q: %v", c.rule, breaches)
			}
		})
	}
}

// An agent counts as told of a start once it was written to it, or six seconds of
// service after discovery knew; a start before that one is another.
func TestStartCountsAsNotified(t *testing.T) {
	w := newEnvironment()
	w.RecordDiscovery(0, "ready", 100)
	if w.StartNotified(0, 0, 100) {
		t.Error("told at once")
	}
	w.RecordNotified(1, 0, "ready", 100)
	if !w.StartNotified(1, 0, 100) || w.StartNotified(1, 0, 200) {
		t.Error("what was written does not count, or counts for a later start")
	}
	if w.at(5999*ms).StartNotified(0, 0, 100) || !w.at(6000*ms).StartNotified(0, 0, 100) {
		t.Error("it does not count as told after six seconds, or does before")
	}
}

// What has long ended is forgotten, and what is under way never.
func TestFinishedRequestsAreForgotten(t *testing.T) {
	w := newEnvironment()
	done, open := w.request(look), w.request(look)
	w.answer(done, Failed, "")
	w.at(30 * time.Second).Sweep()
	if w.Lookup(done.ID) == nil {
		t.Error("forgotten too soon")
	}
	w.at(31 * time.Second).Sweep()
	if w.Lookup(done.ID) != nil || w.Lookup(open.ID) == nil || w.Retained() != 1 {
		t.Errorf("holds %d", w.Retained())
	}
}

// However discovery and the lab's cuts come and go, a drain counts as told after six
// seconds in which it could have been, and not before.
func TestDrainCountsAfterServiceTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEnvironment()
		w.RecordDiscovery(0, "draining", 0)
		up, cut, service := true, false, time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * ms
			w.now += d
			if up && !cut {
				service += d
			}
			if rapid.Bool().Draw(t, "which") {
				up = !up
				w.SetDiscoveryUp(up)
			} else {
				cut = !cut
				w.SetDiscoveryCut(0, cut)
			}
			if _, told := w.drainNotified(0, 0, w.now); told != (service >= notificationBound) {
				t.Fatalf("after %v of service: told %v", service, told)
			}
		}
	})
}
