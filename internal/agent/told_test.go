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

// lists is a discovery that notes what it is asked and leaves the rest to serve.
func lists(t *testing.T, serve http.HandlerFunc) (addr string, asked chan string) {
	asked = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		serve(w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), asked
}

// open writes a whole list and keeps the watch open.
func open(seq int, hosts ...any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, _ := json.MarshalIndent(map[string]any{"seq": seq, "whole": true, "hosts": hosts}, "", "  ")
		fmt.Fprintln(w, string(text))
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
}

// Over HTTP a list that is pushed comes on a watch too: without one the agent would never
// hear of a drain.
func TestPushedListIsWatched(t *testing.T) {
	old, _ := counted(t, 200, false)
	good, came := counted(t, 200, false)
	disco, asked := lists(t, open(2, host(0, old, "draining"), host(1, good, "ready")))
	conf := config(disco, old)
	set := conf["settings"].(map[string]any)
	set["contract"].(map[string]any)["askWithinMs"], set["replicasOfMe"] = 0, 300
	began := time.Now()
	_, base, _, _ := start(t, conf)
	select {
	case q := <-asked:
		if q != "follow=1&since=1" {
			t.Fatalf("asked %q", q)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not asked")
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Fatalf("asked after %v, where it counts as told from the first moment", took)
	}
	for end := time.Now().Add(20 * time.Second); len(came) == 0; { // until the list is taken
		if do(t, call(base, "order")); time.Now().After(end) {
			t.Fatal("never told of the drain")
		}
	}
	for range 5 {
		if status, _, _ := do(t, call(base, "order")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(came) != 6 {
		t.Fatalf("%d of 6 requests reached the one that stays", len(came))
	}
}

// A new address of discovery is asked at once, and again soon where that fails, however
// long the waits had become at the one before.
func TestMovedDiscoveryIsAskedSoon(t *testing.T) {
	conf := config(nowhere, "127.0.0.1:1")
	conf["settings"].(map[string]any)["membershipMode"] = "on_request"
	l := quietLoopOf(t, conf)
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
		l.pass(10 * time.Second)
		l.handle(input{kind: inTimer, token: followToken})
		l.handle(input{kind: inWatchEnded, from: l.disc, err: errSurplus})
		return waits()
	}
	for range 6 {
		fail()
	}
	if before := fail(); before < 1200 {
		t.Fatalf("asks again after %.0f ms though many calls failed", before)
	}
	l.pass(10 * time.Second)
	l.handle(input{kind: inTimer, token: followToken})
	l.handle(input{kind: inMoved, addrs: []string{"127.0.0.1:2"}})
	if !l.watching {
		t.Fatal("the new address is not asked")
	}
	l.handle(input{kind: inWatchEnded, from: l.disc, err: errSurplus})
	if after := waits(); after <= 0 || after > 1000 {
		t.Fatalf("asks the new address again after %.0f ms", after)
	}
}

// Whatever ended the calls before, what discovery has to tell is heard within 6 s of the moment
// from which it answers well again: with refusals, resets, silence at every place, answers that
// trickle or never end, and a new configuration in the midst of it.
func TestToldWithinSixSeconds(t *testing.T) {
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
						open(2, host(0, "127.0.0.1:1", "ready"))(w, r)
					} else {
						fault(w, r)
					}
				}
				addr, _ := lists(t, serve)
				other, _ := lists(t, serve)
				conf := config(addr, "127.0.0.1:1")
				set := conf["settings"].(map[string]any)
				set["membershipMode"], set["replicasOfMe"] = "on_request", 300
				a, _, _, _ := start(t, conf)
				time.Sleep(9 * time.Second) // some calls have failed
				if moved {
					conf["discovery"] = other
					a.Reconfigure(parse(t, conf))
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
				case <-time.After(soon):
					t.Errorf("%s, moved %v: never told", name, moved)
				}
			})
		}
	}
	all.Wait()
}
