package member

// Answer is an observer's answer to the leader's question whether a server is alive. Its values
// stand on the wire.
type Answer string

// The answers.
const (
	AnswerNone    Answer = ""        // the observer did not answer
	AnswerAlive   Answer = "sees"    // the server answered a health check
	AnswerSilent  Answer = "silent"  // the server did not answer a health check
	AnswerRefused Answer = "refuses" // the server's machine refused the connection
	// AnswerUnsure means that the observer's process was slow, so that a health check without an
	// answer is no evidence against the server.
	AnswerUnsure Answer = "unsure"
	// AnswerDefersToLease is the answer of an observer whose version has no health checks: the lease
	// decides.
	AnswerDefersToLease Answer = "agrees"
)

// ExpiryDecision is the decision about a server that has not renewed its lease.
type ExpiryDecision string

// The decisions.
const (
	DecisionPending ExpiryDecision = ""       // inconclusive: the server stays and is checked again
	DecisionRetain  ExpiryDecision = "keep"   // for most voters the server is alive
	DecisionRemove  ExpiryDecision = "remove" // for most voters the server has failed
)

// ExpiryEvidence is what DecideExpiry decides from.
type ExpiryEvidence struct {
	Voters       []string          // the names of all voters
	HasQuorum    bool              // the leader still led after the answers were given
	LeaseExpired bool              // the server's lease has expired; if not, its renewal is only late
	Answers      map[string]Answer // by the observer's name; only those of voters count
}

// DecideExpiry decides whether a server that has not renewed its lease is removed.
//
// A server is removed only with a quorum and by a majority of the voters, so neither one
// observer alone nor a minority that is cut off removes a server. A server that is alive for most
// voters is retained. One whose renewal is only late is removed if it is alive for no voter and its
// machine refuses connections from most voters: its process has ended, so it will not renew.
func DecideExpiry(evidence ExpiryEvidence) ExpiryDecision {
	majority := len(evidence.Voters)/2 + 1
	alive, against, refused := 0, 0, 0
	for _, voter := range evidence.Voters {
		switch evidence.Answers[voter] {
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
	case len(evidence.Voters) == 0 || !evidence.HasQuorum:
		return DecisionPending
	case alive >= majority:
		return DecisionRetain
	case evidence.LeaseExpired && against >= majority:
		return DecisionRemove
	case !evidence.LeaseExpired && alive == 0 && refused >= majority:
		return DecisionRemove
	}
	return DecisionPending
}
