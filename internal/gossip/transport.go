package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxQueuedPackets = 1024
	maxQueuedStreams = 64
	maxDatagramBytes = 64 << 10
	// acceptRetryDelay is the wait after a failed accept, for example when no file descriptors are
	// free.
	acceptRetryDelay = 50 * time.Millisecond
)

// errNoPeerName is the error of a send to an address without a member's name.
var errNoPeerName = errors.New("gossip: address has no member name")

// transport carries the library's datagrams and streams. It sends to members by name,
// through this process's own table of peers, and never dials an address that another process
// announced. It implements memberlist.NodeAwareTransport.
type transport struct {
	lookup       func(name string) (addr string, known bool)
	udp          *net.UDPConn
	tcp          net.Listener
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	closed       chan struct{}
	goroutines   sync.WaitGroup
	unknownPeers atomic.Int64 // sends without a name, or to names that are not in the table
	dropped      atomic.Int64 // datagrams and streams that arrived while their queue was full
	sentBytes    atomic.Int64 // bytes sent in datagrams, and in streams that this process opened
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// newTransport listens on an address for TCP, and on the same port for UDP. It returns an error if
// one of them cannot be bound. lookup is called from several goroutines.
func newTransport(listen string, lookup func(name string) (addr string, known bool)) (*transport, error) {
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	tcpAddr := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcpAddr.IP, Port: tcpAddr.Port})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &transport{
		lookup:  lookup,
		udp:     udp,
		tcp:     tcp,
		packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn, maxQueuedStreams),
		closed:  make(chan struct{}),
	}
	t.goroutines.Go(t.receive)
	t.goroutines.Go(t.accept)
	return t, nil
}

// receive queues datagrams until the socket is closed. It drops datagrams that arrive while the
// queue is full.
func (t *transport) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example an ICMP error for a datagram that was sent to a closed port
			continue
		}
		if n == 0 {
			continue
		}
		packet := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- packet:
		default:
			t.dropped.Add(1)
		}
	}
}

// accept queues streams until the socket is closed. It closes streams that arrive while the queue is
// full.
func (t *transport) accept() {
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptRetryDelay):
				continue
			case <-t.closed:
				return
			}
		}
		select {
		case t.streams <- conn:
		default:
			t.dropped.Add(1)
			conn.Close()
		}
	}
}

// FinalAdvertiseAddr returns the address that the library announces to other members. No member
// dials it.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	tcpAddr := t.tcp.Addr().(*net.TCPAddr)
	return tcpAddr.IP, tcpAddr.Port, nil
}

// PacketCh returns the queue of received datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the queue of accepted streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo fails with errNoPeerName: only WriteToAddress has the member's name.
func (t *transport) WriteTo([]byte, string) (time.Time, error) {
	t.unknownPeers.Add(1)
	return time.Time{}, errNoPeerName
}

// DialTimeout fails with errNoPeerName: only DialAddressTimeout has the member's name.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) {
	t.unknownPeers.Add(1)
	return nil, errNoPeerName
}

// WriteToAddress sends a datagram to a member by its name, and returns the time at which it was
// sent. It returns the errors of address, of resolving the address and of the socket.
func (t *transport) WriteToAddress(datagram []byte, to memberlist.Address) (time.Time, error) {
	addr, err := t.address(to.Name)
	if err != nil {
		return time.Time{}, err
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("gossip: %s: %w", to.Name, err)
	}
	n, err := t.udp.WriteTo(datagram, udpAddr)
	t.sentBytes.Add(int64(n))
	return time.Now(), err
}

// DialAddressTimeout opens a stream to a member by its name. It returns the errors of address and of
// net.DialTimeout.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	addr, err := t.address(to.Name)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, &t.sentBytes}, nil
}

// address returns the address of a member from the table. It returns errNoPeerName for an empty
// name, and an error that wraps an *unknownPeerError for a name that is not in the table.
func (t *transport) address(name string) (string, error) {
	if name == "" {
		t.unknownPeers.Add(1)
		return "", errNoPeerName
	}
	addr, known := t.lookup(name)
	if !known {
		t.unknownPeers.Add(1)
		return "", fmt.Errorf("gossip: %w", &unknownPeerError{name})
	}
	return addr, nil
}

// Shutdown closes the sockets and waits for the transport's goroutines. It returns the errors of
// closing the sockets. The library also calls Shutdown; all calls but the first do nothing.
func (t *transport) Shutdown() error {
	select {
	case <-t.closed:
		return nil
	default:
	}
	close(t.closed)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.goroutines.Wait()
	return err
}

// countedConn counts the bytes that are written to a stream.
type countedConn struct {
	net.Conn
	sentBytes *atomic.Int64
}

// Write writes to the stream and counts the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sentBytes.Add(int64(n))
	return n, err
}
