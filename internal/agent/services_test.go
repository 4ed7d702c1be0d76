package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// scopedConfig returns the configuration of an agent with one control-plane server, a subscription to the services
// (to all if there are none) and a cached list with one server of service a and one of service b.
func scopedConfig(services ...string) map[string]any {
	a, b := hostEntry(1, "127.0.0.1:1", "ready"), hostEntry(2, "127.0.0.1:2", "ready")
	a["service"], b["service"] = "a", "b"
	config := testConfig("")
	config["known"].(map[string]any)["hosts"] = []any{a, b}
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	config["stewards"] = []string{unreachableAddr}
	if services != nil {
		config["services"] = services
	}
	return config
}

// scopedLoop returns a loop whose events the test handles itself, and its log.
func scopedLoop(t *testing.T, config map[string]any) (*loop, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	l, err := newLoop(t.Context(), parseConfig(t, config), slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return l, log
}

// usableBackends returns the names of the servers that may receive requests.
func (l *loop) usableBackends() string {
	var names []string
	for i := range 10 {
		name := fmt.Sprint("s-", i)
		if b := l.backends[policyAddr(name)]; b != nil && b.usable {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// deliver has the loop handle a list that belongs to a subscription.
func (l *loop) deliver(kind eventKind, subscription uint64, scoped bool, list endpoints.List) {
	list.Subscription, list.Scoped = subscription, scoped
	l.handle(event{kind: kind, list: list, source: l.discovery})
}

// serviceEndpoint returns the entry of server s-i of a service.
func serviceEndpoint(i int, service, health string) endpoints.Endpoint {
	return endpoints.Endpoint{Name: fmt.Sprint("s-", i), Dial: fmt.Sprint("127.0.0.1:", i), Service: service, Health: health}
}

// An error in the configured services names the key.
func TestServicesConfig(t *testing.T) {
	tooMany := []string{}
	for i := range endpoints.MaxServices + 1 {
		tooMany = append(tooMany, fmt.Sprint("s", i))
	}
	for _, c := range []struct {
		controlPlane bool
		services     any
		want         string
	}{
		{true, []string{"", "a"}, ""},
		{true, tooMany[1:], ""},
		{false, []string{"a"}, "config: services: only with stewards, which are not set"},
		{true, []string{}, "config: services: none named"},
		{true, tooMany, "config: services: 257 of at most 256"},
		{true, []string{"a", "b", "x y"}, `config: services[2]: must be at most 64 printable characters without spaces or slashes: "x y"`},
		{true, []string{"a", "b", "a"}, `config: services[2]: named twice: "a"`},
		{true, "a", "config: services: cannot be a string"},
		{true, []any{"a", 2}, "config: services: cannot be a number"},
	} {
		config := testConfig(unreachableAddr)
		if c.controlPlane {
			config["stewards"] = []string{unreachableAddr}
		}
		config["services"] = c.services
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if _, err := ParseConfig(text); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%.60v: error %q, want %q", c.services, got, c.want)
		}
	}
}

// Without configured services every listed server is used, whatever service its entry names.
func TestAllServersAreUsedWithoutServices(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig())
	if l.scope.table != nil || l.usableBackends() != "s-1 s-2" {
		t.Fatalf("usable: %q", l.usableBackends())
	}
	l.deliver(eventListChanged, 0, false, listOf(5, true, serviceEndpoint(1, "x", "ready"), serviceEndpoint(3, "", "ready")))
	l.deliver(eventListChanged, 0, false, listOf(6, false, serviceEndpoint(3, "y", "gone")))
	if l.usableBackends() != "s-1" {
		t.Fatalf("usable: %q", l.usableBackends())
	}
	l.deliver(eventListFetched, 0, false, listOf(7, false))
	if l.usableBackends() != "" {
		t.Fatalf("usable: %q", l.usableBackends())
	}
}

// The agent uses only the servers of its services, also from the cached list. It logs when a service is empty,
// unknown or available again.
func TestOnlySubscribedServicesAreUsed(t *testing.T) {
	l, log := scopedLoop(t, scopedConfig("a", "c"))
	if l.usableBackends() != "s-1" {
		t.Fatalf("usable: %q", l.usableBackends())
	}
	l.deliver(eventListChanged, 0, true, listOf(5, true, serviceEndpoint(4, "b", "ready")))
	if l.usableBackends() != "s-1" || l.listVersion != 5 {
		t.Errorf("usable: %q", l.usableBackends())
	}
	for _, want := range []string{`"discovery: service emptied" service=a kept=1 scoped=true`, `"discovery: service unknown" service=c kept=0 scoped=true`} {
		if strings.Count(log.String(), want) != 1 {
			t.Errorf("not logged once: %s; log: %s", want, log)
		}
	}
	l.deliver(eventListFetched, 0, true, listOf(6, true, serviceEndpoint(3, "a", "ready"), serviceEndpoint(5, "c", "draining")))
	if l.usableBackends() != "s-3" || strings.Count(log.String(), `"discovery: service back"`) != 2 {
		t.Errorf("usable: %q; log: %s", l.usableBackends(), log)
	}
	l.deliver(eventListChanged, 0, true, listOf(7, false, serviceEndpoint(3, "x", "gone"), serviceEndpoint(6, "b", "ready"), serviceEndpoint(5, "c", "ready")))
	if l.usableBackends() != "s-3 s-5" {
		t.Errorf("usable: %q", l.usableBackends())
	}
}

// After a change of the subscription the known servers stay in use until the full list of the new subscription
// arrives. Lists of the previous subscription are ignored.
func TestListsOfOldSubscriptionAreIgnored(t *testing.T) {
	l, log := scopedLoop(t, scopedConfig("a"))
	l.deliver(eventListChanged, 0, true, listOf(5, true, serviceEndpoint(1, "a", "ready"), serviceEndpoint(3, "a", "ready")))
	l.fetching = true
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{unreachableAddr}, services: []string{"b"}})
	if l.scope.subscription != 1 || !l.watching || l.usableBackends() != "s-1 s-3" {
		t.Fatalf("subscription %d, watching %v, usable %q", l.scope.subscription, l.watching, l.usableBackends())
	}
	l.deliver(eventListChanged, 0, true, listOf(6, false, serviceEndpoint(1, "a", "gone")))
	l.deliver(eventListFetched, 0, true, listOf(7, true))
	if l.usableBackends() != "s-1 s-3" || l.listVersion != 5 || l.fetching {
		t.Errorf("applied a list of the previous subscription: usable %q, version %d", l.usableBackends(), l.listVersion)
	}
	l.deliver(eventListChanged, 1, true, listOf(5, true, serviceEndpoint(2, "b", "ready"))) // with an unchanged version
	if l.usableBackends() != "s-2" {
		t.Errorf("usable: %q", l.usableBackends())
	}
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{unreachableAddr}, services: []string{"b"}})
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{"127.0.0.1:2"}, services: []string{"b"}})
	if l.scope.subscription != 1 {
		t.Error("unchanged services started a new subscription")
	}
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{unreachableAddr}, services: []string{"no word"}})
	if l.scope.subscription != 1 || !strings.Contains(log.String(), "services[0]") {
		t.Errorf("an invalid service name started a new subscription or was not logged; log: %s", log)
	}
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{unreachableAddr}}) // without services: a subscription to all
	l.deliver(eventListChanged, 1, true, listOf(8, true))
	l.deliver(eventListChanged, 2, false, listOf(8, true, serviceEndpoint(7, "x", "ready")))
	if l.scope.subscription != 2 || l.usableBackends() != "s-7" {
		t.Errorf("subscription %d, usable %q", l.scope.subscription, l.usableBackends())
	}
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{unreachableAddr}, services: []string{"a"}}) // services again
	l.deliver(eventListChanged, 3, true, listOf(9, true, serviceEndpoint(1, "a", "ready")))
	if l.usableBackends() != "s-1" {
		t.Errorf("usable: %q", l.usableBackends())
	}
}

