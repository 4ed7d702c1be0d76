package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"knotrouter/internal/lab/hollow"
)

// forwarder passes connections on to a steward and counts them, so that what real agents
// exchange with it is known. A connection is a call, as their reader makes them.
type forwarder struct {
	listener net.Listener
	target   string
	calls    atomic.Int64
	bytesIn  atomic.Int64 // to the agents
	bytesOut atomic.Int64 // to the steward

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func newForwarder(address, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: listener, target: target, open: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.calls.Add(1)
		go f.forward(near)
	}
}

func (f *forwarder) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !f.add(near, far) {
		return
	}
	defer f.remove(near, far)
	go func() {
		copyCounted(far, near, &f.bytesOut)
		far.Close()
	}()
	copyCounted(near, far, &f.bytesIn)
}

func copyCounted(to io.Writer, from io.Reader, count *atomic.Int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) add(connections ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		f.open[connection] = true
	}
	return !f.closed
}

func (f *forwarder) remove(connections ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range connections {
		delete(f.open, connection)
	}
}

func (f *forwarder) read() hollow.Traffic {
	return hollow.Traffic{Calls: f.calls.Load(), BytesIn: f.bytesIn.Load(), BytesOut: f.bytesOut.Load()}
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for connection := range f.open {
		connection.Close()
	}
}
