package control

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/time/rate"
)

// retainedSnapshots is how many snapshots stay on the disk: should the last be unreadable, the
// one before it and the log behind it still tell all.
const retainedSnapshots = 2

// lockTimeout is how long it is waited for another process to let go of the data folder.
const lockTimeout = 2 * time.Second

// store is the disk of a steward.
type store struct {
	*checksumLogStore
	bolt  *boltdb.BoltStore
	snaps *raft.FileSnapshotStore
}

// openStore opens the data folder, and refuses one that it can't rely on.
func openStore(dir string, log hclog.Logger) (s *store, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("data: %w", err)
	}
	probe := filepath.Join(dir, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o600); err != nil {
		return nil, fmt.Errorf("data: %w", err)
	}
	os.Remove(probe)
	// The library reads the file as memory, and panics on pages that make no sense; where
	// the file ends too soon the kernel's signal is to be such a panic too.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("data: the log in %s is damaged: %v", dir, p)
		}
	}()
	bolt, err := boltdb.New(boltdb.Options{Path: filepath.Join(dir, "raft.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("data: another process uses %s", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("data: the log in %s: %w", dir, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, log)
	if err != nil {
		bolt.Close()
		return nil, fmt.Errorf("data: snapshots: %w", err)
	}
	s = &store{checksumLogStore: &checksumLogStore{bolt}, bolt: bolt, snaps: snaps}
	if err := s.verifyLog(); err != nil {
		bolt.Close()
		return nil, fmt.Errorf("data: the log in %s is damaged: %w", dir, err)
	}
	return s, nil
}

// verifyLog reads the whole log once: better no steward than one that forgot what it said. What
// a snapshot covers may be missing, as it is between a snapshot that was sent by the leader
// and the compaction behind it.
func (s *store) verifyLog() error {
	var covered uint64
	metas, err := s.snaps.List()
	if err != nil {
		return err
	}
	for _, m := range metas {
		covered = max(covered, m.Index)
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
		var l raft.Log
		err := s.GetLog(i, &l)
		if errors.Is(err, raft.ErrLogNotFound) && i <= covered {
			continue
		}
		if err != nil {
			return fmt.Errorf("entry %d of %d to %d: %w", i, first, last, err)
		}
	}
	return nil
}

func (s *store) Close() error { return s.bolt.Close() }

// checksumLogStore writes a checksum with each entry of the log and looks at it when it is read: a
// damaged record must be noticed, not applied.
type checksumLogStore struct{ raft.LogStore }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errChecksumMismatch is an entry whose checksum is wrong.
var errChecksumMismatch = errors.New("its checksum is wrong")

func entryChecksum(entry *raft.Log) uint32 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], entry.Index)
	binary.BigEndian.PutUint64(head[8:], entry.Term)
	head[16] = byte(entry.Type)
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, entry.Data)
}

func (s *checksumLogStore) GetLog(index uint64, entry *raft.Log) error {
	if err := s.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	size := len(entry.Data) - 4
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

func (s *checksumLogStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

func (s *checksumLogStore) StoreLogs(logs []*raft.Log) error {
	out := make([]*raft.Log, len(logs))
	for i, entry := range logs {
		c := *entry
		c.Data = binary.BigEndian.AppendUint32(append(make([]byte, 0, len(entry.Data)+4), entry.Data...), entryChecksum(entry))
		out[i] = &c
	}
	return s.LogStore.StoreLogs(out)
}

// stableStore keeps what raft promised (its term, its vote). Raft panics where that can't be
// written, as on a full disk; a steward is to end with one line that says why, and before
// it breaks the promise.
type stableStore struct {
	raft.StableStore
	fail func(error)
}

func (s *stableStore) Set(key, value []byte) error {
	return s.mustPersist(s.StableStore.Set(key, value))
}

func (s *stableStore) SetUint64(key []byte, value uint64) error {
	return s.mustPersist(s.StableStore.SetUint64(key, value))
}

// mustPersist ends raft's goroutine, in order, where a promise was not written.
func (s *stableStore) mustPersist(err error) error {
	if err != nil {
		s.fail(fmt.Errorf("data: the log can't be written: %w", err))
		runtime.Goexit()
	}
	return nil
}

// peerDialer is raft's way to the other stewards: by name, through this one's own table.
type peerDialer struct {
	net.Listener
	resolve func(name string) (string, bool)
}

func (s *peerDialer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, known := s.resolve(string(name))
	if !known {
		return nil, fmt.Errorf("steward %s: not in the table of peers", name)
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	// A table that leads to another steward than it says must not make that one's answers
	// count as this one's: they would be counted twice towards a quorum.
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(append([]byte{callPreamble, byte(len(name))}, name...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, conn.SetWriteDeadline(time.Time{})
}

// callPreamble is the byte before the name of the steward that is dialled; no message of raft's
// begins with it.
const callPreamble = 0xfe

// Accept takes a connection, which is looked at with its first read.
func (s *raftStreamLayer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &addressedConn{Conn: conn, name: s.name}, nil
}

// addressedConn passes on what comes after its own steward's name, and ends where it is
// another's. One without a name is of a build before names were sent.
type addressedConn struct {
	net.Conn
	name         string
	preambleRead bool
	unread       []byte
}

var errWrongServer = errors.New("the call was for another steward")

func (c *addressedConn) Read(p []byte) (int, error) {
	if !c.preambleRead {
		c.preambleRead = true
		var head [2]byte
		if _, err := io.ReadFull(c.Conn, head[:1]); err != nil {
			return 0, err
		}
		if head[0] != callPreamble {
			c.unread = append(c.unread, head[0])
		} else {
			if _, err := io.ReadFull(c.Conn, head[1:]); err != nil {
				return 0, err
			}
			name := make([]byte, head[1])
			if _, err := io.ReadFull(c.Conn, name); err != nil {
				return 0, err
			}
			if string(name) != c.name {
				c.Conn.Close()
				return 0, fmt.Errorf("%w: %q, this is %q", errWrongServer, name, c.name)
			}
		}
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// serverName is an address that is a name.
type serverName string

func (n serverName) Network() string { return "steward" }
func (n serverName) String() string  { return string(n) }

// Addr is what the others are told: the name, which each looks up in its own table.
func (s *raftStreamLayer) Addr() net.Addr { return serverName(s.name) }

type raftStreamLayer struct {
	peerDialer
	name string
}

// newRaftLogger passes the library's log on, line by line and no more than some a second.
func newRaftLogger(log *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, DisableTime: true,
		Output: &raftLogWriter{log: log, limit: rate.NewLimiter(20, 50)}})
}

type raftLogWriter struct {
	log        *slog.Logger
	limit      *rate.Limiter
	mu         sync.Mutex
	suppressed int
}

func (l *raftLogWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limit.Allow() {
		l.suppressed++
		return len(p), nil
	}
	text := strings.TrimSpace(string(p))
	level := slog.LevelInfo
	for prefix, lv := range map[string]slog.Level{"[ERROR]": slog.LevelError, "[WARN]": slog.LevelWarn, "[INFO]": slog.LevelInfo, "[DEBUG]": slog.LevelDebug} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			text, level = strings.TrimSpace(rest), lv
		}
	}
	args := []any{}
	if l.suppressed > 0 {
		args, l.suppressed = append(args, "left_out", l.suppressed), 0
	}
	l.log.Log(context.Background(), level, text, args...)
	return len(p), nil
}
