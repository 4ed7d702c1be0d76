package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// voterFleet simulates a control plane whose servers fail and recover.
type voterFleet struct {
	VoterSet
	size int
}

// newVoterFleet returns a fleet of random size in which all servers are present.
func newVoterFleet(t *rapid.T) *voterFleet {
	size := rapid.IntRange(3, 9).Draw(t, "servers")
	desired := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "desired voters")
	f := &voterFleet{size: size, VoterSet: VoterSet{
		DesiredVoters: desired,
		ReplaceAfter:  30 * time.Second,
		Failed:        map[string]time.Duration{},
		Present:       map[string]bool{},
	}}
	for i := range size {
		name := fmt.Sprint("st-", i)
		f.Present[name] = true
		if i < min(desired, size) {
			f.Voters = append(f.Voters, name)
		} else {
			f.NonVoters = append(f.NonVoters, name)
		}
	}
	f.Leader = rapid.SampledFrom(f.Voters).Draw(t, "leader")
	return f
}

// presentVoters returns the number of voters that are present.
func (f *voterFleet) presentVoters() (present int) {
	for _, voter := range f.Voters {
		if f.Present[voter] {
			present++
		}
	}
	return present
}

func (f *voterFleet) hasQuorum() bool { return f.presentVoters() >= len(f.Voters)/2+1 }

// toggleFailure makes a server fail, or recover if it has failed.
func (f *voterFleet) toggleFailure(name string) {
	f.Present[name] = !f.Present[name]
	if !f.Present[name] {
		f.Failed[name] = 0
		return
	}
	delete(f.Failed, name)
	if !slices.Contains(f.Voters, name) && !slices.Contains(f.NonVoters, name) {
		f.NonVoters = append(f.NonVoters, name) // it was replaced after it had failed
	}
}

// advanceTime adds d to how long each failed server has been failed.
func (f *voterFleet) advanceTime(d time.Duration) {
	for name := range f.Failed {
		f.Failed[name] += d
	}
}

// reconfigure checks and applies the next reconfiguration, if there is one.
func (f *voterFleet) reconfigure(t *rapid.T) {
	hadQuorum := f.hasQuorum()
	r, ok := NextReconfiguration(&f.VoterSet)
	if !ok {
		return
	}
	if !hadQuorum {
		t.Fatalf("%+v without a quorum: %+v", r, f)
	}
	f.checkReconfiguration(t, r)
	f.apply(r)
	if !f.hasQuorum() {
		t.Fatalf("no quorum after %+v: %+v", r, f)
	}
	if len(f.Voters) > f.DesiredVoters+1 || len(f.Voters) < min(f.DesiredVoters, f.size) {
		t.Fatalf("%d voters, %d are desired", len(f.Voters), f.DesiredVoters)
	}
}

// checkReconfiguration fails if a reconfiguration is not exactly one change, or is not allowed.
func (f *voterFleet) checkReconfiguration(t *rapid.T, r Reconfiguration) {
	changes := slices.DeleteFunc([]string{r.Add, r.Remove, r.Demote}, func(name string) bool { return name == "" })
	switch {
	case len(changes) != 1:
		t.Fatalf("not exactly one change: %+v", r)
	case r.Demote != "" && (f.presentVoters() < len(f.Voters) || r.Demote == f.Leader):
		t.Fatalf("demoted %s: %+v", r.Demote, f)
	case r.Add != "" && (!f.Present[r.Add] || slices.Contains(f.Voters, r.Add)):
		t.Fatalf("added %s: %+v", r.Add, f)
	case r.Remove != "" && (f.Present[r.Remove] || f.Failed[r.Remove] < f.ReplaceAfter || !slices.Contains(f.Voters, r.Remove)):
		t.Fatalf("removed %s: %+v", r.Remove, f)
	}
}

func (f *voterFleet) apply(r Reconfiguration) {
	if r.Add != "" {
		f.Voters = append(f.Voters, r.Add)
		f.NonVoters = slices.DeleteFunc(f.NonVoters, func(name string) bool { return name == r.Add })
	} else {
		f.Voters = slices.DeleteFunc(f.Voters, func(name string) bool { return name == r.Remove || name == r.Demote })
	}
	if r.Demote != "" {
		f.NonVoters = append(f.NonVoters, r.Demote)
	}
}

// TestReconfigurationKeepsTheQuorum checks that, however servers fail and recover, voters are
// changed one at a time, with a quorum of present voters before and after each change. Once
// failures stop, the number of voters must be the desired one and all voters must be present, if
// enough servers are.
func TestReconfigurationKeepsTheQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newVoterFleet(t)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.toggleFailure(fmt.Sprint("st-", rapid.IntRange(0, f.size-1).Draw(t, "server")))
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				f.advanceTime(20 * time.Second)
				f.reconfigure(t)
			}
		}
		f.advanceTime(time.Hour)
		for range 20 {
			f.reconfigure(t)
		}
		present := 0
		for _, isPresent := range f.Present {
			if isPresent {
				present++
			}
		}
		settled := len(f.Voters) == f.DesiredVoters && f.presentVoters() == f.DesiredVoters
		if f.hasQuorum() && present > f.DesiredVoters && !settled {
			t.Fatalf("at the end the voters are %v, present servers are %v, %d voters are desired", f.Voters, f.Present, f.DesiredVoters)
		}
	})
}
