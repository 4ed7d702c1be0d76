package control

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// namePreamble is the first byte that a dialling server sends, followed by the length and the name of
// the server that it dials. No raft message begins with this byte.
const namePreamble = 0xfe

// errWrongServer means that a peer reached this server when it dialled another one, because its peer
// table has a wrong address.
var errWrongServer = errors.New("the call was for another steward")

// raftStreamLayer is the raft.StreamLayer of this server. Servers address one another by name, and
// each resolves the names by its own peer table.
type raftStreamLayer struct {
	peerDialer
	name string
}

// Accept implements net.Listener. The preamble is verified at the first read of the connection.
func (s *raftStreamLayer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &preambleConn{Conn: conn, name: s.name}, nil
}

// Addr implements net.Listener. It returns this server's name, which each peer resolves by its own
// peer table.
func (s *raftStreamLayer) Addr() net.Addr { return serverName(s.name) }

// peerDialer dials the raft transports of peers.
type peerDialer struct {
	net.Listener
	resolve func(name string) (addr string, known bool)
}

// Dial implements raft.StreamLayer. It first sends the name of the dialled server; a server with
// another name closes the connection. Without this check, a wrong address in the peer table would let
// the votes and acknowledgements of one server count twice towards a quorum. Dial returns an error that
// wraps errNotInPeerTable if the table has no address for the name.
func (s *peerDialer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, known := s.resolve(string(name))
	if !known {
		return nil, fmt.Errorf("steward %s: %w", name, errNotInPeerTable)
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(append([]byte{namePreamble, byte(len(name))}, name...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, conn.SetWriteDeadline(time.Time{})
}

// preambleConn is an accepted connection. Its first read verifies that the peer dialled this
// server. Connections without a preamble are accepted: older versions of the program send none.
type preambleConn struct {
	net.Conn
	name            string
	preambleChecked bool
	unread          []byte // the first byte, if it was not namePreamble
}

// Read implements net.Conn. If the peer meant to dial another server, it closes the connection and
// returns an error that wraps errWrongServer.
func (c *preambleConn) Read(p []byte) (int, error) {
	if !c.preambleChecked {
		c.preambleChecked = true
		if err := c.readPreamble(); err != nil {
			return 0, err
		}
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// readPreamble reads the preamble, if the peer sent one, and compares its name with this server's.
func (c *preambleConn) readPreamble() error {
	var header [2]byte
	if _, err := io.ReadFull(c.Conn, header[:1]); err != nil {
		return err
	}
	if header[0] != namePreamble {
		c.unread = append(c.unread, header[0])
		return nil
	}
	if _, err := io.ReadFull(c.Conn, header[1:]); err != nil {
		return err
	}
	name := make([]byte, header[1])
	if _, err := io.ReadFull(c.Conn, name); err != nil {
		return err
	}
	if string(name) != c.name {
		c.Conn.Close()
		return fmt.Errorf("%w: %q, this is %q", errWrongServer, name, c.name)
	}
	return nil
}

// serverName is the net.Addr of a control-plane server: its name.
type serverName string

// Network implements net.Addr.
func (n serverName) Network() string { return "steward" }

// String implements net.Addr.
func (n serverName) String() string { return string(n) }
