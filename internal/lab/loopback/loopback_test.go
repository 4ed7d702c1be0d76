package loopback

import (
	"errors"
	"io"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const soon = 20 * time.Second

// Through many turns of open, silent and refused, in any order, connections meet what a
// machine in that state shows, at the same address.
func TestListener(t *testing.T) {
	var open Set
	accepted := make(chan net.Conn, 100)
	n, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	l, err := Listen(n.IP()+":0", func(c net.Conn) { open.Add(c); accepted <- c })
	if err != nil {
		t.Fatal(err)
	}
	defer open.Reset()
	defer l.Close()
	addr := l.Addr()
	is := func(want string) {
		t.Helper()
		within := soon
		if want == "silent" {
			within = 100 * time.Millisecond
		}
		c, err := net.DialTimeout("tcp", addr, within)
		var timeout net.Error
		switch {
		case err == nil && want == "open":
			<-accepted
			c.Close()
		case err == nil:
			c.Close()
			t.Fatalf("a connection came up, want %s", want)
		case errors.Is(err, syscall.ECONNREFUSED):
			if want != "refused" {
				t.Fatalf("refused, want %s", want)
			}
		case errors.As(err, &timeout) && timeout.Timeout():
			if want != "silent" {
				t.Fatalf("silent, want %s", want)
			}
		default:
			t.Fatal(err)
		}
	}
	is("open")
	for range 3 {
		for _, step := range []string{"silent", "open", "refused", "open", "silent", "refused", "open"} {
			switch step {
			case "open":
				err = l.Open()
			case "silent":
				err = l.Silence()
			case "refused":
				l.Refuse()
			}
			if err != nil {
				t.Fatalf("%s: %v", step, err)
			}
			is(step)
			if l.Addr() != addr {
				t.Fatalf("moved to %s", l.Addr())
			}
		}
	}
	// Many fall silent at once, as a zone does.
	var all sync.WaitGroup
	for range 50 {
		k, err := Listen("127.0.0.1:0", func(c net.Conn) { c.Close() })
		if err != nil {
			t.Fatal(err)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer k.Close()
			if err := k.Silence(); err != nil {
				t.Error(err)
			}
			if c, err := net.DialTimeout("tcp", k.Addr(), 100*time.Millisecond); err == nil {
				c.Close()
				t.Error("a connection came up")
			}
		}()
	}
	all.Wait()
}

// A listener comes back at its address while other goroutines start processes, which for
// a moment hold copies of what was closed.
func TestOpensWhileProcessesStart(t *testing.T) {
	l, err := Listen("127.0.0.1:0", func(c net.Conn) { c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		}()
	}
	for i := range 300 {
		l.Refuse()
		if err := l.Open(); err != nil {
			t.Errorf("turn %d: %v", i, err)
			break
		}
	}
	close(stop)
	all.Wait()
}

// A reset breaks the connection with an error, a close ends it in order.
func TestReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var open Set
		l, err := Listen("127.0.0.1:0", func(c net.Conn) {
			open.Add(c)
			_, _ = c.Read(make([]byte, 1))
			if reset {
				Reset(c)
			} else {
				c.Close()
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(soon))
		_, err = c.Read(make([]byte, 1))
		if reset != errors.Is(err, syscall.ECONNRESET) || !reset != errors.Is(err, io.EOF) {
			t.Errorf("reset %v: %v", reset, err)
		}
		c.Close()
		l.Close()
	}
}

// No two labs on one machine share an address, and a lab gives each only once.
func TestAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		n, err := Claim()
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		for range perNet - 1 {
			ip := n.IP()
			if seen[ip] {
				t.Fatalf("%s twice", ip)
			}
			if p := net.ParseIP(ip); p == nil || !p.IsLoopback() {
				t.Fatalf("%s is no loopback address", ip)
			}
			seen[ip] = true
		}
	}
}
