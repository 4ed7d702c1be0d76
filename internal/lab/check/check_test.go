package check

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knotrouter/policy"
)

const ms = time.Millisecond

// checkerTest is a checker of two agents and three servers, with a clock that the test sets.
type checkerTest struct {
	*Checker
	now          time.Duration
	settings     policy.Settings
	requestCount int
}

// newCheckerTest returns a checkerTest whose clock is one second after the epoch.
func newCheckerTest() *checkerTest {
	e := &checkerTest{now: time.Second}
	e.settings = policy.Settings{
		Classes: []policy.Class{{Name: "look", Effect: policy.Idempotent, Group: policy.GroupAll},
			{Name: "send", Effect: policy.Deduplicated, Group: policy.GroupZone, DedupWindowMs: 3000},
			{Name: "vote", Effect: policy.Deduplicated, Group: policy.GroupAll, DedupWindowMs: 3000},
			{Name: "order", Effect: policy.NonIdempotent}, {Name: "cell", Effect: policy.Deduplicated, Group: policy.GroupCell, DedupWindowMs: 3000}},
		Contract: policy.Contract{AnswerSlackMs: 20, DrainGraceMs: 500, CrashWindowMs: 1000},
		Limits:   policy.Limits{MaxAttempts: 3, ParallelAttempts: true},
	}
	e.Checker = New(func() time.Duration { return e.now }, &e.settings, []string{"n0", "n1"},
		[]Server{{"s0", 0, 0}, {"s1", 1, 1}, {"s2", 0, 2}})
	return e
}

// Indexes of the request classes in the settings.
const idempotent, dedupInZone, dedupInAll, nonIdempotent, dedupInCell = 0, 1, 2, 3, 4

// addRequest adds a request of a class that is sent now and has a deadline in five seconds.
func (e *checkerTest) addRequest(class int) *Request {
	e.requestCount++
	r := &Request{ID: strings.Repeat("x", e.requestCount), Class: class, PlannedAt: e.now, Deadline: e.now + 5*time.Second}
	e.Add(r)
	return r
}

// at sets the clock to d after the start of the test.
func (e *checkerTest) at(d time.Duration) *checkerTest { e.now = time.Second + d; return e }

// recordAttempt records that the complete request arrives at a server now.
func (e *checkerTest) recordAttempt(r *Request, server int) *Attempt {
	return e.RecordAttempt(r, server, e.now, e.now, true)
}

// recordAnswer records the final answer of a request now.
func (e *checkerTest) recordAnswer(r *Request, kind Outcome, body string) Outcome {
	return e.RecordAnswer(r, Answer{Outcome: kind, At: e.now, Body: body, Sent: true})
}

// ruleCase is a sequence of events and the rule that it breaks once.
type ruleCase struct {
	name string
	rule string // "": none
	run  func(e *checkerTest)
}

// check runs the events with a new checker, and fails the test unless the checker reports the case's rule
// once and no other rule.
func (c *ruleCase) check(t *testing.T) {
	t.Helper()
	e := newCheckerTest()
	c.run(e)
	breaches, count := e.Breaches()
	switch {
	case c.rule == "" && len(breaches) > 0:
		t.Errorf("got breaches %v, want none", breaches)
	case c.rule != "" && (count[c.rule] != 1 || len(count) != 1):
		t.Errorf("want one breach of %q, got %v", c.rule, breaches)
	}
}

// answerCases test the rules for the final answers of requests.
var answerCases = []ruleCase{
	{"served by a server", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		a := e.recordAttempt(r, 0)
		a.MarkFinished()
		e.at(time.Second).recordAnswer(r, Served, a.Body("s0"))
	}},
	{"served with a body that no server made", RuleLost, func(e *checkerTest) { e.recordAnswer(e.addRequest(idempotent), Served, "all is well") }},
	{"served with another request's answer", RuleLost, func(e *checkerTest) {
		r, other := e.addRequest(idempotent), e.addRequest(idempotent)
		e.recordAttempt(r, 0)
		a := e.recordAttempt(other, 0)
		e.recordAnswer(r, Served, a.Body("s0"))
	}},
	{"failed within the slack", "", func(e *checkerTest) { r := e.addRequest(idempotent); e.at(5070*ms).recordAnswer(r, Failed, "") }},
	{"failed after the slack", RuleLost, func(e *checkerTest) { r := e.addRequest(idempotent); e.at(5071*ms).recordAnswer(r, Failed, "") }},
	{"failed after the slack, agent paused by the lab", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.AgentPaused(0, e.now+time.Second, e.now+5*time.Second)
		e.at(6*time.Second).recordAnswer(r, Failed, "")
	}},
	{"unanswered", RuleLost, func(e *checkerTest) { r := e.addRequest(idempotent); e.at(5080*ms).recordAnswer(r, Unanswered, "") }},
	{"unanswered, agent killed by the lab", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.at(time.Second).AgentKilled(0)
		e.recordAnswer(r, Unanswered, "")
	}},
	{"used connection closed without an answer", RuleLost, func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.RecordAnswer(r, Answer{Outcome: Unanswered, At: e.now, Sent: true, Closed: true})
	}},
	{"new connection closed, nothing forwarded", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.RecordAnswer(r, Answer{Outcome: Unanswered, At: e.now, Sent: true, Closed: true, NewConnection: true})
	}},
	{"new connection closed after forwarding", RuleLost, func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.recordAttempt(r, 0)
		e.RecordAnswer(r, Answer{Outcome: Unanswered, At: e.now, Sent: true, Closed: true, NewConnection: true})
	}},
	{"answer incomplete", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.recordAttempt(r, 0)
		e.RecordAnswer(r, Answer{Outcome: Unanswered, At: e.now, Sent: true, Closed: true, Partial: true})
	}},
	{"canceled by its client", "", func(e *checkerTest) { e.recordAnswer(e.addRequest(idempotent), ClientCanceled, "") }},
}

