package server

import (
	"bufio"
	"errors"
	"net/http"
	"net/http/httputil"
	"os"
	"testing"
	"time"

	"knotrouter/internal/lab/check"
)

func TestServesRequestsOnceStarted(t *testing.T) {
	ts := newTestServer(t, nil)
	_, r := ts.newRequest("a", classLook, 1)
	ts.sendAndExpect("before its start", outcomeRefused, r)
	ts.start(Version{Name: "1"}, false)

	request, r := ts.newRequest("b", classLook, 1)
	if body := ts.sendAndExpect("after its start", "200", r); body != "b s-0 0\n" {
		t.Errorf("body of the response: %q", body)
	}
	if all, started := request.Attempts(); all != 1 || started != 1 {
		t.Errorf("%d attempts, %d possibly started, want 1 and 1", all, started)
	}
}

func TestRejectsRequestsThatNoClientSent(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	for name, modify := range map[string]func(*http.Request){
		"an unknown id":           func(r *http.Request) { r.Header.Set("Request-Id", "made up") },
		"another path":            func(r *http.Request) { r.URL.Path = "/look/other" },
		"another query":           func(r *http.Request) { r.URL.RawQuery = "x=1" },
		"another method":          func(r *http.Request) { r.Method = "DELETE" },
		"another idempotency key": func(r *http.Request) { r.Header.Set("Idempotency-Key", "new") },
	} {
		_, r := ts.newRequest("bad "+name, classLook, 1)
		modify(r)
		ts.sendAndExpect(name, "400", r)
	}
	if _, count := ts.checker.Breaches(); count[check.RuleUnknown] != 5 {
		t.Errorf("breaches %v, want five unknown requests", count)
	}
	_, r := ts.newRequest("no id", classLook, 1)
	r.Header.Del("Request-Id")
	ts.sendAndExpect("without an id", "404", r)
}

// The server has one slot and a queue of one. A rejected request counts as not started. A request that is
// canceled while it runs counts as possibly started.
func TestRejectsRequestsBeyondTheQueue(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	running, r := ts.newRequest("running", classLook, 1e6)
	cancelRunning := ts.sendInBackground(r)
	ts.waitUntil("running", func() bool { return ts.State().InFlight == 1 })
	_, r = ts.newRequest("queued", classLook, 1)
	cancelQueued := ts.sendInBackground(r)
	ts.waitUntil("queued", func() bool { return ts.State().Queued == 1 })

	rejected, r := ts.newRequest("rejected", classLook, 1)
	ts.sendAndExpect("beyond the queue", outcomeNotStarted+"503", r)
	if _, started := rejected.Attempts(); started != 0 {
		t.Error("a rejected request counts as possibly started")
	}

	cancelRunning()
	cancelQueued()
	ts.waitUntil("without requests after the cancellation", func() bool { return ts.State().InFlight == 0 })
	if _, started := running.Attempts(); started != 1 {
		t.Error("a request that was canceled while it ran counts as not started")
	}
}

func TestResponseFaults(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	for _, fault := range []struct {
		name    string
		faults  Faults
		outcome string
	}{
		{"error", Faults{ErrorShare: 1}, "500"},
		{"reset", Faults{ResetShare: 1}, outcomeBroken},
		{"truncated response", Faults{TruncatedShare: 1}, outcomeBroken},
		{"no fault", Faults{}, "200"},
	} {
		ts.SetFaults(fault.faults)
		_, r := ts.newRequest(fault.name, classLook, 1)
		ts.sendAndExpect(fault.name, fault.outcome, r)
	}
}

func TestRejectsRequestsAfterDeadlineAndDuringDrain(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	late, r := ts.newRequest("late", classLook, 1)
	late.Deadline = 0
	ts.sendAndExpect("after its deadline", outcomeNotStarted+"504", r)
	ts.Drain()
	_, r = ts.newRequest("drained", classLook, 1)
	ts.sendAndExpect("while the server drains", outcomeNotStarted+"503", r)
	ts.Kill()
	_, r = ts.newRequest("killed", classLook, 1)
	if got, _ := ts.send(r); got != outcomeRefused && got != outcomeBroken {
		t.Errorf("request to a killed server: %s", got)
	}
}

// With the fault each response, including that to a health check, is sent a second time on its
// connection, unchanged and not before minRepeatDelay. Without the fault nothing follows a response.
func TestRepeatedResponses(t *testing.T) {
	ts := newTestServer(t, nil).start(Version{Name: "1"}, false)
	c := ts.dial()
	reader := bufio.NewReader(c)
	readResponse := func() string {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := httputil.DumpResponse(resp, true)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	ts.SetFaults(Faults{RepeatedShare: 1})
	_, request := ts.newRequest("twice", classLook, 1)
	for i, r := range []*http.Request{request, ts.newProbe("/health")} {
		if err := r.Write(c); err != nil {
			t.Fatal(err)
		}
		first, at := readResponse(), time.Now()
		if second := readResponse(); second != first {
			t.Errorf("%s: first response\n%s\nsecond response\n%s", r.URL.Path, first, second)
		}
		if took := time.Since(at); took < minRepeatDelay/2 {
			t.Errorf("%s: the second response came %v after the first", r.URL.Path, took)
		}
		ts.waitUntil("counted as repeated", func() bool { return ts.Repeated.Load() == int64(i+1) })
	}
	ts.SetFaults(Faults{})
	_, r := ts.newRequest("once", classLook, 1)
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	readResponse()
	_ = c.SetReadDeadline(time.Now().Add(5 * maxRepeatDelay))
	if n, err := reader.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without the fault %d bytes follow a response, error %v", n, err)
	}
}

// The seed determines which responses are repeated and after what delay.
func TestSeedDeterminesRepeats(t *testing.T) {
	const draws = 1000
	first, second := newTestServer(t, nil), newTestServer(t, nil)
	first.SetFaults(Faults{RepeatedShare: 0.3})
	second.SetFaults(Faults{RepeatedShare: 0.3})
	repeated := 0
	for range draws {
		delay := first.drawRepeatDelay()
		if other := second.drawRepeatDelay(); other != delay {
			t.Fatalf("the same seed draws %v and %v", delay, other)
		}
		if delay == 0 {
			continue
		}
		repeated++
		if delay < minRepeatDelay || delay > maxRepeatDelay {
			t.Errorf("a delay of %v is out of bounds", delay)
		}
	}
	if repeated < draws/5 || repeated > 2*draws/5 {
		t.Errorf("%d of %d responses are repeated, want about 30 %%", repeated, draws)
	}
}
