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
	most := len(voters)/2 + 1
	sees, against, refuses := 0, 0, 0
	for _, v := range voters {
		switch answers[v] {
		case AnswerAlive:
			sees++
		case AnswerRefused:
			refuses++
			against++
		case AnswerSilent, AnswerDefersToLease:
			against++
		}
	}
	switch {
	case len(voters) == 0 || !quorum:
		return DecisionPending
	case sees >= most:
		return DecisionRetain
	case lapsed && against >= most:
		return DecisionRemove
	case !lapsed && sees == 0 && refuses >= most:
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
func NextReconfiguration(f *VoterSet) (Reconfiguration, bool) {
	if f.DesiredVoters <= 0 {
		return Reconfiguration{}, false
	}
	there := 0
	failed := ""
	for _, v := range slices.Sorted(slices.Values(f.Voters)) {
		if f.Present[v] {
			there++
		}
		if d, is := f.Failed[v]; is && d >= f.ReplaceAfter && (failed == "" || d > f.Failed[failed]) {
			failed = v
		}
	}
	n := len(f.Voters)
	if there < n/2+1 {
		return Reconfiguration{}, false // no quorum: nothing is changed
	}
	spare := ""
	for _, s := range slices.Sorted(slices.Values(f.NonVoters)) {
		if f.Present[s] && !slices.Contains(f.Voters, s) {
			spare = s
			break
		}
	}
	switch {
	case n > f.DesiredVoters && failed != "" && there >= (n-1)/2+1:
		return Reconfiguration{Remove: failed}, true
	case n > f.DesiredVoters && there == n: // the one that was replaced has come back
		for _, v := range slices.Backward(slices.Sorted(slices.Values(f.Voters))) {
			if v != f.Leader {
				return Reconfiguration{Demote: v}, true
			}
		}
	case (n < f.DesiredVoters || n == f.DesiredVoters && failed != "") && spare != "" && there+1 >= (n+1)/2+1:
		return Reconfiguration{Add: spare}, true
	}
	return Reconfiguration{}, false
}
