package catalog

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// A reader that names no services gets the list as it was before entries had a service.
func TestServiceStaysOutOfFullList(t *testing.T) {
	plain, named := New(), New()
	with := endpoint("s", 10)
	with.Service = "billing"
	if r := apply(plain, time.Second, Command{Kind: Register, Endpoint: endpoint("s", 10)}); r.Code != Done {
		t.Fatalf("register: %+v", r)
	}
	if r := apply(named, time.Second, Command{Kind: Register, Endpoint: with}); r.Code != Done {
		t.Fatalf("register with a service: %+v", r)
	}
	for _, whole := range []bool{true, false} {
		want, _ := json.Marshal(plain.List(0, whole))
		got, _ := json.Marshal(named.List(0, whole))
		if string(got) != string(want) {
			t.Errorf("whole %v: %s, want %s", whole, got, want)
		}
	}
	if named.Entries["s"].Endpoint.Service != "billing" {
		t.Error("the state lost the entry's service")
	}
}

func TestServiceNameIsChecked(t *testing.T) {
	for _, name := range []string{"a b", "a/b", "a?b", strings.Repeat("x", 65)} {
		h := endpoint("s", 10)
		h.Service = name
		r := apply(New(), time.Second, Command{Kind: Register, Endpoint: h})
		if r.Code != Invalid || !strings.HasPrefix(r.Text, "service: ") {
			t.Errorf("service %q: %+v", name, r)
		}
	}
}
