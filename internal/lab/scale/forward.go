package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"knotrouter/internal/lab/hollow"
)

// forwarder forwards connections to a control-plane server, to measure the traffic between the server
// and real agents. It counts a connection as a call, since real agents open a connection for each
// call. One goroutine accepts connections; two goroutines per connection copy its bytes.
type forwarder struct {
	listener net.Listener
	target   string
	calls    atomic.Int64
	bytesIn  atomic.Int64 // bytes sent to the agents
	bytesOut atomic.Int64 // bytes sent to the control-plane server

	mu        sync.Mutex
	openConns map[net.Conn]bool
	closed    bool
}

// newForwarder listens on an address and forwards connections to a target until close is called.
func newForwarder(address, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, target: target, openConns: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// address returns the address that the forwarder listens on.
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

// forward copies the bytes of a connection in both directions until one end is closed, and then closes
// the other end.
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

// copyBufferBytes is the size of the copy buffer for one direction of a connection.
const copyBufferBytes = 32 << 10

// copyAndCount copies from src to dst until the first error and adds the number of bytes read to count.
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

// track registers connections so that close closes them. It returns false if the forwarder is already
// closed.
func (f *forwarder) track(connections ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		f.openConns[connection] = true
	}
	return !f.closed
}

// untrack removes connections that have ended.
func (f *forwarder) untrack(connections ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		delete(f.openConns, connection)
	}
}

// traffic returns the traffic so far, with its directions as seen by the agents.
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
