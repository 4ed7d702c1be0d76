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

// transport takes the library's datagrams and streams to members by name, through this
// process's own table: no address that somebody tells of is ever dialled.
type transport struct {
	lookup       func(name string) (string, bool)
	udp          *net.UDPConn
	tcp          net.Listener
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	closed       chan struct{}
	goroutines   sync.WaitGroup
	unknownPeers atomic.Int64 // sends to names that the table doesn't have
	dropped      atomic.Int64 // datagrams that came while the queue was full
	sentBytes    atomic.Int64 // bytes of datagrams, and of streams that it made

}

const (
	maxQueuedPackets = 1024
	maxQueuedStreams = 64
	maxDatagramBytes = 64 << 10
)

func newTransport(listen string, lookup func(string) (string, bool)) (*transport, error) {
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	at := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &transport{lookup: lookup, udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn, maxQueuedStreams), closed: make(chan struct{})}
	t.goroutines.Add(2)
	go t.receive()
	go t.accept()
	return t, nil
}

func (t *transport) receive() {
	defer t.goroutines.Done()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the answer to a datagram that nobody took
			continue
		}
		if n == 0 {
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
			t.dropped.Add(1)
		}
	}
}

func (t *transport) accept() {
	defer t.goroutines.Done()
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(50 * time.Millisecond): // out of descriptors, for instance
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

// FinalAdvertiseAddr is what others are told; none of them dials it.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	return at.IP, at.Port, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// errNoPeerName is a send to an address alone.
var errNoPeerName = errors.New("gossip: no name to dial by")

func (t *transport) WriteTo([]byte, string) (time.Time, error) {
	t.unknownPeers.Add(1)
	return time.Time{}, errNoPeerName
}

func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) {
	t.unknownPeers.Add(1)
	return nil, errNoPeerName
}

func (t *transport) address(name string) (string, error) {
	if name == "" {
		t.unknownPeers.Add(1)
		return "", errNoPeerName
	}
	addr, known := t.lookup(name)
	if !known {
		t.unknownPeers.Add(1)
		return "", fmt.Errorf("gossip: %s: not in the table of peers", name)
	}
	return addr, nil
}

func (t *transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	addr, err := t.address(to.Name)
	if err != nil {
		return time.Time{}, err
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("gossip: %s: %w", to.Name, err)
	}
	n, err := t.udp.WriteTo(b, at)
	t.sentBytes.Add(int64(n))
	return time.Now(), err
}

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

// countedConn counts what is written.
type countedConn struct {
	net.Conn
	sentBytes *atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sentBytes.Add(int64(n))
	return n, err
}

// Shutdown is called by the library as it ends.
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
