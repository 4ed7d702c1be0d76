package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"knotrouter/internal/lab/hollow"
)

// forwarder forwards connections to a control-plane server and counts them, so that what real
// agents exchange with it is known. A connection is a call, as their reader makes them. One
// goroutine accepts, and two for each connection copy its bytes.
type forwarder struct {
	listener net.Listener
	target   string
	calls    atomic.Int64
	bytesIn  atomic.Int64 // to the agents
	bytesOut atomic.Int64 // to the control-plane server

	mu        sync.Mutex
	openConns map[net.Conn]bool
	closed    bool
}

// newForwarder listens at an address and forwards to a target; close ends it.
func newForwarder(address, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, target: target, openConns: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// address returns the address at which the forwarder listens.
func (f *forwarder) address() string { return f.listener.Addr().String() }

// accept accepts connections until the listener is closed.
func (f *forwarder) accept() {
	for {
		downstream, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.calls.Add(1)
		go f.forward(downstream)
	}
}

// forward copies the bytes of a connection both ways until one end is closed, and closes the other.
func (f *forwarder) forward(downstream net.Conn) {
	defer downstream.Close()
	upstream, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !f.track(downstream, upstream) {
		return
	}
	defer f.untrack(downstream, upstream)
	go func() {
		copyAndCount(upstream, downstream, &f.bytesOut)
		upstream.Close()
	}()
	copyAndCount(downstream, upstream, &f.bytesIn)
}

// copyBufferBytes is the size of the buffer of one direction of a connection.
const copyBufferBytes = 32 << 10

// copyAndCount copies until the first error and counts what was read.
func copyAndCount(dst io.Writer, src io.Reader, count *atomic.Int64) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		count.Add(int64(n))
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// track keeps connections for close. It returns false if the forwarder is closed.
func (f *forwarder) track(connections ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		f.openConns[connection] = true
	}
	return !f.closed
}

// untrack forgets connections that have ended.
func (f *forwarder) untrack(connections ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		delete(f.openConns, connection)
	}
}

// traffic returns what was counted so far, as seen by the agents.
func (f *forwarder) traffic() hollow.Traffic {
	return hollow.Traffic{Calls: f.calls.Load(), BytesIn: f.bytesIn.Load(), BytesOut: f.bytesOut.Load()}
}

// close stops listening and closes all connections.
func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for connection := range f.openConns {
		connection.Close()
	}
}
