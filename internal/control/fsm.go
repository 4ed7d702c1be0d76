package control

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/leaderelection"
)

// fsm is the catalog as raft's state machine.
type fsm struct {
	mu              sync.RWMutex
	state           *catalog.State
	index           uint64 // of the last entry that it was applied
	onChange        func() // the version or the list may be another
	onFatal         func(error)
	sessionsChanged chan struct{} // closed when what a session is to do may be another; nil: nobody waits
}

// Apply is raft's: one committed entry.
func (f *fsm) Apply(entry *raft.Log) any {
	var command catalog.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		f.onFatal(fmt.Errorf("entry %d of the log: %w", entry.Index, err))
		return catalog.Result{Code: catalog.Unsupported}
	}
	f.mu.Lock()
	before, rev := f.state.Seq, f.state.SessionRevision
	result := f.state.Apply(&command)
	f.index = entry.Index
	after := f.state.Seq
	if f.state.SessionRevision != rev || command.Kind == catalog.CloseSession {
		f.notifySessions()
	}
	f.mu.Unlock()
	if result.Code == catalog.Unsupported {
		// The others may have understood it: to go on would be another state under one name.
		f.onFatal(fmt.Errorf("entry %d of the log: %s", entry.Index, result.Text))
	}
	if after != before {
		f.onChange()
	}
	return result
}

// notifySessions wakes whoever waits for what a session is to do. The caller holds the lock.
func (f *fsm) notifySessions() {
	if f.sessionsChanged != nil {
		close(f.sessionsChanged)
		f.sessionsChanged = nil
	}
}

// assignments is what a session is to do, and what is closed when that may be another.
func (f *fsm) assignments(process, id string) (t leaderelection.AssignmentUpdate, ok bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sessionsChanged == nil {
		f.sessionsChanged = make(chan struct{})
	}
	t.Assignments, t.Revision, ok = f.state.Assignments(process, id)
	return t, ok, f.sessionsChanged
}

// Snapshot is raft's: the state as it is now.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return encodedState(text), nil
}

// Restore is raft's: a snapshot in place of the state.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if len(text) > maxSnapshotBytes {
		return fmt.Errorf("snapshot: over %d bytes", maxSnapshotBytes)
	}
	s, err := catalog.Decode(text)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state = s
	f.notifySessions()
	f.mu.Unlock()
	f.onChange()
	return nil
}

// maxSnapshotBytes bounds what is read as a snapshot: far above what the bounds of the state allow.
const maxSnapshotBytes = 256 << 20

type encodedState []byte

func (s encodedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

func (encodedState) Release() {}

// read looks at the state.
func (f *fsm) read(do func(state *catalog.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	do(f.state)
}

func (f *fsm) list(since int64, full bool) (l endpoints.List) {
	f.read(func(state *catalog.State) { l = state.List(since, full) })
	return l
}

func (f *fsm) revision() (seq int64) {
	f.read(func(state *catalog.State) { seq = state.Seq })
	return seq
}
