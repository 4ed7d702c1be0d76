package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTaskHasOneHolder verifies that a task is not granted while another process holds it, that a
// retried grant returns the same fencing token, and that a release must have the current token.
func TestTaskHasOneHolder(t *testing.T) {
	s := New()
	for _, process := range []string{"p", "q"} {
		apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: process, ID: process + "-1", MaxTasks: 1}})
	}
	apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: "task", TTL: time.Second}})
	grant := func(process string) Result {
		return apply(s, s.Clock, Command{Kind: GrantTerm, Terms: []TermRef{{Name: "task", Process: process, Session: process + "-1"}}})
	}
	first := grant("p")
	if first.Code != Done || first.Fence == 0 {
		t.Fatalf("first grant: %+v", first)
	}
	if other := grant("q"); other.Code != Taken || s.LeasedTasks["task"].Holder != "p" {
		t.Errorf("grant to another process: %+v, held by %s", other, s.LeasedTasks["task"].Holder)
	}
	if retry := grant("p"); retry != first {
		t.Errorf("retried grant: %+v, want %+v", retry, first)
	}
	release := Command{Kind: ReleaseTerm, Terms: []TermRef{{Name: "task", Fence: first.Fence + 1}}}
	if r := apply(s, s.Clock, release); r.Code != Fenced || s.LeasedTasks["task"].Holder != "p" {
		t.Errorf("release under another fencing token: %+v", r)
	}
	release.Terms[0].Fence = first.Fence
	if r := apply(s, s.Clock, release); r.Code != Done || s.LeasedTasks["task"].Holder != "" {
		t.Errorf("release: %+v", r)
	}
	if second := grant("q"); second.Code != Done || second.Fence <= first.Fence {
		t.Errorf("grant after the release: %+v, first grant %+v", second, first)
	}
}

// TestTaskLogs verifies for random logs of commands on sessions and tasks: a task has at most one
// holder, with an open session; fencing tokens grow and no two terms share one; a term ends only by
// a command on that term or on its session; a command under a stale term is rejected and changes
// nothing; and a replay of the log, or of a snapshot and the rest of the log, gives the same state.
func TestTaskLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := taskLogChecker{terms: map[int64]string{}}
		replayTaskLog(t, func(s *State, step taskLogStep) {
			checkCommand(t, s, step.command, step.result, step.previousSeq)
			checker.checkTerms(t, s, step.command, step.previousTasks)
		})
	})
}

// TestAssignmentsChangeWithRevision verifies for random logs of commands on sessions and tasks that the
// assignments of a session change only with its revision, so that its process notices each change.
func TestAssignmentsChangeWithRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := knownAssignments{}
		replayTaskLog(t, func(s *State, _ taskLogStep) { known.check(t, s) })
	})
}

// taskLogStep is an applied command with its result and parts of the state before it.
type taskLogStep struct {
	command       Command
	result        Result
	previousSeq   int64
	previousTasks map[string]LeasedTask
}

