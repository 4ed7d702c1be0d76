package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTaskLeases verifies for processes that open sessions, stop renewing, drain and close: no term
// expires before its TTL has passed since the holder's last renewal, or since the election of a new
// leader; no process has more tasks than its MaxTasks; and in the end all tasks that can be held are
// held, and transfers stop.
func TestTaskLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTaskFleet(t, time.Duration(rapid.IntRange(0, 100).Draw(t, "from"))*time.Hour)
		tasks := rapid.IntRange(1, 40).Draw(t, "tasks")
		for i := range tasks {
			apply(f.s, f.now, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: fmt.Sprintf("d-%02d", i), TTL: time.Duration(1+i%3) * time.Second,
				PreferredZone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone")}})
		}
		for range rapid.IntRange(0, 25).Draw(t, "changes") {
			f.applyRandomChange()
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				f.step()
			}
		}
		for range 400 { // until all backoffs have ended and the load is balanced
			f.step()
		}
		capacity := 0
		for process := range f.sessions {
			if session := f.s.Sessions[process]; session != nil && !session.Draining {
				capacity += session.MaxTasks
			}
		}
		settled := 0
		for _, task := range f.s.LeasedTasks {
			if task.Holder != "" || task.SuspendReason != "" {
				settled++
			}
		}
		if settled < min(tasks, capacity) {
			t.Fatalf("%d of %d tasks are held, with a capacity of %d", settled, tasks, capacity)
		}
		for range 50 {
			if changes := f.step(); changes > 0 {
				t.Fatalf("%d tasks are granted or transferred in a stable fleet", changes)
			}
		}
	})
}

// taskFleet simulates a leader, and processes that renew their sessions and follow their assignments.
type taskFleet struct {
	t           *rapid.T
	s           *State
	leases      *TaskLeases
	now         time.Duration
	leaderSince time.Duration
	sessions    map[string]string        // session IDs of the running processes
	lastRenewal map[string]time.Duration // by session ID
	startCount  int                      // number of process starts, used in session IDs
}

func newTaskFleet(t *rapid.T, now time.Duration) *taskFleet {
	return &taskFleet{t: t, s: New(), leases: NewTaskLeases(now), now: now, leaderSince: now,
		sessions: map[string]string{}, lastRenewal: map[string]time.Duration{}}
}

// applyRandomChange makes one process start, die, drain or shut down, or another leader take over.
func (f *taskFleet) applyRandomChange() {
	process := fmt.Sprint("p-", rapid.IntRange(0, 4).Draw(f.t, "process"))
	session := &Session{Process: process, ID: f.sessions[process]}
	switch rapid.SampledFrom([]string{"open", "open", "die", "drain", "close", "leader"}).Draw(f.t, "change") {
	case "open":
		f.startCount++
		id := fmt.Sprint(process, "-", f.startCount)
		if r := apply(f.s, f.now, Command{Kind: OpenSession, Session: &Session{Process: process, ID: id, MaxTasks: rapid.IntRange(1, 30).Draw(f.t, "cap"),
			Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(f.t, "zone")}}); r.Code == Done {
			f.sessions[process], f.lastRenewal[id] = id, f.now
		}
	case "die":
		delete(f.sessions, process)
	case "drain":
		apply(f.s, f.now, Command{Kind: DrainSession, Session: session})
	case "close":
		apply(f.s, f.now, Command{Kind: CloseSession, Session: session})
		delete(f.sessions, process)
	case "leader":
		f.now += time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "without")) * time.Millisecond
		f.leases, f.leaderSince = NewTaskLeases(f.now), f.now
	}
}

// step renews all sessions, and makes, checks and applies the leader's decision. It returns the number
// of tasks that are granted or transferred.
func (f *taskFleet) step() (changes int) {
	for process, id := range f.sessions {
		if code := f.leases.Renew(f.s, process, id, f.now); code == Done {
			f.lastRenewal[id] = f.now
		}
	}
	for _, c := range f.leases.Decide(f.s, f.now) {
		f.checkTerms(c)
		if c.Kind == GrantTerm || c.Kind == TransferTask && len(c.Terms) > 0 && c.Terms[0].Process != "" {
			changes += len(c.Terms)
		}
		apply(f.s, f.now, c)
	}
	f.completeTransfers()
	f.checkLoad()
	f.now += 100 * time.Millisecond
	return changes
}

// checkTerms checks that no term expires early, and that none is granted to a process that has not
// renewed recently.
func (f *taskFleet) checkTerms(c Command) {
	for _, term := range c.Terms {
		if task := f.s.LeasedTasks[term.Name]; c.Kind == ExpireTerm {
			if last := max(f.lastRenewal[task.Session], f.leaderSince); f.now < last+task.TTL {
				f.t.Fatalf("%s expires %v after the last renewal by %s, its TTL is %v", term.Name, f.now-last, task.Holder, task.TTL)
			}
		}
		if last := max(f.lastRenewal[term.Session], f.leaderSince); c.Kind == GrantTerm && f.now >= last+grantRenewalWindow {
			f.t.Fatalf("%s is granted to %s, which renewed %v ago", term.Name, term.Process, f.now-last)
		}
	}
}

// completeTransfers makes each successor accept its transfer and each holder then release its term.
func (f *taskFleet) completeTransfers() {
	for _, task := range f.s.LeasedTasks {
		if task.Successor != "" {
			session := f.s.Sessions[task.Successor]
			apply(f.s, f.now, Command{Kind: AcceptTransfer, Terms: []TermRef{{Name: task.Name, Process: task.Successor, Session: session.ID}}})
			apply(f.s, f.now, Command{Kind: ReleaseTerm, Terms: []TermRef{{Name: task.Name, Fence: task.Fence}}})
		}
	}
}

// checkLoad checks that no process holds more tasks than it may.
func (f *taskFleet) checkLoad() {
	load := map[string]int{}
	for _, task := range f.s.LeasedTasks {
		if task.Holder != "" {
			load[task.Holder]++
		}
	}
	for process, tasks := range load {
		if session := f.s.Sessions[process]; tasks > session.MaxTasks {
			f.t.Fatalf("%s holds %d tasks, more than %d", process, tasks, session.MaxTasks)
		}
	}
}

// TestAbsentProcessesAreChosenLast verifies that a process that is not in the membership view is
// granted a task only if no other process has the capacity.
func TestAbsentProcessesAreChosenLast(t *testing.T) {
	s := New()
	for _, process := range []string{"a", "b"} {
		apply(s, 0, Command{Kind: OpenSession, Session: &Session{Process: process, ID: process, MaxTasks: 2}})
	}
	for i := range 3 {
		apply(s, 0, Command{Kind: DefineTask, LeasedTask: &LeasedTask{Name: fmt.Sprint("d-", i), TTL: time.Second, PreferredProcess: "a"}})
	}
	leases := NewTaskLeases(0)
	leases.Absent = map[string]bool{"a": true}
	for _, c := range leases.Decide(s, 0) {
		apply(s, 0, c)
	}
	load := map[string]int{}
	for _, task := range s.LeasedTasks {
		load[task.Holder]++
	}
	if load["b"] != 2 || load["a"] != 1 {
		t.Errorf("tasks by process: %v", load)
	}
}
