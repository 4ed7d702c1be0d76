package member

import (
	"slices"
	"time"
)

// VoterSet describes the servers of the control plane as the leader sees them.
type VoterSet struct {
	Voters        []string
	NonVoters     []string                 // non-voting replicas that have caught up with the log
	Failed        map[string]time.Duration // how long the view has shown a server as failed, by server
	Present       map[string]bool          // whether the view shows a server as present, by server
	Leader        string
	DesiredVoters int           // 0 disables reconfiguration
	ReplaceAfter  time.Duration // how long a voter must be failed before it is replaced
}

// Reconfiguration is a single change of the set of voters; exactly one field is set.
type Reconfiguration struct {
	Add    string // a non-voter that becomes a voter
	Remove string // a failed voter that is removed from the quorum
	Demote string // a present voter that becomes a non-voter
}

// NextReconfiguration returns the next change towards the desired number of voters, all of
// them present, and whether there is one. It proposes one change at a time, and only if the
// present voters form a quorum before and after the change. To replace a failed voter, it
// first adds a non-voter and then removes the failed voter.
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
		// A voter that was being replaced has recovered, so there is one voter too many.
		if voter := set.lastFollower(); voter != "" {
			return Reconfiguration{Demote: voter}, true
		}
	case (n < set.DesiredVoters || n == set.DesiredVoters && failed != "") && nonVoter != "" && present+1 >= (n+1)/2+1:
		return Reconfiguration{Add: nonVoter}, true
	}
	return Reconfiguration{}, false
}

// longestFailedVoter returns the voter that has been failed for the longest time, or "" if no voter
// has been failed for ReplaceAfter. Ties are broken by name.
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
