package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/lab/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// waitTimeout bounds every wait for an expected event.
	waitTimeout = 20 * time.Second
	// noDataTimeout is how long a test waits for an event that should not occur.
	noDataTimeout = 150 * time.Millisecond
)

// startIncrementServer starts a server that answers each byte with the byte plus 1. It returns its
// address.
func startIncrementServer(t *testing.T) string {
	t.Helper()
	var open loopback.ConnSet
	l, err := loopback.Listen("127.0.0.1:0", func(c net.Conn) {
		open.Add(c)
		defer c.Close()
		buf := make([]byte, 1024)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			for i := range buf[:n] {
				buf[i]++
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); open.Reset() })
	return l.Addr()
}

// newConnectedLink returns a link to an increment server, and a connection over the link.
func newConnectedLink(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	l, err := New("127.0.0.1:0", startIncrementServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, dial(t, l)
}

// dial opens a connection over a link.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Addr(), waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends one byte and returns the byte received in answer within a time.
func exchange(t *testing.T, c net.Conn, b byte, within time.Duration) (byte, error) {
	t.Helper()
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return readByte(c, within)
}

// readByte returns the next byte received within a time.
func readByte(c net.Conn, within time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	var received [1]byte
	_, err := io.ReadFull(c, received[:])
	return received[0], err
}

// set sets the shapes of a link's directions.
func set(t *testing.T, l *Link, forward, reverse Shape) {
	t.Helper()
	if err := l.Set(forward, reverse); err != nil {
		t.Fatal(err)
	}
}

// expectIncrement sends a byte and fails the test unless the byte plus 1 comes back.
func expectIncrement(t *testing.T, what string, c net.Conn, b byte) {
	t.Helper()
	if got, err := exchange(t, c, b, waitTimeout); err != nil || got != b+1 {
		t.Fatalf("%s: got %d and %v, want %d", what, got, err, b+1)
	}
}

// While a direction is cut, it delivers no data and no new connection is accepted. Data sent during the
// cut arrives after it.
func TestCutDelaysDataAndBlocksConnections(t *testing.T) {
	cut := Shape{Cut: true}
	for name, shapes := range map[string][2]Shape{"forward": {cut, {}}, "back": {{}, cut}, "both": {cut, cut}} {
		t.Run(name, func(t *testing.T) {
			l, c := newConnectedLink(t)
			expectIncrement(t, "before", c, 1)
			set(t, l, shapes[0], shapes[1])
			if got, err := exchange(t, c, 10, noDataTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("received %d and %v through a cut link", got, err)
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), noDataTimeout); err == nil {
				c.Close()
				t.Fatal("a connection was opened over a cut link")
			}
			if l.UnshapedFor(0) {
				t.Error("a cut link counts as unshaped")
			}
			set(t, l, Shape{}, Shape{})
			if got, err := readByte(c, waitTimeout); err != nil || got != 11 {
				t.Fatalf("after the cut: received %d and %v, want the data sent during it", got, err)
			}
			expectIncrement(t, "a new one after", dial(t, l), 3)
			if !l.UnshapedFor(0) || l.UnshapedFor(time.Hour) {
				t.Error("after a cut, the link must count as unshaped only since the end of the cut")
			}
		})
	}
}

// A refused link resets its connections and refuses new ones; one with ResetAfter resets a
// connection that has carried that many bytes.
func TestRefuseAndReset(t *testing.T) {
	l, c := newConnectedLink(t)
	expectIncrement(t, "before", c, 1)
	if err := l.Refuse(); err != nil {
		t.Fatal(err)
	}
	if _, err := readByte(c, waitTimeout); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Fatalf("read on an open connection over a refused link: %v, want a reset or EOF", err)
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), waitTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dialing over a refused link: %v, want ECONNREFUSED", err)
	}
	set(t, l, Shape{}, Shape{})
	c = dial(t, l)
	expectIncrement(t, "after", c, 5)
	set(t, l, Shape{ResetAfter: 4}, Shape{})
	c = dial(t, l)
	expectIncrement(t, "first byte", c, 7)
	_, _ = c.Write(bytes.Repeat([]byte{1}, 8))
	if _, err := io.ReadAll(c); err == nil {
		t.Fatal("the connection was not reset after ResetAfter bytes")
	}
	if l.Resets.Load() == 0 {
		t.Error("no reset counted")
	}
}

// A link refuses connections as its target does, and a fault of the link persists when the target is
// available again.
func TestLinkFollowsTargetAvailability(t *testing.T) {
	l, c := newConnectedLink(t)
	expectIncrement(t, "before", c, 1)
	expectRefused := func(what string) {
		t.Helper()
		if c, err := net.DialTimeout("tcp", l.Addr(), waitTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("%s: dialed %v with error %v, want ECONNREFUSED", what, c, err)
		}
	}
	if err := l.SetTargetAvailability(Refused); err != nil {
		t.Fatal(err)
	}
	expectRefused("a dead target")
	set(t, l, Shape{Cut: true}, Shape{})
	expectRefused("a dead target over a cut link")
	if err := l.SetTargetAvailability(Open); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", l.Addr(), noDataTimeout); err == nil {
		c.Close()
		t.Fatal("a connection was opened over a cut link")
	}
	set(t, l, Shape{}, Shape{})
	expectIncrement(t, "after", dial(t, l), 9)
}

// Delays of successive bytes do not add up, and a rate bounds the bytes per second.
func TestDelayAndRate(t *testing.T) {
	l, c := newConnectedLink(t)
	const delay = 100 * time.Millisecond
	set(t, l, Shape{Delay: delay}, Shape{Delay: delay, Jitter: delay / 10})
	began := time.Now()
	for range 20 {
		if _, err := c.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		if _, err := readByte(c, waitTimeout); err != nil {
			t.Fatalf("byte %d: %v", i, err)
		}
		if i == 0 && time.Since(began) < 2*delay {
			t.Errorf("the first byte took %v, the link alone takes %v", time.Since(began), 2*delay)
		}
	}
	if took := time.Since(began); took > 20*delay {
		t.Errorf("twenty bytes took %v: their delays added up", took)
	}
	set(t, l, Shape{Rate: 10_000}, Shape{})
	began = time.Now()
	if _, err := c.Write(make([]byte, 2000)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := io.ReadFull(c, make([]byte, 2000)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("2,000 bytes at 10,000 a second took %v", took)
	}
}

// Close ends connections that are opened while it runs, and waits for them: the leak check in TestMain
// finds any goroutine that is left.
func TestCloseEndsConnectionsOpenedMeanwhile(t *testing.T) {
	target := startIncrementServer(t)
	for range 100 {
		l, err := New("127.0.0.1:0", target, 1)
		if err != nil {
			t.Fatal(err)
		}
		var dialing sync.WaitGroup
		for range 4 {
			dialing.Go(func() {
				if c, err := net.DialTimeout("tcp", l.Addr(), waitTimeout); err == nil {
					c.Close()
				}
			})
		}
		l.Close()
		served := l.Connections.Load()
		dialing.Wait()
		if now := l.Connections.Load(); now != served {
			t.Fatalf("%d connections were served after Close", now-served)
		}
	}
}
