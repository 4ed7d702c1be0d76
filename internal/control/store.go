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

// snapshotsKept is how many snapshots stay on the disk: should the last be unreadable, the
// one before it and the log behind it still tell all.
const snapshotsKept = 2

// lockWait is how long it is waited for another process to let go of the data folder.
const lockWait = 2 * time.Second

// store is the disk of a steward.
type store struct {
	*sealed
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
	bolt, err := boltdb.New(boltdb.Options{Path: filepath.Join(dir, "raft.db"), BoltOptions: &bbolt.Options{Timeout: lockWait}})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("data: another process uses %s", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("data: the log in %s: %w", dir, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, snapshotsKept, log)
	if err != nil {
		bolt.Close()
		return nil, fmt.Errorf("data: snapshots: %w", err)
	}
	s = &store{sealed: &sealed{bolt}, bolt: bolt, snaps: snaps}
	if err := s.check(); err != nil {
		bolt.Close()
		return nil, fmt.Errorf("data: the log in %s is damaged: %w", dir, err)
	}
	return s, nil
}

// check reads the whole log once: better no steward than one that forgot what it said. What
// a snapshot covers may be missing, as it is between a snapshot that was sent by the leader
// and the compaction behind it.
func (s *store) check() error {
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

// sealed writes a checksum with each entry of the log and looks at it when it is read: a
// damaged record must be noticed, not applied.
type sealed struct{ raft.LogStore }

var table = crc32.MakeTable(crc32.Castagnoli)

// errDamaged is an entry whose checksum is wrong.
var errDamaged = errors.New("its checksum is wrong")

func sum(l *raft.Log) uint32 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], l.Index)
	binary.BigEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	return crc32.Update(crc32.Checksum(head[:], table), table, l.Data)
}

func (s *sealed) GetLog(index uint64, l *raft.Log) error {
	if err := s.LogStore.GetLog(index, l); err != nil {
		return err
	}
	n := len(l.Data) - 4
	if n < 0 {
		return errDamaged
	}
	want := binary.BigEndian.Uint32(l.Data[n:])
	l.Data = l.Data[:n]
	if l.Index != index || sum(l) != want {
		return errDamaged
	}
	return nil
}

func (s *sealed) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

func (s *sealed) StoreLogs(logs []*raft.Log) error {
	out := make([]*raft.Log, len(logs))
	for i, l := range logs {
		c := *l
		c.Data = binary.BigEndian.AppendUint32(append(make([]byte, 0, len(l.Data)+4), l.Data...), sum(l))
		out[i] = &c
	}
	return s.LogStore.StoreLogs(out)
}

// promises keeps what raft promised (its term, its vote). Raft panics where that can't be
// written, as on a full disk; a steward is to end with one line that says why, and before
// it breaks the promise.
type promises struct {
	raft.StableStore
	fail func(error)
}

func (p *promises) Set(key, value []byte) error { return p.must(p.StableStore.Set(key, value)) }

func (p *promises) SetUint64(key []byte, value uint64) error {
	return p.must(p.StableStore.SetUint64(key, value))
}

// must ends raft's goroutine, in order, where a promise was not written.
func (p *promises) must(err error) error {
	if err != nil {
		p.fail(fmt.Errorf("data: the log can't be written: %w", err))
		runtime.Goexit()
	}
	return nil
}

// stream is raft's way to the other stewards: by name, through this one's own table.
type stream struct {
	net.Listener
	dial func(name string) (string, bool)
}

func (s *stream) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, known := s.dial(string(name))
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
	if _, err := conn.Write(append([]byte{calls, byte(len(name))}, name...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, conn.SetWriteDeadline(time.Time{})
}

// calls is the byte before the name of the steward that is dialled; no message of raft's
// begins with it.
const calls = 0xfe

// Accept takes a connection, which is looked at with its first read.
func (s *namedStream) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &calledConn{Conn: conn, name: s.name}, nil
}

// calledConn passes on what comes after its own steward's name, and ends where it is
// another's. One without a name is of a build before names were sent.
type calledConn struct {
	net.Conn
	name   string
	looked bool
	rest   []byte
}

var errCalled = errors.New("the call was for another steward")

func (c *calledConn) Read(p []byte) (int, error) {
	if !c.looked {
		c.looked = true
		var head [2]byte
		if _, err := io.ReadFull(c.Conn, head[:1]); err != nil {
			return 0, err
		}
		if head[0] != calls {
			c.rest = append(c.rest, head[0])
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
				return 0, fmt.Errorf("%w: %q, this is %q", errCalled, name, c.name)
			}
		}
	}
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// named is an address that is a name.
type named string

func (n named) Network() string { return "steward" }
func (n named) String() string  { return string(n) }

// Addr is what the others are told: the name, which each looks up in its own table.
func (s *namedStream) Addr() net.Addr { return named(s.name) }

type namedStream struct {
	stream
	name string
}

// raftLog passes the library's log on, line by line and no more than some a second.
func raftLog(log *slog.Logger) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, DisableTime: true,
		Output: &lines{log: log, limit: rate.NewLimiter(20, 50)}})
}

type lines struct {
	log   *slog.Logger
	limit *rate.Limiter
	mu    sync.Mutex
	cut   int
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limit.Allow() {
		l.cut++
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
	if l.cut > 0 {
		args, l.cut = append(args, "left_out", l.cut), 0
	}
	l.log.Log(context.Background(), level, text, args...)
	return len(p), nil
}
