package member

import "testing"

// TestCompareViews checks which members differ between views, for how long, and which observer
// disagrees with all others.
func TestCompareViews(t *testing.T) {
	// view returns the view of an observer, with its own opinions and those of another observer, x.
	// The observer a has held its opinions for 1 s, b for 2 s, and so on.
	view := func(observer string, states map[string]State) View {
		v := View{From: observer}
		for name, state := range states {
			role := RoleControlPlane
			if name[0] == 'n' {
				role = RoleAgent
			}
			opinions := []Opinion{{observer, state, 1, int64(observer[0]-'a'+1) * 1000}, {"x", Failed, 1, 1}}
			v.Members = append(v.Members, Entry{Name: name, Role: role, State: state, Observers: opinions})
		}
		return v
	}
	differences := CompareViews([]View{
		view("a", map[string]State{"b": Present, "c": Suspect, "d": Present, "n1": Present}),
		view("b", map[string]State{"a": Present, "c": Present, "d": Present, "n1": Failed}),
		view("c", map[string]State{"a": Present, "b": Present, "d": Present}),
		view("d", map[string]State{"a": Present, "b": Present, "c": Present, "n1": Suspect}),
	})
	if len(differences) != 1 || differences[0].Name != "c" || differences[0].Dissenter != "a" || differences[0].ForMs != 1000 || differences[0].States["b"] != "present" {
		t.Errorf("%+v", differences)
	}
	differences = CompareViews([]View{
		view("a", map[string]State{"b": Present}),
		view("b", map[string]State{"a": Present}),
	})
	if len(differences) != 0 {
		t.Errorf("equal views differ: %+v", differences)
	}
	differences = CompareViews([]View{
		view("a", map[string]State{"b": Present, "c": Present}),
		view("b", map[string]State{"a": Present}),
		view("c", map[string]State{"a": Present, "b": Present}),
	})
	if len(differences) != 1 || differences[0].Name != "c" || len(differences[0].UnknownTo) != 1 || differences[0].UnknownTo[0] != "b" {
		t.Errorf("a member that one observer does not know: %+v", differences)
	}
}