// replayTaskLog applies a random log of commands on sessions and tasks to a new state, and calls
// check after each command. It also applies the stored form of each command to a second state, which
// it replaces with a decoded snapshot of the first at a random command. It fails the test if the
// results of a command or the final states differ.
func replayTaskLog(t *rapid.T, check func(s *State, step taskLogStep)) {
	t.Helper()
	s, replayed := New(), New()
	apply(s, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
	apply(replayed, 0, Command{Kind: Register, Endpoint: endpoint("s", 1)})
	snapshotAt := rapid.IntRange(0, 60).Draw(t, "snapshot at")
	for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
		if i == snapshotAt {
			replayed = decodedCopy(t, s)
		}
		c := drawTaskCommand(t, s, time.Duration(i*rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond)
		text, _ := json.Marshal(c)
		var stored Command
		if err := json.Unmarshal(text, &stored); err != nil {
			t.Fatal(err)
		}
		step := taskLogStep{command: c, previousSeq: s.Seq, previousTasks: copyOfTasks(s)}
		step.result = s.Apply(&step.command)
		if again := replayed.Apply(&stored); again != step.result {
			t.Fatalf("%s: %+v, replayed: %+v", c.Kind, step.result, again)
		}
		check(s, step)
	}
	a, _ := s.Encode()
	b, _ := replayed.Encode()
	if !bytes.Equal(a, b) {
		t.Fatalf("states differ after the replay:\n%s\n%s", a, b)
	}
	if _, err := Decode(a); err != nil {
		t.Fatalf("cannot decode the state's own snapshot: %v", err)
	}
}

// decodedCopy returns the state that a snapshot of s decodes to.
func decodedCopy(t *rapid.T, s *State) *State {
	t.Helper()
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// copyOfTasks returns copies of the tasks of a state.
func copyOfTasks(s *State) map[string]LeasedTask {
	tasks := map[string]LeasedTask{}
	for name, task := range s.LeasedTasks {
		tasks[name] = *task
	}
	return tasks
}

// checkCommand checks a command's result against the state after it: an opened session has the
// process name, and a command under a term was applied if and only if that term is current. seq is
// the list's revision before the command.
func checkCommand(t *rapid.T, s *State, c Command, r Result, seq int64) {
	t.Helper()
	if c.Kind == OpenSession && r.Code == Done && s.Sessions[c.Session.Process].ID != c.Session.ID {
		t.Fatalf("session %s was opened, but its process name belongs to session %s", c.Session.ID, s.Sessions[c.Session.Process].ID)
	}
	if c.UnderTask == "" {
		return
	}
	task := s.LeasedTasks[c.UnderTask]
	current := task != nil && task.Holder != "" && task.Fence == c.Fence
	if current != (r.Code == Done) || !current && s.Seq != seq {
		t.Fatalf("command under fencing token %d of %+v: %+v", c.Fence, task, r)
	}
}

// taskLogChecker checks the tasks and sessions after each command of one log.
type taskLogChecker struct {
	terms    map[int64]string // task and session of each term, by fencing token
	minFence int64            // lower bound: the token of each new term must be higher
}

// checkTerms checks all tasks after a command. before holds the tasks before it.
func (k *taskLogChecker) checkTerms(t *rapid.T, s *State, c Command, before map[string]LeasedTask) {
	t.Helper()
	if c.Kind == RaiseRevision {
		k.minFence = max(k.minFence, c.Seq)
	}
	highest := k.minFence
	for name, task := range s.LeasedTasks {
		previous, known := before[name]
		if task.Holder != "" && (previous.Holder == "" || previous.Fence != task.Fence) {
			if task.Fence <= k.minFence {
				t.Fatalf("%s is granted with fencing token %d, not above %d", name, task.Fence, k.minFence)
			}
			highest = max(highest, task.Fence)
		}
		if known && task.Fence < previous.Fence {
			t.Fatalf("%s: fencing token %d after %d", name, task.Fence, previous.Fence)
		}
		if task.Holder != "" {
			k.checkHolder(t, s, task)
		}
		if task.SuspendReason != "" && task.Holder != "" && task.Fence != previous.Fence {
			t.Fatalf("%s was granted although it is suspended: %+v", name, task)
		}
		if known && previous.Holder != "" && (task.Holder != previous.Holder || task.Fence != previous.Fence) && !endsTerm(c, &previous) {
			t.Fatalf("command %s ended the term of %s held by %s", c.Kind, name, previous.Holder)
		}
	}
	k.minFence = highest
}

// checkHolder checks that a task is held in an open session, with a fencing token that no other term
// has.
func (k *taskLogChecker) checkHolder(t *rapid.T, s *State, task *LeasedTask) {
	t.Helper()
	term := task.Name + task.Session
	switch {
	case s.Sessions[task.Holder] == nil || s.Sessions[task.Holder].ID != task.Session:
		t.Fatalf("%s is held by %s in session %s, which is not open", task.Name, task.Holder, task.Session)
	case k.terms[task.Fence] == "":
		k.terms[task.Fence] = term
	case k.terms[task.Fence] != term:
		t.Fatalf("fencing token %d belongs to %s and to %s", task.Fence, k.terms[task.Fence], term)
	}
}

// endsTerm reports whether a command may end the current term of a task.
func endsTerm(c Command, task *LeasedTask) bool {
	if c.Kind == CloseSession {
		return c.Session.Process == task.Holder && c.Session.ID == task.Session
	}
	return (c.Kind == ExpireTerm || c.Kind == ReleaseTerm) &&
		slices.ContainsFunc(c.Terms, func(term TermRef) bool { return term.Name == task.Name && term.Fence == task.Fence })
}

// knownAssignments maps a session and revision to the session's assignments, as text.
type knownAssignments map[string]string

// check checks that the assignments of a session change only with its revision.
func (k knownAssignments) check(t *rapid.T, s *State) {
	t.Helper()
	for _, process := range s.ProcessNames() {
		session := s.Sessions[process]
		tasks, revision, _ := s.Assignments(process, session.ID)
		key, now := fmt.Sprint(session.ID, revision), fmt.Sprint(tasks)
		if previous, found := k[key]; found && previous != now {
			t.Fatalf("at revision %d, the assignments of %s changed to %s from %s", revision, process, now, previous)
		}
		k[key] = now
	}
}

// TestCrashingTasksAreSuspended verifies that a task that fails is granted again only after a backoff
// that grows each time, and that a task is suspended if its holders die soon after the grant. A task
// that was granted to the same processes before the crashing task is not suspended.
func TestCrashingTasksAreSuspended(t *testing.T) {
	s := New()
	apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: "p", ID: "i", MaxTasks: 9}})
	apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: "f", TTL: time.Second}})
	var backoffs []time.Duration
	for range 4 {
		task := s.LeasedTasks["f"]
		apply(s, max(task.NotBefore, s.Clock), Command{Kind: GrantTerm, Terms: []TermRef{{Name: "f", Process: "p", Session: "i"}}})
		apply(s, s.Clock, Command{Kind: ReleaseTerm, Reason: ReasonFailed, Terms: []TermRef{{Name: "f", Session: "i", Fence: task.Fence}}})
		backoffs = append(backoffs, task.NotBefore-s.Clock)
	}
	if fmt.Sprint(backoffs) != "[1s 2s 4s 8s]" {
		t.Errorf("backoffs %v", backoffs)
	}
	now := s.Clock
	leases := NewTaskLeases(now)
	for _, name := range []string{"harmless", "crashing"} {
		apply(s, now, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: name, TTL: time.Second}})
	}
	for incarnation := range 4 {
		id := fmt.Sprint("k-", incarnation)
		apply(s, now, Command{Kind: OpenSession, Session: &Session{Process: "q", ID: id, MaxTasks: 9}})
		apply(s, now, Command{Kind: GrantTerm, Terms: []TermRef{{Name: "harmless", Process: "q", Session: id}}})
		apply(s, now, Command{Kind: GrantTerm, Terms: []TermRef{{Name: "crashing", Process: "q", Session: id}}})
		for range 60 { // the process no longer renews
			now += 100 * time.Millisecond
			for _, c := range leases.Decide(s, now) {
				if c.Kind != GrantTerm {
					apply(s, now, c)
				}
			}
		}
	}
	if s.LeasedTasks["crashing"].SuspendReason == "" || s.LeasedTasks["harmless"].SuspendReason != "" {
		t.Errorf("task that crashes its holders: %+v; task of the same holders: %+v", s.LeasedTasks["crashing"], s.LeasedTasks["harmless"])
	}
}

