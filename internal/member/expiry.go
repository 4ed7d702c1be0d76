package member

// Answer is what an observer says about a server when the leader asks whether it sees the
// server. Its values stand on the wire.
type Answer string

// The answers.
const (
	AnswerNone    Answer = ""        // the observer did not answer
	AnswerAlive   Answer = "sees"    // the server was heard recently, or answered a health check
	AnswerSilent  Answer = "silent"  // the server did not answer a health check
	AnswerRefused Answer = "refuses" // the server's machine refused the connection
	// AnswerUnsure means that the observer was slow itself, so its health check shows nothing.
	AnswerUnsure Answer = "unsure"
	// AnswerDefersToLease is the answer of a version that cannot check: the lease decides.
	AnswerDefersToLease Answer = "agrees"
)

// ExpiryDecision is the decision about a server that has not renewed its lease.
type ExpiryDecision string

// The decisions.
const (
	DecisionPending ExpiryDecision = ""       // inconclusive: the server stays and is checked again
	DecisionRetain  ExpiryDecision = "keep"   // most voters see the server
	DecisionRemove  ExpiryDecision = "remove" // most voters say that the server has failed
)

// DecideExpiry decides about one server from the answers of the voters, by name; answers of
// others do not count. lapsed is whether the server's lease has expired; if not, its renewal
// is only late.
//
// A server is removed only with a quorum and by a majority of the voters, so neither one
// observer alone nor a minority that is cut off removes anything. A server that most voters
// see is retained. One that is only late is removed if nobody sees it and its machine
// refuses connections from most voters, as waiting for the lease would change nothing.
func DecideExpiry(voters []string, quorum, lapsed bool, answers map[string]Answer) ExpiryDecision {
	majority := len(voters)/2 + 1
	alive, against, refused := 0, 0, 0
	for _, voter := range voters {
		switch answers[voter] {
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
		return DecisionRemove
	}
	return DecisionPending
}
