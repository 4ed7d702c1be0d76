package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// fsmFixture is a state machine with a watch broadcaster, without raft.
type fsmFixture struct {
	*fsm
	broadcaster *watchBroadcaster
	index       uint64          // index of the last applied log entry
	ctx         context.Context // context of a running broadcaster and its watches; see runBroadcaster
	stop        func()          // cancels ctx and waits until the broadcaster and the watches have ended
}

// newFSMFixture returns a fixture whose broadcaster isn't running yet. A log entry that can't be applied
// fails the test.
func newFSMFixture(t *testing.T) *fsmFixture {
	t.Helper()
	fixture := &fsmFixture{fsm: &fsm{state: catalog.New(), onFatal: func(err error) { t.Error(err) }}}
	fixture.broadcaster = newWatchBroadcaster(fixture.fsm, 5*time.Millisecond)
	fixture.onChange = fixture.broadcaster.notifyChanged
	return fixture
}

// runBroadcaster runs a test in a synctest bubble with a fixture whose broadcaster is running. It ends the
// broadcaster and the watches after the test.
func runBroadcaster(t *testing.T, test func(t *testing.T, fixture *fsmFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fixture := newFSMFixture(t)
		fixture.ctx = ctx
		fixture.stop = func() {
			cancel()
			synctest.Wait()
		}
		defer fixture.stop()
		go fixture.broadcaster.run(ctx)
		test(t, fixture)
	})
}

// apply applies a command as a committed log entry and returns its result.
func (f *fsmFixture) apply(t *testing.T, c catalog.Command) catalog.Result {
	t.Helper()
	c.FormatVersion = catalog.FormatVersion
	encoded, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	f.index++
	return f.Apply(&raft.Log{Index: f.index, Data: encoded}).(catalog.Result)
}

// register registers a server of the default service with the start time startedMs, in milliseconds.
func (f *fsmFixture) register(t *testing.T, name string, startedMs float64) {
	t.Helper()
	f.registerInService(t, "", name, startedMs)
}

// registerInService registers a server of a service with the start time startedMs, in milliseconds.
func (f *fsmFixture) registerInService(t *testing.T, service, name string, startedMs float64) {
	t.Helper()
	endpoint := endpoints.Endpoint{Name: name, Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 1, StartedMs: startedMs, Service: service}
	if r := f.apply(t, catalog.Command{Kind: catalog.Register, Endpoint: &endpoint}); r.Code != catalog.Done {
		t.Fatalf("%+v", r)
	}
}

// awaitPublished waits until all changes so far are written to the watches that aren't blocked. It is for
// tests in a synctest bubble.
func (f *fsmFixture) awaitPublished() {
	time.Sleep(publishDelay)
	synctest.Wait()
}

const publishDelay = 20 * time.Millisecond // upper bound of the time from a change until its event is written

// startSingleServer starts a server without peers, waits until it is the leader, and returns it with the
// address of its API.
func startSingleServer(t testing.TB) (*Server, string) {
	t.Helper()
	c := Defaults()
	c.Data, c.Raft, c.Heartbeat = t.TempDir(), "127.0.0.1:0", 100*time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = ln.Addr().String()
	ln.Close()
	s, err := Start(context.Background(), &c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for deadline := time.Now().Add(time.Minute); s.fsm.revision() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server never became leader")
		}
	}
	return s, c.Listen
}