// suspendForDeaths applies the commands of a leader that counts the deaths of holders, for three
// holders of a task that die.
func suspendForDeaths(t *testing.T, s *State, name string) {
	t.Helper()
	for range suspendAfterDeaths {
		apply(s, s.Clock, Command{Kind: GrantTerm, Terms: []TermRef{{Name: name, Process: "p", Session: "i"}}})
		apply(s, s.Clock, Command{Kind: ExpireTerm, Terms: []TermRef{{Name: name, Fence: s.LeasedTasks[name].Fence, CountDeath: true}}})
	}
	if !s.SuspendedForDeaths(name) {
		t.Fatalf("not suspended after %d deaths: %+v", suspendAfterDeaths, s.LeasedTasks[name])
	}
}

// TestEssentialTasksStayGranted verifies that the deaths of its holders never suspend an essential
// task, that an essential task suspended by an earlier build is resumed, and that an operator's
// suspension persists.
func TestEssentialTasksStayGranted(t *testing.T) {
	s := New()
	for _, name := range []string{"sweep", "old", "operator", "users"} {
		apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: name, TTL: time.Second}})
	}
	apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: "p", ID: "i", MaxTasks: 9}})
	for _, name := range []string{"old", "operator", "users"} {
		suspendForDeaths(t, s, name)
	}
	apply(s, 0, Command{Kind: Suspend, Name: "operator", Reason: "until tomorrow"})
	apply(s, 0, Command{Kind: CloseSession, Session: &Session{Process: "p", ID: "i"}})
	leases, now := NewTaskLeases(0), time.Duration(0)
	leases.Essential = map[string]bool{"sweep": true, "old": true, "operator": true, "undefined": true}
	for incarnation := range 2 * suspendAfterDeaths { // each process dies as soon as it holds the tasks
		apply(s, now, Command{Kind: OpenSession, Session: &Session{Process: "q", ID: fmt.Sprint("q-", incarnation), MaxTasks: 9}})
		for range 60 {
			now += 100 * time.Millisecond
			for _, c := range leases.Decide(s, now) {
				apply(s, now, c)
			}
		}
	}
	for name, wantReason := range map[string]string{"sweep": "", "old": "", "operator": "until tomorrow", "users": deathsReason(suspendAfterDeaths)} {
		task := s.LeasedTasks[name]
		if task.SuspendReason != wantReason {
			t.Errorf("%s has suspend reason %q, want %q", name, task.SuspendReason, wantReason)
		}
		if terms := len(task.History); wantReason == "" && terms < suspendAfterDeaths {
			t.Errorf("%s was granted %d times", name, terms)
		}
	}
}
