package control

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// proofCheckInterval is how often proveLeadership, while it waits for confirmations, checks whether
// this server still leads.
const proofCheckInterval = 50 * time.Millisecond

// networkTransport is the set of transport interfaces that raft uses.
type networkTransport interface {
	raft.Transport
	raft.WithPreVote
	raft.WithClose
}

// recordingTransport wraps raft's transport. It records which appends, including heartbeats, the
// other servers have confirmed.
type recordingTransport struct {
	networkTransport
	confirmed *confirmedAppends
}

// AppendEntries implements raft.Transport.
func (t *recordingTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	sentAt := time.Now()
	err := t.networkTransport.AppendEntries(id, target, args, resp)
	if err == nil && resp.Success && resp.Term == args.Term {
		t.confirmed.record(id, confirmedAppend{args.Term, sentAt})
	}
	return err
}

// confirmedAppend is an append that a server has confirmed: at some time after sentAt, the server
// followed the leader of the term.
type confirmedAppend struct {
	term   uint64
	sentAt time.Time
}

// confirmedAppends holds the last append that each server has confirmed. It is safe for concurrent use.
type confirmedAppends struct {
	mu       sync.Mutex
	byServer map[raft.ServerID]confirmedAppend
	changed  chan struct{} // closed when the next append is recorded
}

// newConfirmedAppends returns an empty table.
func newConfirmedAppends() *confirmedAppends {
	return &confirmedAppends{byServer: map[raft.ServerID]confirmedAppend{}, changed: make(chan struct{})}
}

// record records a confirmed append, unless one that was sent later is already recorded.
func (c *confirmedAppends) record(id raft.ServerID, confirmation confirmedAppend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !confirmation.sentAt.After(c.byServer[id].sentAt) {
		return
	}
	c.byServer[id] = confirmation
	close(c.changed)
	c.changed = make(chan struct{})
}

// quorumSince reports whether a majority of the voters, including self, has confirmed an append of
// the term that was sent at since or later. changed is closed when that may have become true.
func (c *confirmedAppends) quorumSince(voters []string, self string, term uint64, since time.Time) (quorum bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmations := 0
	for _, name := range voters {
		last := c.byServer[raft.ServerID(name)]
		if name == self || last.term == term && !last.sentAt.Before(since) {
			confirmations++
		}
	}
	return confirmations > len(voters)/2, c.changed
}

// proveLeadership confirms that this server led at the time of the call, and returns the term in which
// it led. It returns errNoLeader if that can't be confirmed.
//
// raft.Raft.VerifyLeader alone is not sufficient: it counts the next response of each server, even one
// to a heartbeat that was sent before the call. A process that was suspended may find such responses in
// its socket buffers although another server has been elected since.
func proveLeadership(r *raft.Raft, self string, voters []string, confirmed *confirmedAppends, timeout time.Duration) (term uint64, err error) {
	since := time.Now()
	term = r.CurrentTerm()
	if r.VerifyLeader().Error() != nil { // triggers immediate heartbeats
		return 0, errNoLeader
	}
	for time.Since(since) < timeout && r.State() == raft.Leader && r.CurrentTerm() == term {
		quorum, changed := confirmed.quorumSince(voters, self, term, since)
		if quorum {
			return term, nil
		}
		select {
		case <-changed:
		case <-time.After(proofCheckInterval):
		}
	}
	return 0, errNoLeader
}
