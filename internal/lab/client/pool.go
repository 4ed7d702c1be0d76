package client

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/lab/loopback"
)

// maxIdleConnections bounds the idle connections that a pool keeps open.
const maxIdleConnections = 64

// errNoIdleConnection is the error of a pool that must not open connections and has no idle one.
var errNoIdleConnection = errors.New("no idle connection")

// Pool keeps the connections to one address, with one request at a time on each. The zero value
// is empty and ready to use. It is safe for concurrent use.
type Pool struct {
	all loopback.ConnSet // the open connections, idle or not

	mu        sync.Mutex
	idle      []*pooledConn // the most recently used one is last
	opened    int64
	reuseOnly bool // no new connection may be opened
}

type pooledConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // a request was sent on the connection
}

// OpenedConnections returns how many connections the pool has tried to open, including failed attempts.
func (p *Pool) OpenedConnections() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Reset resets all connections, as when the client's process dies.
func (p *Pool) Reset() {
	p.mu.Lock()
	p.idle = nil
	p.mu.Unlock()
	p.all.Reset()
}

// SetReuseOnly sets whether requests may use open connections only.
func (p *Pool) SetReuseOnly(reuseOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseOnly = reuseOnly
}

// get returns an idle connection, or a new one if there is none or forceNew is set. It fails if a new
// connection is needed but can't be opened by the deadline and within connectTimeout, or must not be opened
// because reuseOnly is set. extraBytes reports that get closed an idle connection that had received bytes
// although no request was pending on it.
func (p *Pool) get(addr string, deadline time.Time, connectTimeout time.Duration, forceNew bool) (conn *pooledConn, extraBytes bool, err error) {
	for !forceNew {
		idle := p.takeIdle()
		if idle == nil {
			break
		}
		if !idle.hasUnreadBytes() {
			return idle, extraBytes, nil
		}
		extraBytes = true
		p.drop(idle)
	}
	conn, err = p.open(addr, deadline, connectTimeout)
	return conn, extraBytes, err
}

// takeIdle takes the most recently used idle connection, or returns nil if there is none.
func (p *Pool) takeIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return conn
}

// open opens a connection. It returns the errors that get returns.
func (p *Pool) open(addr string, deadline time.Time, connectTimeout time.Duration) (*pooledConn, error) {
	p.mu.Lock()
	if p.reuseOnly {
		p.mu.Unlock()
		return nil, errNoIdleConnection
	}
	p.opened++
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, min(time.Until(deadline), connectTimeout))
	if err != nil {
		return nil, err
	}
	p.all.Add(conn)
	return &pooledConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// hasUnreadBytes reports whether an idle connection has received bytes. EOF does not count.
func (c *pooledConn) hasUnreadBytes() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	received := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		received, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && received > 0
}

// put makes a connection idle, or closes it if maxIdleConnections are idle already.
func (p *Pool) put(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConnections {
		p.drop(conn)
		return
	}
	p.idle = append(p.idle, conn)
}

// drop closes a connection.
func (p *Pool) drop(conn *pooledConn) {
	p.all.Remove(conn.Conn)
	conn.Close()
}
