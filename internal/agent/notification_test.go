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

// discoveryServer starts a discovery server that answers with serve and sends the query string of each
// request to the channel.
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

// serveList returns a handler that writes a full list and keeps a watch open.
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

// Over HTTP, lists are received on a watch in the push mode too: without a watch the agent would never be
// notified of a drain.
func TestPushedListIsWatched(t *testing.T) {
	old, _ := countingBackend(t, 200, false)
	good, received := countingBackend(t, 200, false)
	discoveryAddr, requests := discoveryServer(t, serveList(2, hostEntry(0, old, "draining"), hostEntry(1, good, "ready")))
	config := testConfig(discoveryAddr, old)
	settings := config["settings"].(map[string]any)
	settings["contract"].(map[string]any)["askWithinMs"], settings["replicasOfMe"] = 0, 300
	startedAt := time.Now()
	_, base, _, _ := startAgent(t, config)
	select {
	case q := <-requests:
		if q != "follow=1&since=1" {
			t.Fatalf("query %q", q)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("discovery was not called")
	}
	if took := time.Since(startedAt); took > 200*time.Millisecond {
		t.Fatalf("discovery was called only after %v, although the agent counts as notified from the start", took)
	}
	for end := time.Now().Add(20 * time.Second); len(received) == 0; { // until the list is applied
		if send(t, newCall(base, "order")); time.Now().After(end) {
			t.Fatal("the agent was not notified of the drain")
		}
	}
	for range 5 {
		if status, _, _ := send(t, newCall(base, "order")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	if len(received) != 6 {
		t.Fatalf("%d of 6 requests reached the backend that is not draining", len(received))
	}
}

// A new discovery address is polled at once, and soon again if that fails, however long the backoff had become
// at the previous address.
func TestChangedDiscoveryIsPolledSoon(t *testing.T) {
	config := testConfig(unreachableAddr, "127.0.0.1:1")
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	l := offlineLoopWithConfig(t, config)
	const pollTimerToken = 2
	nextPollMs := func() (ms float64) {
		for _, act := range l.actions {
			if act.Token == pollTimerToken && act.Ms > 0 {
				ms = act.Ms
			}
		}
		return ms
	}
	failPoll := func() float64 {
		l.advanceClock(10 * time.Second)
		l.handle(event{kind: eventTimer, token: pollTimerToken})
		l.handle(event{kind: eventWatchEnded, source: l.discovery, err: errTrailingBytes})
		return nextPollMs()
	}
	for range 6 {
		failPoll()
	}
	if before := failPoll(); before < 1200 {
		t.Fatalf("the next call is due in only %.0f ms although many calls failed", before)
	}
	l.advanceClock(10 * time.Second)
	l.handle(event{kind: eventTimer, token: pollTimerToken})
	l.handle(event{kind: eventDiscoveryChanged, addrs: []string{"127.0.0.1:2"}})
	if !l.watching {
		t.Fatal("the new address was not called")
	}
	l.handle(event{kind: eventWatchEnded, source: l.discovery, err: errTrailingBytes})
	if after := nextPollMs(); after <= 0 || after > 1000 {
		t.Fatalf("the second call to the new address is due in %.0f ms", after)
	}
}

// silentDiscovery keeps a call open without an answer.
func silentDiscovery(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// writeFlushed writes text and flushes it to the agent.
func writeFlushed(w http.ResponseWriter, text string) {
	fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

// trickle returns a handler that sends first, and then text every 50 ms until the agent ends the call.
func trickle(first, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, first)
		for r.Context().Err() == nil {
			writeFlushed(w, text)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// silentAfter returns a handler that sends text, and then nothing until the agent ends the call.
func silentAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, text)
		silentDiscovery(w, r)
	}
}

// rejectLate rejects a call after two seconds.
func rejectLate(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(2 * time.Second):
	case <-r.Context().Done():
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// discoveryFaults are handlers with which discovery fails to answer.
var discoveryFaults = map[string]http.HandlerFunc{
	"503":                        func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"reset":                      func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) },
	"rejected late":              rejectLate,
	"silent from the first byte": silentDiscovery,
	"silent after the head":      silentAfter(""),
	"silent within a line":       silentAfter(`{"seq":2,"wh`),
	"trickles":                   trickle("", " "),
	"never ends":                 trickle(`{"seq":2,"hosts":[`+"\n", "\n\n"),
	"malformed":                  func(w http.ResponseWriter, r *http.Request) { writeFlushed(w, "}\n") },
}

// The agent is notified within 6 s after discovery answers correctly again, whatever the fault before was:
// rejections, resets, silence at any point, responses that trickle or never end, and with a reload of the
// configuration in between.
func TestNotifiedWithinSixSeconds(t *testing.T) {
	var wg sync.WaitGroup
	for name, fault := range discoveryFaults {
		for _, addrChanged := range []bool{false, true} {
			wg.Go(func() { // concurrently, as they mostly wait
				checkNotifiedAfterFault(t, fmt.Sprintf("%s, address changed %v", name, addrChanged), fault, addrChanged)
			})
		}
	}
	wg.Wait()
}

// checkNotifiedAfterFault starts an agent whose discovery server has the fault for some time, and checks how
// soon the agent is notified after that. If addrChanged is set, the discovery address changes before the
// fault ends.
func checkNotifiedAfterFault(t *testing.T, name string, fault http.HandlerFunc, addrChanged bool) {
	t.Helper()
	// failingTime is long enough for some calls to fail, failingTimeAfterChange for one at the new address.
	const failingTime, failingTimeAfterChange = 9 * time.Second, time.Second
	// maxNotification allows for a call that had just begun: it is aborted after 3.5 s of silence and retried
	// within 4 s of its start. The rest is for a slow machine.
	const maxNotification = 5 * time.Second
	written := make(chan time.Time, 100)
	var recovered atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !recovered.Load() {
			fault(w, r)
			return
		}
		written <- time.Now()
		serveList(2, hostEntry(0, "127.0.0.1:1", "ready"))(w, r)
	}
	addr, _ := discoveryServer(t, serve)
	otherAddr, _ := discoveryServer(t, serve)
	config := testConfig(addr, "127.0.0.1:1")
	settings := config["settings"].(map[string]any)
	settings["membershipMode"], settings["replicasOfMe"] = "on_request", 300
	a, _, _, _ := startAgent(t, config)
	time.Sleep(failingTime)
	if addrChanged {
		config["discovery"] = otherAddr
		a.Reconfigure(parseConfig(t, config))
		time.Sleep(failingTimeAfterChange)
	}
	recovered.Store(true)
	recoveredAt := time.Now()
	select {
	case at := <-written:
		if took := at.Sub(recoveredAt); took > maxNotification {
			t.Errorf("%s: notified after %v", name, took)
		}
	case <-time.After(testTimeout):
		t.Errorf("%s: never notified", name)
	}
}
