package agent

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"knotrouter/internal/transient"
)

// inputState says which bytes of a client's connection may still be read.
type inputState uint8

const (
	inputOpen   inputState = iota
	inputSealed            // the last response is decided: only the client's end of the connection is still read
	inputClosed            // the close has begun: reads return at once, and linger discards what follows
)

// clientInput reads from a client's connection. A read and the decision to read no more are each one step under its
// lock, so that a request is either read, and then answered, or stays unread, and its client may send it again.
type clientInput struct {
	raw syscall.RawConn // access to the descriptor; nil: there is none, and the state has no effect

	mu    sync.Mutex // taken after owner.mu where both are held
	state inputState
	// unrecorded says that bytes were read that the connection's stage and its read-ahead don't show yet.
	unrecorded bool
}

// newClientInput returns the input of a connection that was just accepted.
func newClientInput(conn net.Conn) clientInput {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return clientInput{}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return clientInput{}
	}
	return clientInput{raw: raw}
}

// readScope limits a read to what may still be read during a shutdown.
type readScope struct {
	maxBytes int  // most bytes to read; 0: no limit
	endOnly  bool // read nothing but the client's end of the connection
}

// read waits for bytes and reads them, as far as the state and the scope allow. If both allow none, it waits for the
// end of the client's side or the read deadline. After close it returns net.ErrClosed. The caller must call recorded
// once it has recorded the bytes.
func (in *clientInput) read(conn net.Conn, p []byte, scope func() readScope) (n int, err error) {
	if in.raw == nil {
		return conn.Read(p)
	}
	waitErr := in.raw.Read(func(fd uintptr) bool {
		n, err = in.readNow(fd, p, scope())
		return err != syscall.EAGAIN
	})
	if waitErr != nil {
		return 0, readError(conn, waitErr)
	}
	if err != nil && err != io.EOF && err != net.ErrClosed {
		err = readError(conn, os.NewSyscallError("read", err))
	}
	return n, err
}

// readError returns err as net.Conn.Read does, which net/http relies on to recognize errors of the network.
func readError(conn net.Conn, err error) error {
	if waiting := new(net.OpError); errors.As(err, &waiting) {
		err = waiting.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: err}
}

// readNow reads the bytes that are available. It returns EAGAIN if there are none that may be read.
func (in *clientInput) readNow(fd uintptr, p []byte, scope readScope) (int, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.state == inputClosed:
		return 0, net.ErrClosed
	case in.state == inputSealed || scope.endOnly:
		return 0, peekEnd(fd)
	}
	if scope.maxBytes > 0 {
		p = p[:min(len(p), scope.maxBytes)]
	}
	n, err := readNow(fd, p)
	in.unrecorded = in.unrecorded || n > 0
	return n, err
}

// peekEnd returns io.EOF or a permanent error if the peer has ended the connection or it has failed, and EAGAIN
// otherwise. It leaves all bytes unread.
func peekEnd(fd uintptr) error {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err != nil && transient.IsTemporary(err):
		return syscall.EAGAIN
	case err != nil:
		return err
	case n == 0 || peerHasEnded(fd):
		return io.EOF
	}
	return syscall.EAGAIN
}

// recorded notes that the bytes read so far show in the connection's stage or in its read-ahead.
func (in *clientInput) recorded() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unrecorded = false
}

// end changes the state, so that nothing more is read. It returns false and changes nothing if bytes were read that
// are not recorded yet.
func (in *clientInput) end(state inputState) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.unrecorded {
		return false
	}
	in.state = max(in.state, state)
	return true
}
