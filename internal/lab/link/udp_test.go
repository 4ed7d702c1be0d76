package link

import (
	"net"
	"testing"
	"time"
)

// replyPrefix precedes the text in the answers of startReplyServer.
const replyPrefix = "re:"

// startReplyServer starts a UDP server that answers each datagram with replyPrefix and its text. It
// returns its address.
func startReplyServer(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		buffer := make([]byte, 100)
		for {
			n, from, err := conn.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDP(append([]byte(replyPrefix), buffer[:n]...), from)
		}
	}()
	t.Cleanup(func() { conn.Close(); <-done })
	return conn.LocalAddr().String()
}

// newUDPRelay returns a relay to a reply server.
func newUDPRelay(t *testing.T) *UDP {
	t.Helper()
	u, err := NewUDP("127.0.0.1:0", startReplyServer(t), 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// dialUDP returns the socket of a new sender to a relay.
func dialUDP(t *testing.T, u *UDP) net.Conn {
	t.Helper()
	c, err := net.Dial("udp", u.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// requestReply sends a datagram and returns the next one received within a time, or "" if none is.
func requestReply(t *testing.T, c net.Conn, text string, within time.Duration) string {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, 100)
	n, _ := c.Read(buffer)
	return string(buffer[:n])
}

// Each sender receives the answers to its own datagrams.
func TestUDPAnswersReachTheirSender(t *testing.T) {
	u := newUDPRelay(t)
	senders := []net.Conn{dialUDP(t, u), dialUDP(t, u)}
	for i, text := range []string{"a", "b"} {
		if got := requestReply(t, senders[i], text, waitTimeout); got != replyPrefix+text {
			t.Errorf("sender %d received %q", i, got)
		}
	}
}

// Datagrams in a cut or lossy direction are dropped and counted, and those in a delayed one arrive late.
// The senders are known to the relay before the faults and still served afterwards.
func TestUDPShapes(t *testing.T) {
	u := newUDPRelay(t)
	c, other := dialUDP(t, u), dialUDP(t, u)
	for _, sender := range []net.Conn{c, other} {
		if got := requestReply(t, sender, "known", waitTimeout); got != replyPrefix+"known" {
			t.Errorf("received %q before any shape", got)
		}
	}
	for name, shapes := range map[string][2]Shape{"cut": {{Cut: true}, {}}, "cut back": {{}, {Cut: true}}, "lost": {{LossProbability: 1}, {}}} {
		u.Set(shapes[0], shapes[1])
		before := u.Dropped.Load()
		if got := requestReply(t, c, name, noDataTimeout); got != "" {
			t.Errorf("%s: received %q", name, got)
		}
		if u.Dropped.Load() == before {
			t.Errorf("%s: nothing counted as dropped", name)
		}
	}
	const delay = 80 * time.Millisecond
	u.Set(Shape{Delay: delay}, Shape{})
	began := time.Now()
	if got := requestReply(t, other, "late", waitTimeout); got != replyPrefix+"late" || time.Since(began) < delay {
		t.Errorf("received %q after %v", got, time.Since(began))
	}
}

// A relay keeps at most maxSenders senders, and still serves each new one when the table is full.
func TestUDPSendersAreBounded(t *testing.T) {
	u := newUDPRelay(t)
	for range 2 {
		if got := requestReply(t, dialUDP(t, u), "older", waitTimeout); got != replyPrefix+"older" {
			t.Fatalf("received %q", got)
		}
	}
	for range maxSenders + 20 {
		c, err := net.Dial("udp", u.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if got := requestReply(t, c, "x", waitTimeout); got != replyPrefix+"x" {
			t.Fatalf("received %q", got)
		}
		c.Close()
	}
	u.mu.Lock()
	n := len(u.senders)
	u.mu.Unlock()
	if n > maxSenders {
		t.Errorf("the relay keeps %d senders, want at most %d", n, maxSenders)
	}
}
