package gossip

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/member"
)

// startTimeout is the time allowed for a call to start.
const startTimeout = 20 * time.Second

// TestOnlyControlPlaneServersReport checks that a worker sends no reports, full or partial, although it
// observes the same members as a control-plane server.
func TestOnlyControlPlaneServersReport(t *testing.T) {
	for role, reports := range map[member.Role]bool{member.RoleControlPlane: true, member.RoleWorker: false} {
		n := newTestNode(t, role)
		joinMember(n, "st-2", member.RoleControlPlane)
		if view := n.View(); view.State("st-2") != member.Present {
			t.Errorf("%s: observes st-2 as %q", role, view.State("st-2"))
		}
		if full := (&delegate{n}).LocalState(false); (full != nil) != reports {
			t.Errorf("%s: the full report is %q", role, full)
		}
		n.tick(0)
		if queued := n.broadcasts.NumQueued(); (queued > 0) != reports {
			t.Errorf("%s: %d partial reports are queued", role, queued)
		}
	}
}

// TestPingedServersAreBounded checks that all other control-plane servers are pinged if there are at most
// maxContactedServers, and otherwise maxContactedServers of them, each once. This process, workers and servers that
// have left are never pinged.
func TestPingedServersAreBounded(t *testing.T) {
	for _, servers := range []int{0, 1, maxContactedServers, 3 * maxContactedServers} {
		n := newTestNode(t, member.RoleControlPlane)
		joinMember(n, "w-1", member.RoleWorker)
		var all []string
		for i := range servers {
			name := fmt.Sprintf("server-%d", i)
			joinMember(n, name, member.RoleControlPlane)
			all = append(all, name)
		}
		leftServer := member.Info{ProtocolVersion: member.ProtocolVersion, Name: "left", Role: member.RoleControlPlane, Incarnation: 2, ShuttingDown: true}
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			t.MemberAlive(now, leftServer)
			t.MemberDead(now, leftServer.Name)
		})
		pinged := n.otherServers()
		slices.Sort(pinged)
		if len(pinged) != min(servers, maxContactedServers) || len(slices.Compact(slices.Clone(pinged))) != len(pinged) {
			t.Errorf("%d of %d servers are pinged: %v", len(pinged), servers, pinged)
		}
		for _, name := range pinged {
			if !slices.Contains(all, name) {
				t.Errorf("%s is pinged", name)
			}
		}
	}
}

// TestLateTickCountsAsPause checks that a tick that is later than pauseThreshold counts as a pause of
// this process, and that RecentlyPaused then returns true.
func TestLateTickCountsAsPause(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	for _, step := range []struct {
		delay  time.Duration
		pauses int64
	}{{0, 0}, {pauseThreshold, 0}, {pauseThreshold + 1, 1}, {time.Minute, 2}} {
		n.tick(step.delay)
		recentlyPaused := false
		// Evaluated at the Node's start time, so that the result does not depend on how long the test takes.
		n.WithTracker(func(_ time.Duration, t *member.Tracker) { recentlyPaused = t.RecentlyPaused(0) })
		if got := n.pauses.Load(); got != step.pauses || recentlyPaused != (step.pauses > 0) {
			t.Errorf("after a tick that was %v late: %d pauses, want %d; RecentlyPaused: %v", step.delay, got, step.pauses, recentlyPaused)
		}
	}
}

// TestSendsWithoutKnownPeerAreCounted checks that the transport sends only to names in the table of
// peers, and counts all other sends.
func TestSendsWithoutKnownPeerAreCounted(t *testing.T) {
	transport := &transport{lookup: func(name string) (string, bool) { return "127.0.0.1:7000", name == "st-2" }}
	if addr, err := transport.address("st-2"); err != nil || addr != "127.0.0.1:7000" {
		t.Errorf("a member of the table: %q, %v", addr, err)
	}
	var unknownPeer *unknownPeerError
	if _, err := transport.WriteToAddress(nil, memberlist.Address{Addr: "127.0.0.1:1", Name: "other"}); !errors.As(err, &unknownPeer) {
		t.Errorf("a datagram to a member that is not in the table: %v", err)
	}
	if _, err := transport.DialAddressTimeout(memberlist.Address{Addr: "127.0.0.1:1"}, time.Second); !errors.Is(err, errNoPeerName) {
		t.Errorf("a stream to an address without a name: %v", err)
	}
	if _, err := transport.WriteTo(nil, "127.0.0.1:1"); !errors.Is(err, errNoPeerName) {
		t.Errorf("a datagram to an address: %v", err)
	}
	if _, err := transport.DialTimeout("127.0.0.1:1", time.Second); !errors.Is(err, errNoPeerName) {
		t.Errorf("a stream to an address: %v", err)
	}
	if got := transport.unknownPeers.Load(); got != 4 {
		t.Errorf("%d of 4 sends without a known peer were counted", got)
	}
}

// TestCallsToOneMemberDoNotOverlap checks that a call to a member is skipped while an earlier call to it is
// running, that calls to other members are made, and that a new call is made once the earlier one has returned.
func TestCallsToOneMemberDoNotOverlap(t *testing.T) {
	var calls callGroup
	blocked, started := make(chan struct{}), make(chan string, 10)
	call := func(name string) {
		started <- name
		<-blocked
	}
	calls.start([]string{"a"}, call)
	calls.start([]string{"a", "b"}, call)
	receive := func() string {
		select {
		case name := <-started:
			return name
		case <-time.After(startTimeout):
			t.Error("no further call was started")
			return ""
		}
	}
	first, second := receive(), receive()
	close(blocked)
	calls.wait()
	if got := []string{first, second}; !slices.Contains(got, "a") || !slices.Contains(got, "b") || len(started) != 0 {
		t.Errorf("calls to %v and %d more were started, want one call each to a and b", got, len(started))
	}
	calls.start([]string{"a"}, call)
	calls.wait()
	if got := receive(); got != "a" {
		t.Errorf("a call to %s was started, want a call to a", got)
	}
}

// TestSuspicionLastsAboutItsTimeout checks that for up to 100 members the library suspects a member for
// suspicionTimeout, plus or minus at most one probe interval.
func TestSuspicionLastsAboutItsTimeout(t *testing.T) {
	for members := 1; members <= 100; members++ {
		nodeScale := max(1, math.Log10(float64(members)))
		duration := time.Duration(float64(suspicionMultiple(members)) * nodeScale * float64(probeInterval))
		if off := (duration - suspicionTimeout).Abs(); off > probeInterval {
			t.Errorf("%d members: %v, want about %v", members, duration, suspicionTimeout)
		}
	}
}
