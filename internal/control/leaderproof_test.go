package control

import (
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// delayedTransport is a raft transport that can hold back the responses to appends and fail later appends.
type delayedTransport struct {
	networkTransport
	mu            sync.Mutex
	holdResponses bool
	failAppends   bool
	held          chan struct{} // receives a value for each response that is held back
	release       chan struct{} // closed to release the held responses
}

// AppendEntries implements raft.Transport.
func (t *delayedTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	t.mu.Lock()
	holdResponses, failAppends := t.holdResponses, t.failAppends
	t.mu.Unlock()
	if failAppends {
		return errors.New("append failed by the test")
	}
	err := t.networkTransport.AppendEntries(id, target, args, resp)
	if holdResponses {
		t.held <- struct{}{}
		<-t.release
	}
	return err
}

// AppendEntriesPipeline implements raft.Transport. It is unsupported, so that all appends can be held back.
func (t *delayedTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// setFaults sets whether the responses to later appends are held back, and whether later appends fail.
func (t *delayedTransport) setFaults(holdResponses, failAppends bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdResponses, t.failAppends = holdResponses, failAppends
}

// delayedCluster holds three raft instances on delayed transports.
type delayedCluster struct {
	names      []string
	instances  map[string]*raft.Raft
	transports map[string]*delayedTransport
	confirmed  map[string]*confirmedAppends
}

// newDelayedCluster starts a cluster whose transports don't delay anything yet.
func newDelayedCluster(t *testing.T) *delayedCluster {
	t.Helper()
	cluster := &delayedCluster{names: []string{"a", "b", "c"}, instances: map[string]*raft.Raft{},
		transports: map[string]*delayedTransport{}, confirmed: map[string]*confirmedAppends{}}
	inmem := map[string]*raft.InmemTransport{}
	var configuration raft.Configuration
	for _, name := range cluster.names {
		_, inmem[name] = raft.NewInmemTransport(raft.ServerAddress(name))
		for other, transport := range inmem {
			transport.Connect(raft.ServerAddress(name), inmem[name])
			inmem[name].Connect(raft.ServerAddress(other), transport)
		}
		configuration.Servers = append(configuration.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	for _, name := range cluster.names {
		cluster.transports[name] = &delayedTransport{networkTransport: inmem[name], held: make(chan struct{}, 100), release: make(chan struct{})}
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

// leader waits until an instance is the leader and returns its name.
func (cluster *delayedCluster) leader(t *testing.T) string {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, name := range cluster.names {
			if r := cluster.instances[name]; r.State() == raft.Leader && r.VerifyLeader().Error() == nil {
				return name
			}
		}
	}
	t.Fatal("no instance became leader")
	return ""
}

// prove checks the leadership of an instance with a quorum and returns its term.
func (cluster *delayedCluster) prove(name string) (term uint64, err error) {
	return proveLeadership(cluster.instances[name], name, cluster.names, cluster.confirmed[name], applyTimeout)
}

// TestDelayedResponsesDoNotProveLeadership holds back the responses of all followers until after a
// leadership check has begun, as happens when the leader's process is suspended. The responses belong
// to appends that were sent before the check, so they don't prove leadership at the time of the check.
func TestDelayedResponsesDoNotProveLeadership(t *testing.T) {
	cluster := newDelayedCluster(t)
	leader := cluster.leader(t)
	r, transport := cluster.instances[leader], cluster.transports[leader]
	if term, err := cluster.prove(leader); err != nil || term != r.CurrentTerm() {
		t.Fatalf("without held responses: term %d, error %v, want term %d", term, err, r.CurrentTerm())
	}
	transport.setFaults(true, false)
	for range len(cluster.names) - 1 { // one heartbeat response of each follower
		<-transport.held
	}
	transport.setFaults(false, true) // all later appends fail
	raftCheck := r.VerifyLeader()
	proof := make(chan error, 1)
	go func() {
		_, err := cluster.prove(leader)
		proof <- err
	}()
	time.Sleep(20 * time.Millisecond) // gives both checks time to wait for responses
	close(transport.release)
	if err := raftCheck.Error(); err != nil {
		t.Logf("raft.VerifyLeader doesn't count the held responses: %v", err)
	}
	if err := <-proof; !errors.Is(err, errNoLeader) {
		t.Errorf("leadership check with only responses to earlier appends returned error %v, want errNoLeader", err)
	}
}

// TestProofNeedsAMajorityOfTheTerm checks that only appends of the current term that were sent to voters
// since the start of the check count toward the quorum.
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
			appends.record(id, confirmedAppend{confirmed.term, confirmed.sentAt.Add(-time.Minute)}) // an append that was sent earlier is ignored
		}
		if got, _ := appends.quorumSince(voters, "self", 7, since); got != c.want {
			t.Errorf("case %d: quorum %v, want %v", i, got, c.want)
		}
	}
	if quorum, _ := newConfirmedAppends().quorumSince([]string{"self"}, "self", 7, since); !quorum {
		t.Error("a single voter is not a quorum by itself")
	}
}
