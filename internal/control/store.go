package control

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	// retainedSnapshots is how many snapshots are kept on disk. If the last one is unreadable, the
	// previous one and the log after it still hold the whole state.
	retainedSnapshots = 2
	// lockTimeout is how long openStore waits for another process to release the data folder.
	lockTimeout = 2 * time.Second
	// checksumBytes is the size of the checksum at the end of each entry's data.
	checksumBytes = 4
	// entryHeaderBytes is the size of the fields that the checksum covers besides the data: index, term
	// and type.
	entryHeaderBytes = 8 + 8 + 1
)

// errDataFolderInUse means that another process has locked the data folder. Errors that wrap it append
// the name of the folder.
var errDataFolderInUse = errors.New("another process uses")

// damagedLogError means that the raft log in a data folder is damaged, with the cause.
type damagedLogError struct {
	dir   string
	cause error
}

// Error names the data folder and the cause.
func (e *damagedLogError) Error() string {
	return fmt.Sprintf("data: the log in %s is damaged: %v", e.dir, e.cause)
}

// Unwrap returns the cause.
func (e *damagedLogError) Unwrap() error { return e.cause }

// store is raft's storage in the data folder: the log with checksums, the term and vote, and the
// snapshots.
type store struct {
	*checksumLogStore
	bolt      *boltdb.BoltStore
	snapshots *raft.FileSnapshotStore
}

// openStore opens the data folder, and creates it if it doesn't exist. It returns an error that
// wraps errDataFolderInUse if another process uses the folder, a *damagedLogError if its log is
// damaged, and another error if the folder can't be written.
func openStore(dir string, log hclog.Logger) (s *store, err error) {
	if err := ensureWritable(dir); err != nil {
		return nil, err
	}
	// bbolt maps the file into memory and panics on invalid pages. An access beyond the end of a
	// truncated file raises a signal, which SetPanicOnFault turns into a panic too.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, &damagedLogError{dir, errors.New(fmt.Sprint(p))}
		}
	}()
	bolt, err := boltdb.New(boltdb.Options{Path: filepath.Join(dir, "raft.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("data: %w %s", errDataFolderInUse, dir)
	}
	if err != nil {
		return nil, fmt.Errorf("data: the log in %s: %w", dir, err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, log)
	if err != nil {
		bolt.Close()
		return nil, fmt.Errorf("data: snapshots: %w", err)
	}
	s = &store{checksumLogStore: &checksumLogStore{bolt}, bolt: bolt, snapshots: snapshots}
	if err := s.verifyLog(); err != nil {
		bolt.Close()
		return nil, &damagedLogError{dir, err}
	}
	return s, nil
}

// ensureWritable creates the data folder if it doesn't exist, and returns an error if no file can be
// written in it.
func ensureWritable(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("data: %w", err)
	}
	probe := filepath.Join(dir, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o600); err != nil {
		return fmt.Errorf("data: %w", err)
	}
	os.Remove(probe)
	return nil
}

// verifyLog reads the whole log once, and returns an error for the first entry that is missing or
// damaged: refusing to start is better than running without entries that this server has
// acknowledged. Entries that a snapshot covers may be missing, as happens after the leader has sent
// a snapshot and before the log is compacted.
func (s *store) verifyLog() error {
	var snapshotIndex uint64
	metas, err := s.snapshots.List()
	if err != nil {
		return err
	}
	for _, m := range metas {
		snapshotIndex = max(snapshotIndex, m.Index)
	}
	first, err := s.FirstIndex()
	if err != nil {
		return err
	}
	last, err := s.LastIndex()
	if err != nil {
		return err
	}
	for i := first; i > 0 && i <= last; i++ {
		var entry raft.Log
		err := s.GetLog(i, &entry)
		if errors.Is(err, raft.ErrLogNotFound) && i <= snapshotIndex {
			continue
		}
		if err != nil {
			return fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err)
		}
	}
	return nil
}

// Close closes the log.
func (s *store) Close() error { return s.bolt.Close() }

// checksumLogStore is a raft.LogStore that appends a checksum to each entry's data and verifies
// it when the entry is read, so that a damaged entry is never applied.
type checksumLogStore struct{ raft.LogStore }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errChecksumMismatch means that an entry of the log is damaged.
var errChecksumMismatch = errors.New("checksum mismatch")

// entryChecksum returns the checksum of an entry's index, term, type and data.
func entryChecksum(entry *raft.Log) uint32 {
	header := make([]byte, 0, entryHeaderBytes)
	header = binary.BigEndian.AppendUint64(header, entry.Index)
	header = binary.BigEndian.AppendUint64(header, entry.Term)
	header = append(header, byte(entry.Type))
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, entry.Data)
}

// GetLog implements raft.LogStore. It returns errChecksumMismatch for a damaged entry.
func (s *checksumLogStore) GetLog(index uint64, entry *raft.Log) error {
	if err := s.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	size := len(entry.Data) - checksumBytes
	if size < 0 {
		return errChecksumMismatch
	}
	want := binary.BigEndian.Uint32(entry.Data[size:])
	entry.Data = entry.Data[:size]
	if entry.Index != index || entryChecksum(entry) != want {
		return errChecksumMismatch
	}
	return nil
}

// StoreLog implements raft.LogStore.
func (s *checksumLogStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore. It doesn't modify the given entries.
func (s *checksumLogStore) StoreLogs(logs []*raft.Log) error {
	out := make([]*raft.Log, len(logs))
	for i, entry := range logs {
		c := *entry
		data := append(make([]byte, 0, len(entry.Data)+checksumBytes), entry.Data...)
		c.Data = binary.BigEndian.AppendUint32(data, entryChecksum(entry))
		out[i] = &c
	}
	return s.LogStore.StoreLogs(out)
}

// stableStore is a raft.StableStore for the term and the vote. Raft panics if a write fails, for
// example on a full disk. This store instead calls fail, which ends the server with a single error
// line, before raft acts on a vote that is not on disk.
type stableStore struct {
	raft.StableStore
	fail func(error)
}

// Set implements raft.StableStore.
func (s *stableStore) Set(key, value []byte) error {
	return s.mustPersist(s.StableStore.Set(key, value))
}

// SetUint64 implements raft.StableStore.
func (s *stableStore) SetUint64(key []byte, value uint64) error {
	return s.mustPersist(s.StableStore.SetUint64(key, value))
}

// mustPersist returns nil if err is nil. Otherwise it reports the failed write and doesn't return: it
// ends the calling goroutine, which is raft's, after running its deferred calls.
func (s *stableStore) mustPersist(err error) error {
	if err != nil {
		s.fail(fmt.Errorf("data: the log can't be written: %w", err))
		runtime.Goexit()
	}
	return nil
}
