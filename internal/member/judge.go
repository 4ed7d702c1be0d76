package member

import (
	"slices"
	"time"
)

// Answer is what an observer says of a server that it was asked about.
type Answer string

// The answers. None is an observer that didn't answer.
const (
	None    Answer = ""
	Sees    Answer = "sees"    // it was heard of late, or answers when asked
	Silent  Answer = "silent"  // no answer from it
	Refuses Answer = "refuses" // its machine answers, and says that nobody is there
	// Unsure is an observer that was slow itself.
	Unsure Answer = "unsure"
	// Agrees is one of a version that isn't able to look, and leaves it to the lease.
	Agrees Answer = "agrees"
)

// Verdict is what is done about a server that is not heard.
type Verdict string

// The verdicts.
const (
	Wait   Verdict = ""       // too little is known: it stays, and is asked about again
	Keep   Verdict = "keep"   // most see it
	Remove Verdict = "remove" // most say that it is gone
)

// Judge decides about one server, by what the stewards that vote say of it. Without the
// quorum nothing is removed; one observer alone removes nothing; whom most see, stays; who
// doesn't vote, or is cut off with a minority, doesn't count.
func Judge(voters []string, quorum, lapsed bool, answers map[string]Answer) Verdict {
	most := len(voters)/2 + 1
	sees, against, refuses := 0, 0, 0
	for _, v := range voters {
		switch answers[v] {
		case Sees:
			sees++
		case Refuses:
			refuses++
			against++
		case Silent, Agrees:
			against++
		}
	}
	switch {
	case len(voters) == 0 || !quorum:
		return Wait
	case sees >= most:
		return Keep
	case lapsed && against >= most:
		return Remove
	case !lapsed && sees == 0 && refuses >= most:
		// It is late, and most hear from its machine that it is gone: no need to wait.
		return Remove
	}
	return Wait
}

// Fleet is the stewards, as the leader knows them.
type Fleet struct {
	Voters []string
	Spares []string                 // that hear all, don't vote, and have caught up
	Failed map[string]time.Duration // for how long the view has had them as failed
	There  map[string]bool          // present in the view
	Leader string
	Wanted int           // how many are to vote; 0: nothing is done
	After  time.Duration // of failure, before a voter is replaced
}

// Step is one change of the voters.
type Step struct {
	Add    string // a spare votes from now on
	Remove string // a voter that failed is none any more
	Demote string // a voter that is there is a spare from now on
}

// Replace tells the next step, if there is any, towards as many voters as are wanted, all of
// them alive. It is one step at a time and always such that those that are there make a
// quorum after it as before.
func Replace(f *Fleet) (Step, bool) {
	if f.Wanted <= 0 {
		return Step{}, false
	}
	there := 0
	failed := ""
	for _, v := range slices.Sorted(slices.Values(f.Voters)) {
		if f.There[v] {
			there++
		}
		if d, is := f.Failed[v]; is && d >= f.After && (failed == "" || d > f.Failed[failed]) {
			failed = v
		}
	}
	n := len(f.Voters)
	if there < n/2+1 {
		return Step{}, false // no quorum: nothing is changed
	}
	spare := ""
	for _, s := range slices.Sorted(slices.Values(f.Spares)) {
		if f.There[s] && !slices.Contains(f.Voters, s) {
			spare = s
			break
		}
	}
	switch {
	case n > f.Wanted && failed != "" && there >= (n-1)/2+1:
		return Step{Remove: failed}, true
	case n > f.Wanted && there == n: // the one that was replaced has come back
		for _, v := range slices.Backward(slices.Sorted(slices.Values(f.Voters))) {
			if v != f.Leader {
				return Step{Demote: v}, true
			}
		}
	case (n < f.Wanted || n == f.Wanted && failed != "") && spare != "" && there+1 >= (n+1)/2+1:
		return Step{Add: spare}, true
	}
	return Step{}, false
}
