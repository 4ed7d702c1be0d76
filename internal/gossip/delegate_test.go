package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/member"
)

// testPeers are the names in the table of peers of the Nodes under test.
var testPeers = map[string]string{"st-1": "", "st-2": "", "st-3": "", "w-1": ""}

// newTestNode returns the Node st-1 with the given role, without sockets or goroutines.
func newTestNode(t *testing.T, role member.Role) *Node {
	t.Helper()
	self := member.Info{Name: "st-1", Role: role, Incarnation: 1, InstanceID: "folder"}
	n := newNode(Config{
		Self:    self,
		Log:     slog.New(slog.DiscardHandler),
		Tracker: member.Defaults(self),
		Peers:   func() map[string]string { return testPeers },
	})
	t.Cleanup(n.cancel)
	return n
}

// metaJSON returns the encoded Info that a member announces.
func metaJSON(name string, role member.Role) []byte {
	return fmt.Appendf(nil, `{"f":1,"n":%q,"r":%q,"s":{"g":1,"c":1},"i":2}`, name, role)
}

// joinMember notifies the Node that the library reports a member as alive.
func joinMember(n *Node, name string, role member.Role) {
	(&delegate{n}).NotifyJoin(&memberlist.Node{Name: name, Meta: metaJSON(name, role)})
}

// reportJSON returns an encoded partial report in which an observer reports the agent n-1 as present.
func reportJSON(from string, seq int) []byte {
	return fmt.Appendf(nil, `{"f":1,"n":%q,"i":2,"q":%d,"b":"boot","o":[{"n":"n-1","r":"agent","s":"present","t":1}]}`, from, seq)
}

// trackerCounts returns the counters of the Node's Tracker.
func trackerCounts(n *Node) (c member.Counts) {
	n.WithTracker(func(_ time.Duration, t *member.Tracker) { c = t.Counts() })
	return c
}

// requireReportIgnored fails the test if the agent n-1 is in the view or a report is queued for broadcast.
func requireReportIgnored(t *testing.T, n *Node) {
	t.Helper()
	if v := n.View(); v.State("n-1") != "" {
		t.Errorf("the report was merged: %+v", v.Members)
	}
	if queued := n.broadcasts.NumQueued(); queued != 0 {
		t.Errorf("%d reports are queued for broadcast", queued)
	}
}

// TestMalformedReportsAreCountedAndDropped checks that a report that cannot be decoded, exceeds a
// limit or has an unknown version only increments a counter, both as a message and in a push/pull
// exchange.
func TestMalformedReportsAreCountedAndDropped(t *testing.T) {
	tooMany := strings.TrimSuffix(strings.Repeat(`{"n":"n-1","r":"agent","s":"present","t":1},`, member.MaxMembers+1), ",")
	texts := map[string]string{
		"no JSON":             "{",
		"no object":           "[]",
		"unknown version":     strings.Replace(string(reportJSON("st-2", 1)), `"f":1`, `"f":2`, 1),
		"no sender":           strings.Replace(string(reportJSON("st-2", 1)), `"st-2"`, `""`, 1),
		"unknown state":       strings.Replace(string(reportJSON("st-2", 1)), `"present"`, `"odd"`, 1),
		"negative duration":   strings.Replace(string(reportJSON("st-2", 1)), `"t":1`, `"t":-1`, 1),
		"too many members":    `{"f":1,"n":"st-2","q":1,"b":"boot","o":[` + tooMany + `]}`,
		"longer than allowed": string(reportJSON("st-2", 1)) + strings.Repeat(" ", 1<<20),
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, member.RoleControlPlane)
			joinMember(n, "st-2", member.RoleControlPlane)
			d := &delegate{n}
			d.NotifyMsg([]byte(text))
			d.MergeRemoteState([]byte(text), false)
			if got := n.malformed.Load(); got != 2 {
				t.Errorf("%d of 2 malformed reports were counted", got)
			}
			requireReportIgnored(t, n)
		})
	}
}

// TestEmptyAndOwnReportsAreIgnored checks that an empty message, and a report of this process that
// comes back to it, are not counted as malformed or as reports of an unknown sender.
func TestEmptyAndOwnReportsAreIgnored(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	d := &delegate{n}
	d.NotifyMsg(nil)
	d.NotifyMsg(reportJSON("st-1", 1))
	if malformed, unknown := n.malformed.Load(), trackerCounts(n).UnknownSenders; malformed != 0 || unknown != 0 {
		t.Errorf("%d reports were counted as malformed and %d as of unknown senders, want 0 of each", malformed, unknown)
	}
	requireReportIgnored(t, n)
}

// TestReportsOfUnknownSendersAreCounted checks that reports are merged only from control-plane servers,
// and only after the library has reported the server as alive.
func TestReportsOfUnknownSendersAreCounted(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	joinMember(n, "w-1", member.RoleWorker)
	d := &delegate{n}
	d.NotifyMsg(reportJSON("st-2", 1)) // not alive yet
	d.NotifyMsg(reportJSON("w-1", 1))
	if got := trackerCounts(n).UnknownSenders; got != 2 {
		t.Errorf("%d of 2 reports of unknown senders were counted", got)
	}
	if got := n.malformed.Load(); got != 0 {
		t.Errorf("%d reports were counted as malformed", got)
	}
	requireReportIgnored(t, n)
}

