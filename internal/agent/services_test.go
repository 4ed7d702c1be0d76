package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// scopedConfig is a configuration of an agent that subscribes to services at one steward; it
// knows one server of service a and one of service b.
func scopedConfig(services ...string) map[string]any {
	a, b := host(1, "127.0.0.1:1", "ready"), host(2, "127.0.0.1:2", "ready")
	a["service"], b["service"] = "a", "b"
	conf := config("")
	conf["known"].(map[string]any)["hosts"] = []any{a, b}
	conf["settings"].(map[string]any)["membershipMode"] = "on_request"
	conf["stewards"] = []string{nowhere}
	if services != nil {
		conf["services"] = services
	}
	return conf
}

// scopedLoop is a loop that a test drives by hand, and what it logs.
func scopedLoop(t *testing.T, conf map[string]any) (*loop, *bytes.Buffer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := &bytes.Buffer{}
	l, err := newLoop(ctx, parse(t, conf), slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return l, log
}

// usable is the names of the servers that the loop may send to.
func (l *loop) usable() string {
	var names []string
	for i := range 10 {
		name := fmt.Sprint("s-", i)
		if b := l.backends[addrOf(name)]; b != nil && b.usable {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// hears hands the loop a list of a subscription.
func (l *loop) hears(kind inKind, subscription uint64, scoped bool, lst endpoints.List) {
	lst.Subscription, lst.Scoped = subscription, scoped
	l.handle(input{kind: kind, list: lst, from: l.disc})
}

func of(i int, service, health string) endpoints.Endpoint {
	return endpoints.Endpoint{Name: fmt.Sprint("s-", i), Dial: fmt.Sprint("127.0.0.1:", i), Service: service, Health: health}
}

func TestServicesConfig(t *testing.T) {
	many := []string{}
	for i := range endpoints.MaxServices + 1 {
		many = append(many, fmt.Sprint("s", i))
	}
	for _, c := range []struct {
		stewards bool
		services any
		want     string
	}{
		{true, []string{"", "a"}, ""},
		{true, many[1:], ""},
		{false, []string{"a"}, "config: services: only with stewards, which are not set"},
		{true, []string{}, "config: services: none named"},
		{true, many, "config: services: 257 of at most 256"},
		{true, []string{"a", "b", "x y"}, `config: services[2]: must be at most 64 printable characters without spaces or slashes: "x y"`},
		{true, []string{"a", "b", "a"}, `config: services[2]: named twice: "a"`},
		{true, "a", "config: services: cannot be a string"},
		{true, []any{"a", 2}, "config: services: cannot be a number"},
	} {
		conf := config(nowhere)
		if c.stewards {
			conf["stewards"] = []string{nowhere}
		}
		conf["services"] = c.services
		text, err := json.Marshal(conf)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if _, err := ParseConfig(text); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%.60v: %q, want %q", c.services, got, c.want)
		}
	}
}

// Without the key the lists of stewards are taken as they come, whatever service an entry names.
func TestNoServicesNoScope(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig())
	if l.scope.table != nil || l.usable() != "s-1 s-2" {
		t.Fatalf("usable: %q", l.usable())
	}
	l.hears(inWatched, 0, false, list(5, true, of(1, "x", "ready"), of(3, "", "ready")))
	l.hears(inWatched, 0, false, list(6, false, of(3, "y", "gone")))
	if l.usable() != "s-1" {
		t.Fatalf("usable: %q", l.usable())
	}
	l.hears(inFetched, 0, false, list(7, false))
	if l.usable() != "" {
		t.Fatalf("usable: %q", l.usable())
	}
}

// The agent takes its services' servers alone, also from what it knows at its start, and says
// what becomes of a service.
func TestServicesAlone(t *testing.T) {
	l, log := scopedLoop(t, scopedConfig("a", "c"))
	if l.usable() != "s-1" {
		t.Fatalf("usable: %q", l.usable())
	}
	l.hears(inWatched, 0, true, list(5, true, of(4, "b", "ready")))
	if l.usable() != "s-1" || l.seq != 5 {
		t.Errorf("usable: %q", l.usable())
	}
	for _, want := range []string{`"discovery: service emptied" service=a kept=1 scoped=true`, `"discovery: service unknown" service=c kept=0 scoped=true`} {
		if strings.Count(log.String(), want) != 1 {
			t.Errorf("not said once: %s; said %s", want, log)
		}
	}
	l.hears(inFetched, 0, true, list(6, true, of(3, "a", "ready"), of(5, "c", "draining")))
	if l.usable() != "s-3" || strings.Count(log.String(), `"discovery: service back"`) != 2 {
		t.Errorf("usable: %q; said %s", l.usable(), log)
	}
	l.hears(inWatched, 0, true, list(7, false, of(3, "x", "gone"), of(6, "b", "ready"), of(5, "c", "ready")))
	if l.usable() != "s-3 s-5" {
		t.Errorf("usable: %q", l.usable())
	}
}

// A new subscription leaves what is held in use until its whole list comes; lists of the one
// before that are still under way change nothing.
func TestResubscribed(t *testing.T) {
	l, log := scopedLoop(t, scopedConfig("a"))
	l.hears(inWatched, 0, true, list(5, true, of(1, "a", "ready"), of(3, "a", "ready")))
	l.fetching = true
	l.handle(input{kind: inMoved, addrs: []string{nowhere}, names: []string{"b"}})
	if l.scope.number != 1 || !l.watching || l.usable() != "s-1 s-3" {
		t.Fatalf("subscription %d, watching %v, usable %q", l.scope.number, l.watching, l.usable())
	}
	l.hears(inWatched, 0, true, list(6, false, of(1, "a", "gone")))
	l.hears(inFetched, 0, true, list(7, true))
	if l.usable() != "s-1 s-3" || l.seq != 5 || l.fetching {
		t.Errorf("took a list of the services before: usable %q, version %d", l.usable(), l.seq)
	}
	l.hears(inWatched, 1, true, list(5, true, of(2, "b", "ready"))) // of the same version
	if l.usable() != "s-2" {
		t.Errorf("usable: %q", l.usable())
	}
	l.handle(input{kind: inMoved, addrs: []string{nowhere}, names: []string{"b"}})
	l.handle(input{kind: inMoved, addrs: []string{"127.0.0.1:2"}, names: []string{"b"}})
	if l.scope.number != 1 {
		t.Error("subscribed anew to the same services")
	}
	l.handle(input{kind: inMoved, addrs: []string{nowhere}, names: []string{"no word"}})
	if l.scope.number != 1 || !strings.Contains(log.String(), "services[0]") {
		t.Errorf("subscribed to no word; said %s", log)
	}
	l.handle(input{kind: inMoved, addrs: []string{nowhere}}) // the key is gone
	l.hears(inWatched, 1, true, list(8, true))
	l.hears(inWatched, 2, false, list(8, true, of(7, "x", "ready")))
	if l.scope.number != 2 || l.usable() != "s-7" {
		t.Errorf("subscription %d, usable %q", l.scope.number, l.usable())
	}
	l.handle(input{kind: inMoved, addrs: []string{nowhere}, names: []string{"a"}}) // and here again
	l.hears(inWatched, 3, true, list(9, true, of(1, "a", "ready")))
	if l.usable() != "s-1" {
		t.Errorf("usable: %q", l.usable())
	}
}

// Where an unscoped list made the reader's version later than a scoped one that comes after it,
// the scoped one is left out, and asked for anew: the unscoped one may lack servers.
func TestOlderScopedListIsAskedForAgain(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig("a"))
	l.hears(inFetched, 0, false, list(9, true, of(1, "", "ready"), of(3, "", "ready")))
	if l.usable() != "s-1" {
		t.Fatalf("usable: %q", l.usable())
	}
	l.hears(inWatched, 0, true, list(8, true, of(1, "a", "ready"), of(3, "a", "ready")))
	if l.usable() != "s-1" || l.scope.number != 1 {
		t.Fatalf("usable: %q, subscription %d", l.usable(), l.scope.number)
	}
	l.hears(inWatched, 1, true, list(9, true, of(1, "a", "ready"), of(3, "a", "ready")))
	if l.usable() != "s-1 s-3" || l.scope.number != 1 {
		t.Errorf("usable: %q, subscription %d", l.usable(), l.scope.number)
	}
	l.hears(inWatched, 1, true, list(8, true, of(1, "a", "ready")))
	if l.usable() != "s-1 s-3" || l.scope.number != 1 {
		t.Errorf("an older list: usable %q, subscription %d", l.usable(), l.scope.number)
	}
}

// An agent that began without stewards asks for no services.
func TestServicesWithoutStewards(t *testing.T) {
	conf := config(nowhere, "127.0.0.1:1")
	l, log := scopedLoop(t, conf)
	l.handle(input{kind: inMoved, addrs: []string{"127.0.0.1:2"}, names: []string{"a"}})
	l.hears(inWatched, 0, false, list(5, true, of(3, "", "ready")))
	if l.usable() != "s-3" || l.scope.table != nil || !strings.Contains(log.String(), "began with stewards") {
		t.Errorf("usable: %q; said %s", l.usable(), log)
	}
}

// The module hears of the union of the services' servers as one list.
func TestModuleHearsUnion(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig("a", "b"))
	l.hears(inWatched, 0, true, list(5, true, of(1, "a", "ready"), of(2, "b", "ready"), of(3, "x", "ready")))
	var held []policy.Addr
	for addr := range l.backends {
		held = append(held, addr)
	}
	if len(held) != 2 || !slices.Contains(held, addrOf("s-1")) || !slices.Contains(held, addrOf("s-2")) {
		t.Errorf("holds %v", held)
	}
}
