package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/leaderelection"
)

// maxSnapshotBytes is the maximum size of a snapshot. A state within the catalog's limits is far
// smaller.
const maxSnapshotBytes = 256 << 20

// errSnapshotTooLarge means that a snapshot was not restored because it is larger than
// maxSnapshotBytes.
var errSnapshotTooLarge = fmt.Errorf("over %d bytes", maxSnapshotBytes)

// fsm is raft's state machine: it applies committed entries to the replicated state and gives the
// rest of the server access to it.
type fsm struct {
	onChange func()      // called without the lock when the version of the list has changed
	onFatal  func(error) // called for an entry that this program can't apply

	mu              sync.RWMutex // guards the fields below and everything reachable from state
	state           *catalog.State
	sessionsChanged chan struct{} // closed when assignments may have changed; nil if no request waits
}

// Apply implements raft.FSM: it applies a committed entry and returns its catalog.Result. For an
// entry that this program can't apply it calls onFatal and returns the code Unsupported.
func (f *fsm) Apply(entry *raft.Log) any {
	var command catalog.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		f.onFatal(logEntryError(entry, err))
		return catalog.Result{Code: catalog.Unsupported}
	}
	f.mu.Lock()
	before, sessionsBefore := f.state.Seq, f.state.SessionRevision
	result := f.state.Apply(&command)
	after := f.state.Seq
	if f.state.SessionRevision != sessionsBefore || command.Kind == catalog.CloseSession {
		f.notifySessions()
	}
	f.mu.Unlock()
	if result.Code == catalog.Unsupported {
		// Other servers may run a version that supports the entry. If this server continued, its
		// state would diverge from theirs.
		f.onFatal(logEntryError(entry, errors.New(result.Text)))
	}
	if after != before {
		f.onChange()
	}
	return result
}

// logEntryError wraps the error that keeps an entry from being applied, and adds the entry's index.
func logEntryError(entry *raft.Log, err error) error {
	return fmt.Errorf("entry %d of the log: %w", entry.Index, err)
}

// notifySessions wakes the requests that wait for assignments. The caller holds the lock.
func (f *fsm) notifySessions() {
	if f.sessionsChanged != nil {
		close(f.sessionsChanged)
		f.sessionsChanged = nil
	}
}

// assignments returns the assignments of a session, and a channel that is closed when they may
// have changed. ok is false if there is no such session.
func (f *fsm) assignments(process, id string) (update leaderelection.AssignmentUpdate, ok bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessionsChanged == nil {
		f.sessionsChanged = make(chan struct{})
	}
	update.Assignments, update.Revision, ok = f.state.Assignments(process, id)
	return update, ok, f.sessionsChanged
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	encoded, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return encodedState(encoded), nil
}

// Restore implements raft.FSM: it replaces the state with a snapshot. If it returns an error, such
// as errSnapshotTooLarge or one of catalog.Decode, the state is unchanged.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	encoded, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if len(encoded) > maxSnapshotBytes {
		return fmt.Errorf("snapshot: %w", errSnapshotTooLarge)
	}
	state, err := catalog.Decode(encoded)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state = state
	f.notifySessions()
	f.mu.Unlock()
	f.onChange()
	return nil
}

// encodedState is a raft.FSMSnapshot of a state that is already encoded.
type encodedState []byte

// Persist implements raft.FSMSnapshot.
func (s encodedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (encodedState) Release() {}

// read calls do with the state, which do must neither modify nor retain.
func (f *fsm) read(do func(state *catalog.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	do(f.state)
}

// fullList returns the full list.
func (f *fsm) fullList() (list endpoints.List) {
	f.read(func(state *catalog.State) { list = state.FullList() })
	return list
}

// changesSince returns the entries of the list that changed after a version, or the full list if
// the history of the state doesn't reach back that far.
func (f *fsm) changesSince(version int64) (list endpoints.List) {
	f.read(func(state *catalog.State) { list = state.ListSince(version) })
	return list
}

// revision returns the version of the list.
func (f *fsm) revision() (revision int64) {
	f.read(func(state *catalog.State) { revision = state.Seq })
	return revision
}
