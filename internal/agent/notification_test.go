package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// discoveryServer returns a discovery service that reports the queries of its calls and answers
// with serve.
func discoveryServer(t *testing.T, serve http.HandlerFunc) (addr string, requests chan string) {
	t.Helper()
	requests = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RawQuery
		serve(w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), requests
}

// serveList writes a full list and keeps the watch open.
func serveList(seq int, hosts ...any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, _ := json.MarshalIndent(map[string]any{"seq": seq, "whole": true, "hosts": hosts}, "", "  ")
		fmt.Fprintln(w, string(text))
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
}

// Over HTTP a pushed list arrives on a watch too: without a watch the agent would never be notified
// of a drain.
func TestPushedListIsWatched(t *testing.T) {
	old, _ := countingBackend(t, 200, false)
	good, received := countingBackend(t, 200, false)
	disco, requests := discoveryServer(t, serveList(2, hostEntry(0, old, "draining"), hostEntry(1, good, "ready")))
	config := testConfig(disco, old)
	set := config["settings"].(map[string]any)
	set["contract"].(map[string]any)["askWithinMs"], set["replicasOfMe"] = 0, 300
	startedAt := time.Now()
	_, base, _, _ := startAgent(t, config)
	select {
	case q := <-requests:
		if q != "follow=1&since=1" {
			t.Fatalf("query %q", q)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not asked")
	}
	if took := time.Since(startedAt); took > 200*time.Millisecond {
		t.Fatalf("asked after %v, where it counts as told from the first moment", took)
	}
	for end := time.Now().Add(20 * time.Second); len(received) == 0; { // until the list is taken
		if send(t, newCall(base, "order")); time.Now().After(end) {
			t.Fatal("never told of the drain")
		}
	}
	for range 5 {
		if status, _, _ := send(t, newCall(base, "order")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(received) != 6 {
		t.Fatalf("%d of 6 requests reached the one that stays", len(received))
	}
}

// A new address of discovery is polled at once, and soon again if that fails, however long the
// backoff had become at the previous one.
func TestChangedDiscoveryIsPolledSoon(t *testing.T) {
	config := testConfig(unreachableAddr, "127.0.0.1:1")
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	l := offlineLoopOf(t, config)
	const followToken = 2
	waits := func() (ms float64) {
		for _, act := range l.actions {
			if act.Token == followToken && act.Ms > 0 {
				ms = act.Ms
			}
		}
		return ms
	}
	fail := func() float64 {
		l.advanceClock(10 * time.Second)
		l.handle(event{kind: eventTimer, token: followToken})
		l.handle(event{kind: eventWatchEnded, source: l.discovery, err: errTrailingBytes})
		return waits()
	}
	for range 6 {
		fail()
	}
	if before := fail(); before < 1200 {
		t.Fatalf("asks again after %.0f ms though many calls failed", before)
	}
	l.advanceClock(10 * time.Second)
	l.handle(event{kind: eventTimer, token: followToken})
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{"127.0.0.1:2"}})
	if !l.watching {
		t.Fatal("the new address is not asked")
	}
	l.handle(event{kind: eventWatchEnded, source: l.discovery, err: errTrailingBytes})
	if after := waits(); after <= 0 || after > 1000 {
		t.Fatalf("asks the new address again after %.0f ms", after)
	}
}

// Whatever ended the calls before, the agent is notified within 6 s of the moment from which
// discovery answers correctly again: after rejections, resets, silence at any point, responses that
// trickle or never end, and with a reload in between.
func TestNotifiedWithinSixSeconds(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	write := func(w http.ResponseWriter, text string) {
		fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
	}
	faults := map[string]http.HandlerFunc{
		"503":   func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) },
		"reset": func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) },
		"turned away late": func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
			}
			w.WriteHeader(503)
		},
		"silent from the first byte": silent,
		"silent after the head":      func(w http.ResponseWriter, r *http.Request) { write(w, ""); silent(w, r) },
		"silent within a line":       func(w http.ResponseWriter, r *http.Request) { write(w, `{"seq":2,"wh`); silent(w, r) },
		"trickles": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				write(w, " ")
				time.Sleep(50 * time.Millisecond)
			}
		},
		"never ends": func(w http.ResponseWriter, r *http.Request) {
			write(w, `{"seq":2,"hosts":[`+"\n")
			for r.Context().Err() == nil {
				write(w, "\n\n")
				time.Sleep(50 * time.Millisecond)
			}
		},
		"nonsense": func(w http.ResponseWriter, r *http.Request) { write(w, "}\n") },
	}
	var all sync.WaitGroup
	for name, fault := range faults {
		for _, moved := range []bool{false, true} {
			all.Go(func() { // all at once: they mostly wait
				written := make(chan time.Time, 100)
				var well atomic.Bool
				serve := func(w http.ResponseWriter, r *http.Request) {
					if well.Load() {
						written <- time.Now()
						serveList(2, hostEntry(0, "127.0.0.1:1", "ready"))(w, r)
					} else {
						fault(w, r)
					}
				}
				addr, _ := discoveryServer(t, serve)
				other, _ := discoveryServer(t, serve)
				config := testConfig(addr, "127.0.0.1:1")
				set := config["settings"].(map[string]any)
				set["membershipMode"], set["replicasOfMe"] = "on_request", 300
				a, _, _, _ := startAgent(t, config)
				time.Sleep(9 * time.Second) // some calls have failed
				if moved {
					config["discovery"] = other
					a.Reconfigure(parseConfig(t, config))
					time.Sleep(time.Second)
				}
				well.Store(true)
				healed := time.Now()
				select {
				case at := <-written:
					// A call that had just begun is given up after 3.5 s of silence, and repeated within
					// 4 s of its begin; the rest is for a slow machine.
					if took := at.Sub(healed); took > 5*time.Second {
						t.Errorf("%s, moved %v: told after %v", name, moved, took)
					}
				case <-time.After(testTimeout):
					t.Errorf("%s, moved %v: never told", name, moved)
				}
			})
		}
	}
	all.Wait()
}
