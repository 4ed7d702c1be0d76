package member

// Answer is an observer's answer when the leader asks whether a server is alive. The values are part
// of the wire format.
type Answer string

// Values of Answer.
const (
	AnswerNone    Answer = ""        // the observer did not answer
	AnswerAlive   Answer = "sees"    // the server answered a health check
	AnswerSilent  Answer = "silent"  // the server did not answer a health check
	AnswerRefused Answer = "refuses" // the server's machine refused the connection
	// AnswerUnsure means that the observer's own process was slow, so an unanswered health check is
	// no evidence against the server.
	AnswerUnsure Answer = "unsure"
	// AnswerDefersToLease is the answer of an observer whose version does not support health checks:
	// the lease decides.
	AnswerDefersToLease Answer = "agrees"
)

// ExpiryDecision says whether a server that has not renewed its lease is removed.
type ExpiryDecision string

// Values of ExpiryDecision.
const (
	DecisionPending ExpiryDecision = ""       // inconclusive: the server stays and is checked again
	DecisionRetain  ExpiryDecision = "keep"   // most voters see the server alive
	DecisionRemove  ExpiryDecision = "remove" // most voters see the server as failed
)

// ExpiryEvidence is the input of DecideExpiry.
type ExpiryEvidence struct {
	Voters       []string          // the names of all voters
	HasQuorum    bool              // the leader was still the leader after the answers were collected
	LeaseExpired bool              // the server's lease has expired; if not, its renewal is only late
	Answers      map[string]Answer // by the observer's name; only answers of voters count
}

// DecideExpiry decides whether a server that has not renewed its lease is removed.
//
// A server is removed only with a quorum and by a majority of the voters, so neither a single
// observer nor a partitioned minority can remove a server. A server that most voters see alive is
// retained. A server whose renewal is late but whose lease has not expired is removed only if no
// voter sees it alive and its machine refuses connections from most voters: its process has ended
// and will not renew the lease.
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
