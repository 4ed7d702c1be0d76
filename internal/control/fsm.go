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
	mu      sync.RWMutex
	state   *catalog.State
	index   uint64 // of the last entry that it was applied
	changed func() // the version or the list may be another
	broken  func(error)
	stirred chan struct{} // closed when what a session is to do may be another; nil: nobody waits
}

// Apply is raft's: one committed entry.
func (f *fsm) Apply(l *raft.Log) any {
	var c catalog.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		f.broken(fmt.Errorf("entry %d of the log: %w", l.Index, err))
		return catalog.Result{Code: catalog.Unsupported}
	}
	f.mu.Lock()
	before, rev := f.state.Seq, f.state.SessionRevision
	r := f.state.Apply(&c)
	f.index = l.Index
	after := f.state.Seq
	if f.state.SessionRevision != rev || c.Kind == catalog.CloseSession {
		f.stir()
	}
	f.mu.Unlock()
	if r.Code == catalog.Unsupported {
		// The others may have understood it: to go on would be another state under one name.
		f.broken(fmt.Errorf("entry %d of the log: %s", l.Index, r.Text))
	}
	if after != before {
		f.changed()
	}
	return r
}

// stir wakes whoever waits for what a session is to do. The caller holds the lock.
func (f *fsm) stir() {
	if f.stirred != nil {
		close(f.stirred)
		f.stirred = nil
	}
}

// tasks is what a session is to do, and what is closed when that may be another.
func (f *fsm) tasks(process, id string) (t leaderelection.AssignmentUpdate, ok bool, stirred <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stirred == nil {
		f.stirred = make(chan struct{})
	}
	t.Assignments, t.Revision, ok = f.state.Assignments(process, id)
	return t, ok, f.stirred
}

// Snapshot is raft's: the state as it is now.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	text, err := f.state.Encode()
	if err != nil {
		return nil, err
	}
	return snapshot(text), nil
}

// Restore is raft's: a snapshot in place of the state.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshot+1))
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if len(text) > maxSnapshot {
		return fmt.Errorf("snapshot: over %d bytes", maxSnapshot)
	}
	s, err := catalog.Decode(text)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state = s
	f.stir()
	f.mu.Unlock()
	f.changed()
	return nil
}

// maxSnapshot bounds what is read as a snapshot: far above what the bounds of the state allow.
const maxSnapshot = 256 << 20

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("snapshot: %w", err)
	}
	return sink.Close()
}

func (snapshot) Release() {}

// read looks at the state.
func (f *fsm) read(do func(s *catalog.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	do(f.state)
}

func (f *fsm) list(since int64, whole bool) (l endpoints.List) {
	f.read(func(s *catalog.State) { l = s.List(since, whole) })
	return l
}

func (f *fsm) seq() (seq int64) {
	f.read(func(s *catalog.State) { seq = s.Seq })
	return seq
}
