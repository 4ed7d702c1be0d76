package control

import (
	"fmt"
	"testing"
	"time"

	"knotrouter/internal/catalog"
)

// expireCountingDeath proposes to expire the current term of a task and to count a death of its holder, as
// a leader of an earlier build does.
func expireCountingDeath(t *testing.T, s *Server, task string) {
	t.Helper()
	var fence int64
	s.fsm.read(func(state *catalog.State) { fence = state.LeasedTasks[task].Fence })
	term := catalog.TermRef{Name: task, Fence: fence, CountDeath: true}
	if _, err := s.propose(catalog.Command{Kind: catalog.ExpireTerm, Terms: []catalog.TermRef{term}}); err != nil {
		t.Fatal(err)
	}
}

// waitForTask waits until reached returns true for a task, and fails the test after 20 s.
func waitForTask(t *testing.T, s *Server, name, condition string, reached func(task *catalog.LeasedTask) bool) {
	t.Helper()
	var last string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		done := false
		s.fsm.read(func(state *catalog.State) {
			if task := state.LeasedTasks[name]; task != nil {
				done, last = reached(task), fmt.Sprintf("%+v", task)
			}
		})
		if done {
			return
		}
	}
	t.Fatalf("task %s is not %s; last seen as %s", name, condition, last)
}

// hasHolder reports whether a process holds the task.
func hasHolder(task *catalog.LeasedTask) bool { return task.Holder != "" }

// TestControlTasksAreHeldAgainAfterDeaths checks that each of the control plane's own tasks gets a holder
// again after an earlier build has suspended it because its holders died, and that a suspension by an
// operator stays in effect.
func TestControlTasksAreHeldAgainAfterDeaths(t *testing.T) {
	const deaths = 3 // number of holder deaths after which an earlier build suspends a task
	s, addr := startSingleServer(t)
	for _, name := range controlTasks {
		for range deaths {
			waitForTask(t, s, name, "held", hasHolder)
			expireCountingDeath(t, s, name)
		}
		waitForTask(t, s, name, "held after the deaths", hasHolder)
	}
	client := NewClient([]string{addr}, 5*time.Second)
	const reason = "until tomorrow"
	if err := client.CommandTask(t.Context(), auditTask, CommandSuspend, "", reason); err != nil {
		t.Fatal(err)
	}
	waitForTask(t, s, auditTask, "without a holder", func(task *catalog.LeasedTask) bool { return task.Holder == "" })
	time.Sleep(5 * decisionInterval)
	waitForTask(t, s, auditTask, "still suspended", func(task *catalog.LeasedTask) bool {
		return task.SuspendReason == reason && task.Holder == ""
	})
}
