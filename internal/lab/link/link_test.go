package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/lab/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// soon is how long something may take that should come, and never how long it is waited
// for something that should not.
const (
	soon  = 20 * time.Second
	never = 150 * time.Millisecond
)

// echo answers each byte with the next one, and gives what it has read.
func echo(t *testing.T) string {
	t.Helper()
	var open loopback.Set
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

func open(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	l, err := New("127.0.0.1:0", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, dial(t, l)
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Addr(), soon)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// say sends one byte and returns what comes within a time.
func say(t *testing.T, c net.Conn, b byte, within time.Duration) (byte, error) {
	t.Helper()
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return hear(c, within)
}

func hear(c net.Conn, within time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	var got [1]byte
	_, err := io.ReadFull(c, got[:])
	return got[0], err
}

func set(t *testing.T, l *Link, forward, back Shape) {
	t.Helper()
	if err := l.Set(forward, back); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, what string, c net.Conn, b byte) {
	t.Helper()
	if got, err := say(t, c, b, soon); err != nil || got != b+1 {
		t.Fatalf("%s: got %d and %v, want %d", what, got, err, b+1)
	}
}

// While a direction is cut nothing comes along it and no connection comes up; what was
// sent meanwhile arrives when it is whole again.
func TestCutEachWay(t *testing.T) {
	for name, way := range map[string][2]Shape{"forward": {{Cut: true}, {}}, "back": {{}, {Cut: true}}, "both": {{Cut: true}, {Cut: true}}} {
		t.Run(name, func(t *testing.T) {
			l, c := open(t)
			expect(t, "before", c, 1)
			set(t, l, way[0], way[1])
			if got, err := say(t, c, 10, never); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("through a cut link: %d and %v", got, err)
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), never); err == nil {
				c.Close()
				t.Fatal("a connection came up over a cut link")
			}
			if l.ClearFor(0) {
				t.Error("a cut link counts as plain")
			}
			set(t, l, Shape{}, Shape{})
			if got, err := hear(c, soon); err != nil || got != 11 {
				t.Fatalf("after the cut: %d and %v, want what was sent in it", got, err)
			}
			expect(t, "a new one after", dial(t, l), 3)
			if !l.ClearFor(0) || l.ClearFor(time.Hour) {
				t.Error("a healed link is plain from then on")
			}
		})
	}
}

func TestRefuseAndReset(t *testing.T) {
	l, c := open(t)
	expect(t, "before", c, 1)
	if err := l.Refuse(); err != nil {
		t.Fatal(err)
	}
	if _, err := hear(c, soon); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Fatalf("an open connection over a refused link: %v", err)
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), soon); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("a new connection over a refused link: %v", err)
	}
	set(t, l, Shape{}, Shape{})
	c = dial(t, l)
	expect(t, "after", c, 5)
	set(t, l, Shape{ResetAfter: 4}, Shape{})
	c = dial(t, l)
	expect(t, "first byte", c, 7)
	_, _ = c.Write(bytes.Repeat([]byte{1}, 8))
	if _, err := io.ReadAll(c); err == nil {
		t.Fatal("the connection outlived its bytes without an error")
	}
	if l.Resets.Load() == 0 {
		t.Error("no reset counted")
	}
}

// What the target does shows through the link, and a fault of the link outlasts it.
func TestTargetShowsThrough(t *testing.T) {
	l, c := open(t)
	expect(t, "before", c, 1)
	refused := func(what string) {
		t.Helper()
		if c, err := net.DialTimeout("tcp", l.Addr(), soon); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("%s: %v and %v", what, c, err)
		}
	}
	if err := l.SetTargetAvailability(Refused); err != nil {
		t.Fatal(err)
	}
	refused("a dead target")
	set(t, l, Shape{Cut: true}, Shape{})
	refused("a dead target over a cut link")
	if err := l.SetTargetAvailability(Open); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", l.Addr(), never); err == nil {
		c.Close()
		t.Fatal("a connection came up over a cut link")
	}
	set(t, l, Shape{}, Shape{})
	expect(t, "after", dial(t, l), 9)
}

// A delay holds up each byte and none behind it; a slow line takes its time.
func TestDelayAndRate(t *testing.T) {
	l, c := open(t)
	const delay = 100 * time.Millisecond
	set(t, l, Shape{Delay: delay}, Shape{Delay: delay, Jitter: delay / 10})
	began := time.Now()
	for range 20 {
		if _, err := c.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		if _, err := hear(c, soon); err != nil {
			t.Fatalf("byte %d: %v", i, err)
		}
		if i == 0 && time.Since(began) < 2*delay {
			t.Errorf("the first byte took %v, the link alone takes %v", time.Since(began), 2*delay)
		}
	}
	if all := time.Since(began); all > 20*delay {
		t.Errorf("twenty bytes took %v: each waited for the one before", all)
	}
	set(t, l, Shape{Rate: 10_000}, Shape{})
	began = time.Now()
	if _, err := c.Write(make([]byte, 2000)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(soon))
	if _, err := io.ReadFull(c, make([]byte, 2000)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("2,000 bytes at 10,000 a second took %v", took)
	}
}

func TestUDP(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	echoed := make(chan struct{})
	go func() {
		defer close(echoed)
		buf := make([]byte, 100)
		for {
			n, from, err := target.ReadFromUDP(buf)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDP(append([]byte("re:"), buf[:n]...), from)
		}
	}()
	defer func() { target.Close(); <-echoed }()
	u, err := NewUDP("127.0.0.1:0", target.LocalAddr().String(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	ask := func(c net.Conn, text string, within time.Duration) string {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(within))
		buf := make([]byte, 100)
		n, _ := c.Read(buf)
		return string(buf[:n])
	}
	two := make([]net.Conn, 2)
	for i := range two {
		if two[i], err = net.Dial("udp", u.Addr()); err != nil {
			t.Fatal(err)
		}
		defer two[i].Close()
	}
	for i, text := range []string{"a", "b"} {
		if got := ask(two[i], text, soon); got != "re:"+text {
			t.Errorf("sender %d heard %q", i, got)
		}
	}
	for name, way := range map[string][2]Shape{"cut": {{Cut: true}, {}}, "cut back": {{}, {Cut: true}}, "lost": {{LossShare: 1}, {}}} {
		u.Set(way[0], way[1])
		before := u.Dropped.Load()
		if got := ask(two[0], name, never); got != "" {
			t.Errorf("%s: heard %q", name, got)
		}
		if u.Dropped.Load() == before {
			t.Errorf("%s: nothing counted as dropped", name)
		}
	}
	u.Set(Shape{Delay: 80 * time.Millisecond}, Shape{})
	began := time.Now()
	if got := ask(two[1], "late", soon); got != "re:late" || time.Since(began) < 80*time.Millisecond {
		t.Errorf("heard %q after %v", got, time.Since(began))
	}
	u.Set(Shape{}, Shape{})
	for range mostSources + 20 {
		c, err := net.Dial("udp", u.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if got := ask(c, "x", soon); got != "re:x" {
			t.Fatalf("heard %q", got)
		}
		c.Close()
	}
	u.mu.Lock()
	n := len(u.sources)
	u.mu.Unlock()
	if n > mostSources {
		t.Errorf("%d senders remembered, at most %d", n, mostSources)
	}
}
