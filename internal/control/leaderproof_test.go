package control

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// delayedTransport is a raft transport on which responses to appends can be held back, and later appends
// fail.
type delayedTransport struct {
	networkTransport
	mu       sync.Mutex
	delaying bool
	cut      bool
	delayed  chan struct{} // receives a value for each response that is held back
	released chan struct{} // closed to release them
}

// AppendEntries implements raft.Transport.
func (t *delayedTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	t.mu.Lock()
	delaying, cut := t.delaying, t.cut
	t.mu.Unlock()
	if cut {
		return errors.New("cut off")
	}
	err := t.networkTransport.AppendEntries(id, target, args, resp)
	if delaying {
		t.delayed <- struct{}{}
		<-t.released
	}
	return err
}

// AppendEntriesPipeline implements raft.Transport. There is none, so that all appends are held.
func (t *delayedTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// set changes what happens to appends from now on.
func (t *delayedTransport) set(delaying, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delaying, t.cut = delaying, cut
}

// delayedCluster is three raft instances whose transports can be held.
type delayedCluster struct {
	names      []string
	instances  map[string]*raft.Raft
	transports map[string]*delayedTransport
	confirmed  map[string]*confirmedAppends
}

// newDelayedCluster starts the instances.
func newDelayedCluster(t *testing.T) *delayedCluster {
	t.Helper()
	cluster := &delayedCluster{names: []string{"a", "b", "c"}, instances: map[string]*raft.Raft{},
		transports: map[string]*delayedTransport{}, confirmed: map[string]*confirmedAppends{}}
	inner := map[string]*raft.InmemTransport{}
	var configuration raft.Configuration
	for _, name := range cluster.names {
		_, inner[name] = raft.NewInmemTransport(raft.ServerAddress(name))
		for other, transport := range inner {
			transport.Connect(raft.ServerAddress(name), inner[name])
			inner[name].Connect(raft.ServerAddress(other), transport)
		}
		configuration.Servers = append(configuration.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	for _, name := range cluster.names {
		cluster.transports[name] = &delayedTransport{networkTransport: inner[name], delayed: make(chan struct{}, 100), released: make(chan struct{})}
		cluster.confirmed[name] = newConfirmedAppends()
		cluster.start(t, name, configuration)
	}
	return cluster
}

// start starts one instance.
func (cluster *delayedCluster) start(t *testing.T, name string, configuration raft.Configuration) {
	t.Helper()
	c := raft.DefaultConfig()
	c.LocalID, c.LogOutput = raft.ServerID(name), io.Discard
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = time.Second, time.Second, time.Second
	store := raft.NewInmemStore()
	transport := &recordingTransport{cluster.transports[name], cluster.confirmed[name]}
	r, err := raft.NewRaft(c, &raft.MockFSM{}, store, store, raft.NewInmemSnapshotStore(), transport)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Shutdown() })
	if err := r.BootstrapCluster(configuration).Error(); err != nil {
		t.Fatal(err)
	}
	cluster.instances[name] = r
}

// leader waits until an instance leads, and returns its name.
func (cluster *delayedCluster) leader(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, name := range cluster.names {
			if r := cluster.instances[name]; r.State() == raft.Leader && r.VerifyLeader().Error() == nil {
				return name
			}
		}
	}
	t.Fatal("no instance leads")
	return ""
}

// prove has an instance prove its leadership.
func (cluster *delayedCluster) prove(name string) (term uint64, err error) {
	return proveLeadership(cluster.instances[name], name, cluster.names, cluster.confirmed[name], applyTimeout)
}

// TestDelayedResponsesDoNotProveLeadership holds back the responses of all followers over the beginning of
// a check, as a suspension of the leader's process does. They were given before the check, so they prove
// nothing about the time after it.
func TestDelayedResponsesDoNotProveLeadership(t *testing.T) {
	cluster := newDelayedCluster(t)
	leader := cluster.leader(t)
	r, transport := cluster.instances[leader], cluster.transports[leader]
	if term, err := cluster.prove(leader); err != nil || term != r.CurrentTerm() {
		t.Fatalf("with all responses: term %d, %v, want %d", term, err, r.CurrentTerm())
	}
	transport.set(true, false)
	for range len(cluster.names) - 1 { // one heartbeat of each follower
		<-transport.delayed
	}
	transport.set(false, true) // all that is sent from now on fails
	libraryCheck := r.VerifyLeader()
	proof := make(chan error, 1)
	go func() {
		_, err := cluster.prove(leader)
		proof <- err
	}()
	time.Sleep(20 * time.Millisecond) // both checks wait for responses
	close(transport.released)
	if err := libraryCheck.Error(); err != nil {
		t.Logf("the library's check does not count the held responses: %v", err)
	}
	if err := <-proof; !errors.Is(err, errNoLeader) {
		t.Errorf("leadership is proven by responses to what was sent before: %v", err)
	}
}

// TestProofNeedsAMajorityOfTheTerm holds which confirmed appends count.
func TestProofNeedsAMajorityOfTheTerm(t *testing.T) {
	since := time.Now()
	voters := []string{"self", "a", "b", "c", "d"}
	for i, c := range []struct {
		confirmed map[raft.ServerID]confirmedAppend
		want      bool
	}{
		{nil, false},
		{map[raft.ServerID]confirmedAppend{"a": {7, since}}, false},
		{map[raft.ServerID]confirmedAppend{"a": {7, since}, "b": {7, since.Add(time.Second)}}, true},
		{map[raft.ServerID]confirmedAppend{"a": {7, since}, "b": {7, since.Add(-1)}}, false},
		{map[raft.ServerID]confirmedAppend{"a": {7, since}, "b": {6, since}}, false},
		{map[raft.ServerID]confirmedAppend{"a": {7, since}, "non-voter": {7, since}}, false},
	} {
		appends := newConfirmedAppends()
		for id, confirmed := range c.confirmed {
			appends.record(id, confirmed)
			appends.record(id, confirmedAppend{confirmed.term, confirmed.sentAt.Add(-time.Minute)}) // an older one changes nothing
		}
		if got, _ := appends.quorumSince(voters, "self", 7, since); got != c.want {
			t.Errorf("case %d: quorum %v, want %v", i, got, c.want)
		}
	}
	if quorum, _ := newConfirmedAppends().quorumSince([]string{"self"}, "self", 7, since); !quorum {
		t.Error("a single voter is no majority of itself")
	}
}
