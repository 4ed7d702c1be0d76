package agent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// Lists are applied in the order of their versions.
func TestListOrder(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1", "127.0.0.1:2")
	entry := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "draining"}
	usable := func(name string) bool { b := l.backends[policyAddr(name)]; return b != nil && b.usable }
	l.handle(event{kind: eventListChanged, list: listOf(5, false, entry)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("the change of version 5 was not applied")
	}
	entry.Health = "ready"
	l.handle(event{kind: eventListChanged, list: listOf(4, false, entry)})
	l.handle(event{kind: eventListFetched, list: listOf(3, true, entry)})
	if usable("s-0") || !usable("s-1") {
		t.Fatal("an older version was applied")
	}
	l.handle(event{kind: eventListFetched, list: listOf(6, true, entry)})
	if !usable("s-0") || usable("s-1") || l.listVersion != 6 {
		t.Fatal("the full list of version 6 was not applied")
	}
	if len(l.backends) != 1 {
		t.Fatalf("%d backends, want the one that is listed", len(l.backends))
	}
	l.handle(event{kind: eventListChanged, list: listOf(7, false, endpoints.Endpoint{Name: "s-0", Health: "gone"})})
	if len(l.backends) != 0 || l.hasUsableBackend.Load() {
		t.Fatal("a backend listed as gone was kept")
	}
}

// A full list is ignored if another call delivered a newer list while its own call was open. A list that is older
// than the version in its own request is applied: discovery's versions have restarted.
func TestOutdatedFullListIsIgnored(t *testing.T) {
	ready := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "ready"}
	draining := ready
	draining.Health = "draining"
	for _, c := range []struct {
		name    string
		since   int64 // version in the watch's request, or of the last list that the watch delivered
		version int64 // of the watch's list
		applied bool
	}{
		{"outdated", 12, 14, false},
		{"outdated, not newer than its request", 14, 14, false},
		{"versions restarted", 12, 3, true},
		{"same version", 12, 15, true},
		{"newer", 12, 16, true},
	} {
		l := offlineLoop(t, "127.0.0.1:1", "127.0.0.1:2")
		l.handle(event{kind: eventListFetched, list: listOf(15, true, draining)})
		l.handle(event{kind: eventListChanged, since: c.since, list: listOf(c.version, true, ready)})
		if b := l.backends[policyAddr("s-0")]; (b != nil && b.usable) != c.applied {
			t.Errorf("%s: applied: %v, want the opposite", c.name, !c.applied)
		}
	}
}

// A watch that delivers an unchanged list has succeeded: the backoff after its next failure is the shortest again.
func TestUnchangedListResetsBackoff(t *testing.T) {
	config := testConfig(unreachableAddr, "127.0.0.1:1")
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := newLoop(ctx, parseConfig(t, config), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	const watchTimer = 2         // token of the balancer's timer for the next watch, of which one is set at a time
	endWatch := func() float64 { // returns the backoff before the next watch, in ms
		l.advanceClock(10 * time.Second)
		l.handle(event{kind: eventTimer, token: watchTimer})
		l.handle(event{kind: eventWatchEnded, err: io.EOF})
		for _, act := range l.actions {
			if act.Kind == policy.ActTimer && act.Token == watchTimer {
				return act.Ms
			}
		}
		t.Fatal("the balancer set no timer for the next watch")
		return 0
	}
	endWatch()
	for range 5 {
		endWatch()
	}
	l.handle(event{kind: eventListChanged, list: listOf(1, false)})
	if wait := endWatch(); wait >= 1000 { // the first backoff is 500 to 1000 ms, the second 1000 to 2000
		t.Fatalf("backoff %.0f ms as after a second failure, want less than 1000", wait)
	}
}

// A backend whose process or address has changed gets new connections and stays the same backend.
func TestNewProcessGetsNewConnections(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1")
	b := l.backends[policyAddr("s-0")]
	previous := b.transport
	entry := endpoints.Endpoint{Name: "s-0", Dial: "127.0.0.1:1", Health: "ready", Weight: 1}
	l.handle(event{kind: eventListChanged, list: listOf(2, false, entry)})
	if b.transport != previous {
		t.Fatal("the connections were replaced though nothing has changed")
	}
	pending := newAttempt(previous, "127.0.0.1:1", http.MethodPost, noTimeout)
	b.attempts[pending] = struct{}{}
	for i, change := range []func(){func() { entry.Dial = "127.0.0.1:2" }, func() { entry.StartedMs = 7 }} {
		change()
		l.handle(event{kind: eventListChanged, list: listOf(int64(3+i), false, entry)})
		if l.backends[policyAddr("s-0")] != b || b.transport == previous || b.dialAddr != entry.Dial {
			t.Fatal("the old connections, backend or address are still used")
		}
		previous = b.transport
	}
	if context.Cause(pending.ctx) != errBackendDrained || pending.allowWrite(pending.conn.Load()) {
		t.Fatal("an attempt that had written nothing may still be sent to the old address")
	}
}

// After a timeout the backend's idle connections are closed and not used again: a machine that is down responds
// on none of its connections.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	closed := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, okAnswer)
			r.ReadByte()
			close(closed)
		}
	})
	l := offlineLoop(t, addr)
	b := l.backends[policyAddr("s-0")]
	b.transport.IdleConnTimeout = noTimeout
	a := newAttempt(b.transport, addr, http.MethodPost, noTimeout)
	a.backend = b
	if res := a.run(); res.status != policy.OK {
		t.Fatalf("status %d, want OK", res.status)
	}
	timedOut := newAttempt(b.transport, addr, http.MethodPost, noTimeout)
	timedOut.backend = b
	timedOut.req.answers = make(chan answer, 1)
	l.handle(event{kind: eventOutcome, attempt: timedOut, result: result{status: policy.Timeout}})
	<-closed
}

// A backend's address in the balancer depends only on its name.
func TestPolicyAddressFollowsFromName(t *testing.T) {
	first, again, other := policyAddr("s-1"), policyAddr("s-1"), policyAddr("s-2")
	if first != again || first == other {
		t.Fatal("an address must be determined by the name, and differ between names")
	}
	if affinityKey("u1") == affinityKey("u2") || affinityKey("") == 0 {
		t.Fatal("affinity keys must differ between path segments, and none may be 0")
	}
}
