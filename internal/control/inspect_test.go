package control

import (
	"slices"
	"testing"

	"knotrouter/internal/catalog"
)

// A copy that is being encoded must not change when the state shifts a duty's past terms in
// place, as it does once it keeps the most of them.
func TestCopiesOfDuties(t *testing.T) {
	f := &fsm{state: catalog.New()}
	past := []catalog.Term{{Process: "a", Fence: 1}, {Process: "b", Fence: 2}}
	f.state.Duties["second"] = &catalog.Duty{Name: "second"}
	f.state.Duties["first"] = &catalog.Duty{Name: "first", Past: slices.Clone(past)}
	all := copyAll(f, dutyTable, copyDuty)
	one := copyOne(f, dutyTable, "first", copyDuty)
	f.state.Duties["first"].Past = slices.Delete(f.state.Duties["first"].Past, 0, 1)
	if len(all) != 2 || all[0].Name != "first" || all[1].Name != "second" {
		t.Fatalf("duties are %v, not in the order of their names", all)
	}
	if !slices.Equal(all[0].Past, past) {
		t.Errorf("the list's copy changed with the state: %v", all[0].Past)
	}
	if !slices.Equal(one.Past, past) {
		t.Errorf("the single copy changed with the state: %v", one.Past)
	}
	if copyOne(f, dutyTable, "none", copyDuty) != nil {
		t.Error("a duty that isn't there was found")
	}
	if got := copyAll(f, sessionTable, shallowCopy); got == nil || len(got) != 0 {
		t.Errorf("sessions of an empty state are %v, want an empty list", got)
	}
}
