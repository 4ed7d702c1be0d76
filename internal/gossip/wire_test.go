package gossip

import (
	"log/slog"
	"regexp"
	"testing"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/lab/golden"
	"knotrouter/internal/member"
)

// The file in testdata holds messages that the build of commit d25b370 sent to other members. Members
// may run different builds, so renaming a Go identifier must not change this file.

// TestAnnouncementsKeepTheirForm compares the encoded Info that a member announces, and its full report,
// with the recorded ones. Package member tests the other messages.
func TestAnnouncementsKeepTheirForm(t *testing.T) {
	self := member.Info{Name: "st-1", Role: member.RoleControlPlane, Zone: "zone-a", ProgramVersion: "v1",
		Versions: member.ProtocolVersions{Gossip: 1, Catalog: 1}, Incarnation: 7, InstanceID: "folder"}
	n, err := Start(Config{Self: self, Listen: "127.0.0.1:0", Tracker: member.Defaults(self),
		Peers: func() map[string]string { return map[string]string{"st-2": ""} }, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	d := &delegate{n}
	d.NotifyUpdate(&memberlist.Node{Name: "st-2", Meta: []byte(`{"f":1,"n":"st-2","r":"steward","s":{"g":1,"c":1},"i":8}`)})
	d.NotifyMsg([]byte(`{"f":1,"n":"st-2","i":8,"q":1,"b":"first","w":true,"o":[{"n":"s-1","r":"server","z":"zone-b","i":9,"s":"present","t":1}]}`))
	if v := n.View(); v.State("s-1") != member.Present {
		t.Errorf("the recorded report was not merged: %+v", v.Members)
	}
	varyingFields := regexp.MustCompile(`"(b|q|t)":("[A-Z2-7]{26}"|\d+)`) // random, a counter, a time
	golden.Lines(t, "told.txt", []string{
		string(d.NodeMeta(512)),
		varyingFields.ReplaceAllString(string(d.LocalState(true)), `"$1":(varies)`),
	})
}
