package control

import (
	"slices"
	"testing"

	"knotrouter/internal/catalog"
)

// A task is copied to be encoded without the state's lock. The copy must not change when the state shifts
// the task's history in place, as it does once the history is full.
func TestTaskCopiesKeepHistory(t *testing.T) {
	f := &fsm{state: catalog.New()}
	history := []catalog.Term{{Process: "a", Fence: 1}, {Process: "b", Fence: 2}}
	f.state.LeasedTasks["second"] = &catalog.LeasedTask{Name: "second"}
	f.state.LeasedTasks["first"] = &catalog.LeasedTask{Name: "first", History: slices.Clone(history)}
	all := copyAll(f, taskTable, copyTask)
	one := copyOne(f, taskTable, "first", copyTask)
	f.state.LeasedTasks["first"].History = slices.Delete(f.state.LeasedTasks["first"].History, 0, 1)
	if len(all) != 2 || all[0].Name != "first" || all[1].Name != "second" {
		t.Fatalf("tasks %v are not sorted by name", all)
	}
	if !slices.Equal(all[0].History, history) {
		t.Errorf("copyAll: the copied history changed with the state: %v", all[0].History)
	}
	if !slices.Equal(one.History, history) {
		t.Errorf("copyOne: the copied history changed with the state: %v", one.History)
	}
	if copyOne(f, taskTable, "none", copyTask) != nil {
		t.Error("copyOne returned a task that doesn't exist")
	}
	if got := copyAll(f, sessionTable, shallowCopy); got == nil || len(got) != 0 {
		t.Errorf("sessions of an empty state: %v, want an empty list that isn't nil", got)
	}
}
