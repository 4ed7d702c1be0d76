package member

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzDecodeMessages checks that any text from the network is either rejected or leaves the Tracker
// in a consistent state.
func FuzzDecodeMessages(f *testing.F) {
	tr := newTrackerOfFive(0)
	tr.SessionOpened(0, agentInfo("n1", "x"))
	fullReport, _ := json.Marshal(tr.FullReport(0))
	info, _ := json.Marshal(controlPlaneServer("b", 3))
	for _, seed := range [][]byte{fullReport, info, []byte("{}"), []byte(`{"f":2,"n":"b"}`), []byte(`{"f":1,"n":"b","o":[{"n":"c","r":"steward","s":"present","t":-1}]}`), nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tr := newTrackerOfFive(0)
		if i, err := DecodeInfo(text); err == nil {
			tr.MemberAlive(time.Second, i)
		}
		if r, err := DecodeReport(text); err == nil {
			tr.MergeReport(time.Second, &r)
		}
		tr.MemberDead(2*time.Second, "b")
		tr.Tick(5 * time.Second)
		v := tr.View(5 * time.Second)
		if v.State("a") != Present || len(v.Members) > MaxMembers+5 {
			t.Errorf("%+v", v)
		}
	})
}