// attemptCases test the rules for the attempts of a request.
var attemptCases = []ruleCase{
	{"idempotent, three attempts", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		e.recordAttempt(r, 0)
		e.recordAttempt(r, 1)
		e.recordAttempt(r, 2)
	}},
	{"more attempts than the limit", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(idempotent)
		for range 4 {
			e.recordAttempt(r, 0)
		}
	}},
	{"parallel attempts where they are not allowed", RuleDuplicate, func(e *checkerTest) {
		e.settings.Limits.ParallelAttempts = false
		r := e.addRequest(idempotent)
		e.recordAttempt(r, 0)
		e.recordAttempt(r, 1)
	}},
	{"one attempt after the other", "", func(e *checkerTest) {
		e.settings.Limits.ParallelAttempts = false
		r := e.addRequest(idempotent)
		e.recordAttempt(r, 0).MarkFinished()
		e.recordAttempt(r, 1)
	}},
	{"non-idempotent, repeated after it was rejected", "", func(e *checkerTest) {
		r := e.addRequest(nonIdempotent)
		e.recordAttempt(r, 0).MarkRejected()
		e.recordAttempt(r, 1)
	}},
	{"non-idempotent, repeated after it may have run", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(nonIdempotent)
		e.recordAttempt(r, 0).MarkFinished()
		e.recordAttempt(r, 1)
	}},
	{"non-idempotent, rejected after it may have run", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(nonIdempotent)
		e.recordAttempt(r, 0).MarkFinished()
		e.recordAnswer(r, Rejected, "")
	}},
	{"non-idempotent, rejected without execution", "", func(e *checkerTest) {
		r := e.addRequest(nonIdempotent)
		e.recordAttempt(r, 0).MarkRejected()
		e.recordAnswer(r, Rejected, "")
	}},
	{"deduplicated, repeated within zone and window", "", func(e *checkerTest) {
		r := e.addRequest(dedupInZone)
		e.recordAttempt(r, 0)
		e.at(3050*ms).recordAttempt(r, 2)
	}},
	{"deduplicated, repeated after the window", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(dedupInZone)
		e.recordAttempt(r, 0)
		e.at(3051*ms).recordAttempt(r, 2)
	}},
	{"deduplicated, repeated in another zone", RuleDuplicate, func(e *checkerTest) { r := e.addRequest(dedupInZone); e.recordAttempt(r, 0); e.recordAttempt(r, 1) }},
	{"deduplicated, repeated in another cell", RuleDuplicate, func(e *checkerTest) { r := e.addRequest(dedupInCell); e.recordAttempt(r, 0); e.recordAttempt(r, 2) }},
	{"deduplicated by all, repeated anywhere", "", func(e *checkerTest) {
		r := e.addRequest(dedupInAll)
		e.recordAttempt(r, 0)
		e.recordAttempt(r, 1)
		e.recordAnswer(r, Rejected, "")
	}},
	{"deduplicated within a zone, rejected", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(dedupInZone)
		e.recordAttempt(r, 0)
		e.recordAnswer(r, Rejected, "")
	}},
	{"sent after the final answer", RuleDuplicate, func(e *checkerTest) {
		r := e.addRequest(idempotent)
		a := e.recordAttempt(r, 0)
		e.recordAnswer(r, Served, a.Body("s0"))
		e.at(60*ms).recordAttempt(r, 1)
	}},
	{"sent within the slack of the final answer", "", func(e *checkerTest) {
		r := e.addRequest(idempotent)
		a := e.recordAttempt(r, 0)
		e.recordAnswer(r, Served, a.Body("s0"))
		e.at(50*ms).recordAttempt(r, 1)
	}},
}

