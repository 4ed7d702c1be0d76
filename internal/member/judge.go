package member

import (
	"slices"
	"time"
)

// Answer is what an observer says of a server that it was asked about.
type Answer string

// The answers. AnswerNone is an observer that didn't answer.
const (
	AnswerNone    Answer = ""
	AnswerAlive   Answer = "sees"    // it was heard of late, or answers when asked
	AnswerSilent  Answer = "silent"  // no answer from it
	AnswerRefused Answer = "refuses" // its machine answers, and says that nobody is there
	// AnswerUnsure is an observer that was slow itself.
	AnswerUnsure Answer = "unsure"
	// AnswerDefersToLease is one of a version that isn't able to look, and leaves it to the lease.
	AnswerDefersToLease Answer = "agrees"
)

// ExpiryDecision is what is done about a server that is not heard.
type ExpiryDecision string

// The verdicts.
const (
	DecisionPending ExpiryDecision = ""       // too little is known: it stays, and is asked about again
	DecisionRetain  ExpiryDecision = "keep"   // most see it
	DecisionRemove  ExpiryDecision = "remove" // most say that it is gone
)

// DecideExpiry decides about one server, by what the stewards that vote say of it. Without the
// quorum nothing is removed; one observer alone removes nothing; whom most see, stays; who
// doesn't vote, or is cut off with a minority, doesn't count.
func DecideExpiry(voters []string, quorum, lapsed bool, answers map[string]Answer) ExpiryDecision {
	majority := len(voters)/2 + 1
	alive, against, refused := 0, 0, 0
	for _, v := range voters {
		switch answers[v] {
		case AnswerAlive:
			alive++
		case AnswerRefused:
			refused++
			against++
		case AnswerSilent, AnswerDefersToLease:
			against++
		}
	}
	switch {
	case len(voters) == 0 || !quorum:
		return DecisionPending
	case alive >= majority:
		return DecisionRetain
	case lapsed && against >= majority:
		return DecisionRemove
	case !lapsed && alive == 0 && refused >= majority:
		// It is late, and most hear from its machine that it is gone: no need to wait.
		return DecisionRemove
	}
	return DecisionPending
}

// VoterSet is the stewards, as the leader knows them.
type VoterSet struct {
	Voters        []string
	NonVoters     []string                 // that hear all, don't vote, and have caught up
	Failed        map[string]time.Duration // for how long the view has had them as failed
	Present       map[string]bool          // present in the view
	Leader        string
	DesiredVoters int           // how many are to vote; 0: nothing is done
	ReplaceAfter  time.Duration // of failure, before a voter is replaced
}

// Reconfiguration is one change of the voters.
type Reconfiguration struct {
	Add    string // a spare votes from now on
	Remove string // a voter that failed is none any more
	Demote string // a voter that is there is a spare from now on
}

// NextReconfiguration tells the next step, if there is any, towards as many voters as are wanted, all of
// them alive. It is one step at a time and always such that those that are there make a
// quorum after it as before.
func NextReconfiguration(set *VoterSet) (Reconfiguration, bool) {
	if set.DesiredVoters <= 0 {
		return Reconfiguration{}, false
	}
	present := 0
	failed := ""
	for _, v := range slices.Sorted(slices.Values(set.Voters)) {
		if set.Present[v] {
			present++
		}
		if d, is := set.Failed[v]; is && d >= set.ReplaceAfter && (failed == "" || d > set.Failed[failed]) {
			failed = v
		}
	}
	n := len(set.Voters)
	if present < n/2+1 {
		return Reconfiguration{}, false // no quorum: nothing is changed
	}
	nonVoter := ""
	for _, s := range slices.Sorted(slices.Values(set.NonVoters)) {
		if set.Present[s] && !slices.Contains(set.Voters, s) {
			nonVoter = s
			break
		}
	}
	switch {
	case n > set.DesiredVoters && failed != "" && present >= (n-1)/2+1:
		return Reconfiguration{Remove: failed}, true
	case n > set.DesiredVoters && present == n: // the one that was replaced has come back
		for _, v := range slices.Backward(slices.Sorted(slices.Values(set.Voters))) {
			if v != set.Leader {
				return Reconfiguration{Demote: v}, true
			}
		}
	case (n < set.DesiredVoters || n == set.DesiredVoters && failed != "") && nonVoter != "" && present+1 >= (n+1)/2+1:
		return Reconfiguration{Add: nonVoter}, true
	}
	return Reconfiguration{}, false
}
