package control

import (
	"slices"
	"testing"

	"knotrouter/internal/catalog"
)

// A copy of a task that is being encoded must not change when the state shifts the task's history in
// place, as it does once the history is full.
func TestTaskCopiesKeepHistory(t *testing.T) {
	f := &fsm{state: catalog.New()}
	history := []catalog.Term{{Process: "a", Fence: 1}, {Process: "b", Fence: 2}}
	f.state.LeasedTasks["second"] = &catalog.LeasedTask{Name: "second"}
	f.state.LeasedTasks["first"] = &catalog.LeasedTask{Name: "first", History: slices.Clone(history)}
	all := copyAll(f, taskTable, copyTask)
	one := copyOne(f, taskTable, "first", copyTask)
	f.state.LeasedTasks["first"].History = slices.Delete(f.state.LeasedTasks["first"].History, 0, 1)
	if len(all) != 2 || all[0].Name != "first" || all[1].Name != "second" {
		t.Fatalf("tasks are %v, not in the order of their names", all)
	}
	if !slices.Equal(all[0].History, history) {
		t.Errorf("the list's copy changed with the state: %v", all[0].History)
	}
	if !slices.Equal(one.History, history) {
		t.Errorf("the single copy changed with the state: %v", one.History)
	}
	if copyOne(f, taskTable, "none", copyTask) != nil {
		t.Error("a task that doesn't exist was found")
	}
	if got := copyAll(f, sessionTable, shallowCopy); got == nil || len(got) != 0 {
		t.Errorf("sessions of an empty state are %v, want an empty list", got)
	}
}