// A scoped list that is older than an unscoped list applied before is skipped and requested again: the unscoped
// list may lack servers.
func TestOlderScopedListIsRequestedAgain(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig("a"))
	l.deliver(eventListFetched, 0, false, listOf(9, true, serviceEndpoint(1, "", "ready"), serviceEndpoint(3, "", "ready")))
	if l.usableBackends() != "s-1" {
		t.Fatalf("usable: %q", l.usableBackends())
	}
	l.deliver(eventListChanged, 0, true, listOf(8, true, serviceEndpoint(1, "a", "ready"), serviceEndpoint(3, "a", "ready")))
	if l.usableBackends() != "s-1" || l.scope.subscription != 1 {
		t.Fatalf("usable: %q, subscription %d", l.usableBackends(), l.scope.subscription)
	}
	l.deliver(eventListChanged, 1, true, listOf(9, true, serviceEndpoint(1, "a", "ready"), serviceEndpoint(3, "a", "ready")))
	if l.usableBackends() != "s-1 s-3" || l.scope.subscription != 1 {
		t.Errorf("usable: %q, subscription %d", l.usableBackends(), l.scope.subscription)
	}
	l.deliver(eventListChanged, 1, true, listOf(8, true, serviceEndpoint(1, "a", "ready")))
	if l.usableBackends() != "s-1 s-3" || l.scope.subscription != 1 {
		t.Errorf("after an older list: usable %q, subscription %d", l.usableBackends(), l.scope.subscription)
	}
}

// An agent that started without a control plane ignores services that are configured later.
func TestServicesRequireControlPlane(t *testing.T) {
	config := testConfig(unreachableAddr, "127.0.0.1:1")
	l, log := scopedLoop(t, config)
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{"127.0.0.1:2"}, services: []string{"a"}})
	l.deliver(eventListChanged, 0, false, listOf(5, true, serviceEndpoint(3, "", "ready")))
	if l.usableBackends() != "s-3" || l.scope.table != nil || !strings.Contains(log.String(), "services ignored: the agent started without a control plane") {
		t.Errorf("usable: %q; log: %s", l.usableBackends(), log)
	}
}

// The balancer gets the servers of all services as one list.
func TestBalancerGetsUnionOfServices(t *testing.T) {
	l, _ := scopedLoop(t, scopedConfig("a", "b"))
	l.deliver(eventListChanged, 0, true, listOf(5, true, serviceEndpoint(1, "a", "ready"), serviceEndpoint(2, "b", "ready"), serviceEndpoint(3, "x", "ready")))
	var backends []policy.Addr
	for addr := range l.backends {
		backends = append(backends, addr)
	}
	if len(backends) != 2 || !slices.Contains(backends, policyAddr("s-1")) || !slices.Contains(backends, policyAddr("s-2")) {
		t.Errorf("backends %v, want s-1 and s-2", backends)
	}
}