// drainCases test the rule for requests to a server that accepts no new ones.
var drainCases = []ruleCase{
	{"sent to a draining server within the grace", "", func(e *checkerTest) {
		e.RecordNotified(0, 0, "draining", 0)
		e.at(550*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"sent to a draining server after the grace", RuleDrain, func(e *checkerTest) {
		e.RecordNotified(0, 0, "draining", 0)
		e.at(551*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"sent to a server that is ready again", "", func(e *checkerTest) {
		e.RecordNotified(0, 0, "gone", 0)
		e.RecordNotified(0, 0, "ready", 7)
		e.at(time.Second).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"another agent was notified", "", func(e *checkerTest) {
		e.RecordNotified(1, 0, "draining", 0)
		e.at(time.Second).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"an earlier process of the agent was notified", "", func(e *checkerTest) {
		e.RecordNotified(0, 0, "draining", 0)
		e.AgentStarted(0)
		e.at(time.Second).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain counts as notified", RuleDrain, func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.at(6551*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain does not count as notified yet", "", func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.at(6550*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain while discovery is down", "", func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.at(time.Second).SetDiscoveryUp(false)
		e.at(20*time.Second).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain after discovery was down", RuleDrain, func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.at(time.Second).SetDiscoveryUp(false)
		e.at(20 * time.Second).SetDiscoveryUp(true)
		e.at(25551*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain while the lab cuts the agent off", "", func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.SetDiscoveryCut(0, true)
		e.at(20*time.Second).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"drain after the lab cut the agent off", RuleDrain, func(e *checkerTest) {
		e.RecordDiscovery(0, "draining", 0)
		e.SetDiscoveryCut(0, true)
		e.at(20*time.Second).SetDiscoveryCut(0, false)
		e.at(26551*ms).recordAttempt(e.addRequest(idempotent), 0)
	}},
	{"sent over a link that may have delayed it", "", func(e *checkerTest) {
		e.RecordNotified(0, 0, "draining", 0)
		e.at(time.Second)
		e.RecordAttempt(e.addRequest(idempotent), 0, e.now, e.now, false)
	}},
}

// otherCases test the rules that do not depend on a sequence of requests.
var otherCases = []ruleCase{
	{"overloaded by agents that knew of the start", RuleSlowStart, func(e *checkerTest) { e.RecordWarmupOverload(0, 0.67, 900, 500) }},
	{"overloaded by agents that could not know of the start", "", func(e *checkerTest) { e.RecordWarmupOverload(0, 0.66, 900, 500) }},
	{"an ID that no client sent", RuleUnknown, func(e *checkerTest) { e.ReportUnknown(e.Lookup("nobody"), "nobody", 0, "it came") }},
}

// For each case, the checker reports the rule that the case breaks and no other rule.
func TestRulesAreChecked(t *testing.T) {
	for group, cases := range map[string][]ruleCase{"answers": answerCases, "attempts": attemptCases, "drain": drainCases, "other": otherCases} {
		for _, c := range cases {
			t.Run(group+"/"+c.name, c.check)
		}
	}
}

// An agent counts as notified of a server's start once discovery has written the start to it, or after six
// seconds in which discovery was able to do so. A later start of the server needs a separate notification.
func TestStartCountsAsNotified(t *testing.T) {
	e := newCheckerTest()
	e.RecordDiscovery(0, "ready", 100)
	if e.StartNotified(0, 0, 100) {
		t.Error("the start counts as notified at once")
	}
	e.RecordNotified(1, 0, "ready", 100)
	if !e.StartNotified(1, 0, 100) || e.StartNotified(1, 0, 200) {
		t.Error("a notification of a start must count for this start, and not for a later one")
	}
	if e.at(5999*ms).StartNotified(0, 0, 100) || !e.at(6000*ms).StartNotified(0, 0, 100) {
		t.Error("the start must count as notified after six seconds, and not before")
	}
}

// Requests that finished long ago are dropped. Requests in progress are never dropped.
func TestFinishedRequestsAreDropped(t *testing.T) {
	e := newCheckerTest()
	done, open := e.addRequest(idempotent), e.addRequest(idempotent)
	e.recordAnswer(done, Failed, "")
	e.at(30 * time.Second).Sweep()
	if e.Lookup(done.ID) == nil {
		t.Error("the finished request was dropped too soon")
	}
	e.at(31 * time.Second).Sweep()
	if e.Lookup(done.ID) != nil || e.Lookup(open.ID) == nil || e.Retained() != 1 {
		t.Errorf("%d requests are retained, want the open one only", e.Retained())
	}
}

// For any sequence of discovery outages and of cuts by the lab, an agent counts as notified of a drain after
// six seconds in which discovery was able to notify it, and not before.
func TestDrainCountsAfterServiceTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newCheckerTest()
		e.RecordDiscovery(0, "draining", 0)
		up, cut, service := true, false, time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * ms
			e.now += d
			if up && !cut {
				service += d
			}
			if rapid.Bool().Draw(t, "which") {
				up = !up
				e.SetDiscoveryUp(up)
			} else {
				cut = !cut
				e.SetDiscoveryCut(0, cut)
			}
			if _, notified := e.drainNotifiedSince(0, 0, e.now); notified != (service >= notificationBound) {
				t.Fatalf("after %v of service time: notified %v", service, notified)
			}
		}
	})
}
