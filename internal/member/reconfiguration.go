package member

import (
	"slices"
	"time"
)

// VoterSet is the control plane's servers as the leader sees them.
type VoterSet struct {
	Voters        []string
	NonVoters     []string                 // replicas that do not vote and have caught up with the log
	Failed        map[string]time.Duration // for how long the view has shown a server as failed
	Present       map[string]bool          // whether the view shows a server as present
	Leader        string
	DesiredVoters int           // 0 disables reconfiguration
	ReplaceAfter  time.Duration // how long a voter has to have failed before it is replaced
}

// Reconfiguration is one change of the voters; exactly one field is set.
type Reconfiguration struct {
	Add    string // a non-voter that becomes a voter
	Remove string // a failed voter that is removed from the quorum
	Demote string // a present voter that becomes a non-voter
}

// NextReconfiguration returns the next change towards the desired number of voters, all of
// them present, and whether there is one. It proposes one change at a time, and only one
// before and after which the servers that are present make a quorum. A failed voter is
// replaced by adding a non-voter first and removing the failed one then.
func NextReconfiguration(set *VoterSet) (Reconfiguration, bool) {
	if set.DesiredVoters <= 0 {
		return Reconfiguration{}, false
	}
	present := 0
	for _, voter := range set.Voters {
		if set.Present[voter] {
			present++
		}
	}
	n := len(set.Voters)
	if present < n/2+1 {
		return Reconfiguration{}, false // without a quorum no change can be committed
	}
	failed, nonVoter := set.longestFailedVoter(), set.presentNonVoter()
	switch {
	case n > set.DesiredVoters && failed != "" && present >= (n-1)/2+1:
		return Reconfiguration{Remove: failed}, true
	case n > set.DesiredVoters && present == n:
		// A voter that was being replaced has come back, so one is left over.
		if voter := set.lastFollower(); voter != "" {
			return Reconfiguration{Demote: voter}, true
		}
	case (n < set.DesiredVoters || n == set.DesiredVoters && failed != "") && nonVoter != "" && present+1 >= (n+1)/2+1:
		return Reconfiguration{Add: nonVoter}, true
	}
	return Reconfiguration{}, false
}

// longestFailedVoter returns the voter that failed first, of those that failed long enough
// ago to be replaced, or "". Of equal ones it is the first by name.
func (set *VoterSet) longestFailedVoter() (failed string) {
	for _, voter := range slices.Sorted(slices.Values(set.Voters)) {
		duration, isFailed := set.Failed[voter]
		if isFailed && duration >= set.ReplaceAfter && (failed == "" || duration > set.Failed[failed]) {
			failed = voter
		}
	}
	return failed
}

// presentNonVoter returns the first present non-voter by name, or "".
func (set *VoterSet) presentNonVoter() string {
	for _, server := range slices.Sorted(slices.Values(set.NonVoters)) {
		if set.Present[server] && !slices.Contains(set.Voters, server) {
			return server
		}
	}
	return ""
}

// lastFollower returns the last voter by name that is not the leader, or "".
func (set *VoterSet) lastFollower() string {
	for _, voter := range slices.Backward(slices.Sorted(slices.Values(set.Voters))) {
		if voter != set.Leader {
			return voter
		}
	}
	return ""
}
