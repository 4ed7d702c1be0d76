package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	drainGrace = 500 * time.Millisecond
	// graceSlack is what a rule's time may be exceeded by on sockets (PROTOCOL).
	graceSlack = 50 * time.Millisecond
)

// rawDiscovery answers the n-th call, from 0, with what serve writes. Its connections are closed
// when serve returns.
func rawDiscovery(t *testing.T, serve func(c net.Conn, n int, target string)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c, n, r.RequestURI)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// chunk is one piece of a chunked answer.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// arrivals notes when requests reach a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) note() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// after counts the arrivals after a moment, and returns how long after it the last one came.
func (a *arrivals) after(moment time.Time) (n int, last time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if since := at.Sub(moment); since > 0 {
			n, last = n+1, since
		}
	}
	return n, last
}

// notingServer answers at once and notes each request.
func notingServer(t *testing.T) (addr string, came *arrivals) {
	t.Helper()
	came = &arrivals{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came.note()
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), came
}

// A server that drains gets nothing new once the grace is over, counted from the moment in which
// discovery wrote the change, however much of the answer arrives and when.
func TestNotifiedByPieces(t *testing.T) {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	const rest = 3 * time.Second // after the grace, within the test
	for name, answer := range map[string]struct {
		first func(c net.Conn, text, until string) // writes the change, of which until is the part to the entry's end
		next  time.Duration                        // how long discovery holds the calls after it
	}{
		"cut behind the entry": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(until))
		}, rest},
		"reset behind the entry": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(until))
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, rest},
		"the rest comes late": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(until))
			time.Sleep(rest)
			fmt.Fprint(c, chunk(strings.TrimPrefix(text, until)))
		}, rest},
		"the line ends late": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(strings.TrimSuffix(text, "\n")))
			time.Sleep(rest)
			fmt.Fprint(c, chunk("\n"))
		}, rest},
		"cut before the entry, the next call is served": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(text[:20]))
		}, 0},
		"cut before the entry, the next call is held": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(text[:20]))
		}, rest},
		"stalled before the entry": {func(c net.Conn, text, until string) {
			fmt.Fprint(c, chunk(text[:20]))
			time.Sleep(rest)
		}, rest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drains, came := notingServer(t)
			stays, _ := notingServer(t)
			entry := func(host, dial, health string) string {
				return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"k","block":0,"health":%q,"share":1.0,"born_ms":0}`, host, dial, health)
			}
			until := `{"seq":2,"whole":false,"hosts":[` + entry("s-1", drains, "draining")
			text := until + "," + entry("s-2", stays, "ready") + "]}\n"
			opened, change, wrote := make(chan struct{}), make(chan struct{}), make(chan time.Time, 1)
			discovery := rawDiscovery(t, func(c net.Conn, n int, target string) {
				if n > 0 {
					time.Sleep(answer.next)
					fmt.Fprint(c, watchHead+chunk(text))
					time.Sleep(rest)
					return
				}
				fmt.Fprint(c, watchHead+chunk(`{"seq":1,"whole":false,"hosts":[]}`+"\n"))
				close(opened)
				<-change
				wrote <- time.Now()
				answer.first(c, text, until)
			})
			listen := freeAddr(t)
			settings := strings.Replace(settings, `"drainGraceMs":250`, fmt.Sprintf(`"drainGraceMs":%d`, drainGrace.Milliseconds()), 1)
			_, out := child(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,"known":{"seq":1,"whole":true,"hosts":[%s,%s]}}`,
				listen, discovery, settings, entry("s-1", drains, "ready"), entry("s-2", stays, "ready")))
			waitReady(t, listen, out)
			<-opened
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for client := range 4 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
						}
						_, _ = askFor(listen, fmt.Sprintf("u%d-%d", client, i), "900m")
					}
				}()
			}
			time.Sleep(500 * time.Millisecond)
			if n, _ := came.after(time.Time{}); n == 0 {
				t.Fatalf("nothing was sent to the server before it drains; it said %s", out)
			}
			close(change)
			notified := <-wrote
			time.Sleep(2 * time.Second)
			close(stop)
			clients.Wait()
			if n, last := came.after(notified.Add(drainGrace + graceSlack)); n > 0 {
				t.Errorf("%d requests came after the grace, the last %v after it; it said %s", n, last, out)
			}
		})
	}
}
