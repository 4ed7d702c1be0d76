package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlineSlack is by how much the time that a server is told may exceed what the client has left; of
// it 0.15 s are for a process that is held up (STANDING), which no test here does.
const deadlineSlack = 50 * time.Millisecond

// toldTime is what an attempt told its server, and when it came there.
type toldTime struct {
	id   string
	at   time.Time
	told time.Duration
}

// toldServer answers each request after a time and notes what it was told.
func toldServer(t *testing.T, status int, after time.Duration) (addr string, told chan toldTime) {
	t.Helper()
	told = make(chan toldTime, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, err := parseTimeout(r.Header.Get("Request-Timeout"))
		if err != nil {
			t.Error(err)
		}
		told <- toldTime{r.Header.Get("Request-Id"), time.Now(), d}
		time.Sleep(after)
		w.WriteHeader(status)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), told
}

// check compares what the server was told with what the client, which sent its request then with this
// time-out, had left.
func (tt toldTime) check(t *testing.T, sent time.Time, timeout time.Duration) {
	t.Helper()
	if left := timeout - tt.at.Sub(sent); tt.told > left+deadlineSlack {
		t.Errorf("%s: the server was told %v, the client had %v left", tt.id, tt.told, left)
	}
}

// timedRequest is a request on the wire with a time-out of two seconds.
func timedRequest(id string) string {
	return strings.Replace(asBytes(id), "30000m", "2000m", 1)
}

const timedOut = 2 * time.Second // of timedRequest

// Connections that come up late take their part of the time: what the server is told is counted when
// the request goes out, of a first attempt and of the next one.
func TestDeadlineBehindALateConnect(t *testing.T) {
	refuses, first := toldServer(t, http.StatusInternalServerError, 0)
	serves, second := toldServer(t, http.StatusInternalServerError, 0)
	a, base, _, _ := start(t, config(nowhere, refuses, serves))
	plain := a.loop.dialer.connect
	a.loop.dialer.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(400 * time.Millisecond)
		return plain(ctx, network, addr)
	}
	req := call(base, "look")
	req.Header.Set("Request-Timeout", "2000m")
	sent := time.Now()
	do(t, req)
	for range 2 {
		select {
		case tt := <-first:
			tt.check(t, sent, timedOut)
		case tt := <-second:
			tt.check(t, sent, timedOut)
		case <-time.After(soon):
			t.Fatal("no second attempt")
		}
	}
}

// The time of a request runs while it waits: behind another one on its connection, or for a place.
func TestDeadlineOfARequestThatWaits(t *testing.T) {
	t.Run("behind another one", waitsBehindAnother)
	t.Run("for its place", waitsForItsPlace)
}

// waitsBehindAnother sends two requests at once, or in pieces.
func waitsBehindAnother(t *testing.T) {
	const turn = 600 * time.Millisecond
	both := timedRequest("first") + timedRequest("second")
	at := len(timedRequest("first"))
	for name, cuts := range map[string][]int{
		"at once": nil, "its first byte with the first": {at + 1}, "all of it behind": {at}, "in pieces": {at + 1, at + 30, at + 60},
	} {
		t.Run(name, func(t *testing.T) {
			addr, told := toldServer(t, http.StatusOK, turn)
			_, base, _, _ := start(t, config(nowhere, addr))
			c, _ := peer(t, base)
			began, rest := 0, both
			sent := time.Now()
			for _, cut := range cuts {
				io.WriteString(c, both[began:cut])
				time.Sleep(20 * time.Millisecond) // within the first one's turn
				began, rest = cut, both[cut:]
			}
			io.WriteString(c, rest)
			last := sent.Add(time.Duration(len(cuts)) * 20 * time.Millisecond)
			for _, sentAt := range []time.Time{sent, last} {
				select {
				case tt := <-told:
					tt.check(t, sentAt, timedOut)
				case <-time.After(soon):
					t.Fatal("a request did not come")
				}
			}
		})
	}
}

// waitsForItsPlace sends a request while idle connections hold all places.
func waitsForItsPlace(t *testing.T) {
	addr, told := toldServer(t, http.StatusOK, 0)
	conf := config(nowhere, addr)
	conf["limits"].(map[string]any)["sockets"] = minSockets
	a, base, _, _ := start(t, conf)
	for range a.clients.most { // nobody reads from these: they don't end by themselves
		near, _ := pair(t)
		a.clients.add(near, nil)
	}
	c, _ := peer(t, base)
	sent := time.Now()
	io.WriteString(c, timedRequest("waits"))
	tt := wait(t, "the request", told)
	if tt.at.Sub(sent) < freshFor/2 {
		t.Fatalf("it waited for %v only", tt.at.Sub(sent))
	}
	tt.check(t, sent, timedOut)
}

// A request on a connection that rested counts from when it came, and not from when the connection did.
func TestDeadlineBehindARest(t *testing.T) {
	addr, told := toldServer(t, http.StatusOK, 0)
	_, base, _, _ := start(t, config(nowhere, addr))
	c, r := peer(t, base)
	for i := range 2 {
		time.Sleep(300 * time.Millisecond)
		io.WriteString(c, timedRequest(fmt.Sprint(i)))
		if tt := wait(t, "the request", told); tt.told < timedOut-100*time.Millisecond {
			t.Errorf("request %d: the server was told %v of %v", i, tt.told, timedOut)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