// TestNewPartialReportsArePassedOnOnce checks that a partial report is queued for the other members when
// it is new, but not when it arrives again, and that a full report is never queued.
func TestNewPartialReportsArePassedOnOnce(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	joinMember(n, "st-2", member.RoleControlPlane)
	d := &delegate{n}
	for _, step := range []struct {
		text   []byte
		queued int
	}{
		{reportJSON("st-2", 1), 1},
		{reportJSON("st-2", 1), 1},
		{[]byte(strings.Replace(string(reportJSON("st-2", 2)), `"b":`, `"w":true,"b":`, 1)), 1},
		{reportJSON("st-2", 3), 2},
	} {
		d.NotifyMsg(step.text)
		if queued := n.broadcasts.NumQueued(); queued != step.queued {
			t.Errorf("after %s %d reports are queued, want %d", step.text, queued, step.queued)
		}
	}
	if v := n.View(); v.State("n-1") != member.Present {
		t.Errorf("the reports were not merged: %+v", v.Members)
	}
}

// TestPassedOnReportIsACopy checks that a queued report is unchanged when the library reuses the buffer
// of the received message.
func TestPassedOnReportIsACopy(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	joinMember(n, "st-2", member.RoleControlPlane)
	d := &delegate{n}
	message := reportJSON("st-2", 1)
	want := string(message)
	d.NotifyMsg(message)
	clear(message)
	queued := d.GetBroadcasts(0, 1<<20)
	if len(queued) != 1 || string(queued[0]) != want {
		t.Errorf("%q is queued, want %q", queued, want)
	}
}

// TestQueuedBroadcastsAreBounded checks that, of unsent reports of equal length, the queue keeps the
// newest maxQueuedBroadcasts.
func TestQueuedBroadcastsAreBounded(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	want := map[string]bool{}
	for i := range 2 * maxQueuedBroadcasts {
		report := fmt.Sprintf("report %06d", i)
		n.queueBroadcast([]byte(report))
		if i >= maxQueuedBroadcasts {
			want[report] = true
		}
	}
	if queued := n.broadcasts.NumQueued(); queued != maxQueuedBroadcasts {
		t.Errorf("%d reports are queued, want %d", queued, maxQueuedBroadcasts)
	}
	kept := (&delegate{n}).GetBroadcasts(0, 1<<20)
	for _, message := range kept {
		if !want[string(message)] {
			t.Errorf("%s was kept although newer reports were dropped", message)
		}
	}
	if len(kept) != maxQueuedBroadcasts {
		t.Errorf("%d reports are kept, want %d", len(kept), maxQueuedBroadcasts)
	}
}

// TestOnlyKnownPeersAreAccepted checks that the library may add only the members in the table of peers
// and this process itself, and only with a valid Info that has the member's own name.
func TestOnlyKnownPeersAreAccepted(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	d := &delegate{n}
	for _, name := range []string{"st-1", "st-2"} {
		if err := d.NotifyAlive(&memberlist.Node{Name: name, Meta: metaJSON(name, member.RoleControlPlane)}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	var unknownPeer *unknownPeerError
	if err := d.NotifyAlive(&memberlist.Node{Name: "other", Meta: metaJSON("other", member.RoleControlPlane)}); !errors.As(err, &unknownPeer) {
		t.Errorf("a member that is not in the table: %v", err)
	}
	var mismatch *nameMismatchError
	if err := d.NotifyAlive(&memberlist.Node{Name: "st-2", Meta: metaJSON("st-3", member.RoleControlPlane)}); !errors.As(err, &mismatch) {
		t.Errorf("a member with the Info of another member: %v", err)
	}
	var invalid *member.InvalidMessageError
	if err := d.NotifyAlive(&memberlist.Node{Name: "st-2", Meta: metaJSON("st-2", "odd")}); !errors.As(err, &invalid) {
		t.Errorf("a member with an unknown role: %v", err)
	}
	if rejected, malformed := n.rejected.Load(), n.malformed.Load(); rejected != 1 || malformed != 2 {
		t.Errorf("counted %d as rejected, want 1, and %d as malformed, want 2", rejected, malformed)
	}
}

// TestConflictsAreCountedAndReported checks that a second process with the name of a member is counted,
// and reported with its address.
func TestConflictsAreCountedAndReported(t *testing.T) {
	n := newTestNode(t, member.RoleControlPlane)
	var reported string
	n.config.OnConflict = func(name, address string) { reported = name + " " + address }
	other := &memberlist.Node{Name: "st-2", Addr: net.IPv4(127, 0, 0, 1), Port: 7000}
	(&delegate{n}).NotifyConflict(&memberlist.Node{Name: "st-2"}, other)
	if got := n.conflicts.Load(); got != 1 || reported != "st-2 127.0.0.1:7000" {
		t.Errorf("%d conflicts counted, reported %q", got, reported)
	}
}

// TestAnnouncementKeepsToLimit checks that an Info that is longer than the library's limit is omitted.
func TestAnnouncementKeepsToLimit(t *testing.T) {
	d := &delegate{newTestNode(t, member.RoleControlPlane)}
	text := d.NodeMeta(1 << 10)
	if len(text) == 0 || len(d.NodeMeta(len(text))) != len(text) {
		t.Errorf("an Info of %d bytes is omitted although it fits the limit", len(text))
	}
	if short := d.NodeMeta(len(text) - 1); short != nil {
		t.Errorf("with a limit of %d bytes, the Info is %s, want none", len(text)-1, short)
	}
}
