package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// countingHandler counts log lines and keeps the attributes of the last one.
type countingHandler struct {
	slog.Handler
	lines int
	last  string
}

func (c *countingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (c *countingHandler) Handle(_ context.Context, r slog.Record) error {
	c.lines++
	c.last = ""
	r.Attrs(func(a slog.Attr) bool { c.last += a.String() + " "; return true })
	return nil
}

// Log lines about failures of discovery are rate-limited, and the next line reports how many were suppressed.
func TestDiscoveryLogIsRateLimited(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1")
	handler := &countingHandler{}
	l.log = slog.New(handler)
	for range 2000 {
		l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	}
	if handler.lines < 10 || handler.lines > 30 {
		t.Errorf("%d lines logged for 2000 failures, want 10 to 30", handler.lines)
	}
	l.logLimiter = endpoints.TokenBucket{Burst: 10}
	l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	if !strings.Contains(handler.last, "suppressed_lines=") {
		t.Errorf("logged %q, want the number of suppressed lines", handler.last)
	}
}

// scriptedDiscovery returns a discovery client and the events that it posts. Its server writes the lines and then
// keeps the response open or ends it.
func scriptedDiscovery(t *testing.T, silenceTimeout time.Duration, keepOpen bool, lines ...string) (*discovery, chan event) {
	t.Helper()
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		w.(http.Flusher).Flush()
		if keepOpen {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	}))
	t.Cleanup(func() { close(release); s.Close() })
	events := make(chan event, 100)
	return newDiscovery(endpoints.ClientConfig{Addresses: []string{s.Listener.Addr().String()}, SilenceTimeout: silenceTimeout},
		func(e event) { events <- e }), events
}

// changeLine is a list change after which server s-0 drains.
const changeLine = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// A watch delivers the lines before a malformed line and then ends.
func TestMalformedLineEndsWatch(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, true, "", changeLine, `{"seq":3,"hosts":7}`)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventListChanged || e.list.Seq != 2 || e.list.Endpoints[0].Health != "draining" {
		t.Fatalf("unexpected event %+v", e)
	}
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("unexpected event %+v", e)
	}
}

// A server with an invalid entry is delivered as draining, and the watch continues.
func TestUnreadableEntryIsDelivered(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, true, `{"seq":3,"hosts":[{"host":"s-0","health":"odd"}]}`, changeLine)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.watch(ctx, 1)
	e := receive(t, "the list with the invalid entry", observed)
	if e.kind != eventListChanged || e.list.Seq != 3 || e.list.Endpoints[0].Health != endpoints.Draining || e.list.EntryError == nil {
		t.Fatalf("unexpected event %+v", e)
	}
	if e := receive(t, "the next list", observed); e.kind != eventListChanged || e.list.Seq != 2 {
		t.Fatalf("unexpected event %+v", e)
	}
}

// A watch ends if nothing arrives within the silence timeout.
func TestUnresponsiveWatchEnds(t *testing.T) {
	d, observed := scriptedDiscovery(t, time.Millisecond, true)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("unexpected event %+v", e)
	}
}

// A fetch posts the full list or an error.
func TestFetchReportsListOrError(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, false, strings.Replace(changeLine, "false", "true", 1))
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err != nil || !e.list.Full || e.list.Seq != 2 {
		t.Fatalf("unexpected event %+v", e)
	}
	d, observed = scriptedDiscovery(t, noTimeout, false, "no list")
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err == nil {
		t.Fatalf("unexpected event %+v", e)
	}
}

// After a watch has ended, the balancer opens the next one from the last received version.
func TestEndedWatchIsReopened(t *testing.T) {
	requests := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RawQuery
		fmt.Fprintln(w, changeLine)
	}))
	t.Cleanup(s.Close)
	config := testConfig(s.Listener.Addr().String(), "127.0.0.1:1")
	settings := config["settings"].(map[string]any)
	settings["membershipMode"] = "on_request"
	settings["contract"].(map[string]any)["askWithinMs"] = 10
	startAgent(t, config)
	if q := <-requests; q != "follow=1&since=1" {
		t.Fatalf("first query %q", q)
	}
	if q := <-requests; q != "follow=1&since=2" {
		t.Fatalf("second query %q", q)
	}
}

// Guards against a discovery that answers each call later than a watch may be silent and is never heard: the agent
// applies its first answer when it comes.
func TestLateDiscoveryIsHeard(t *testing.T) {
	t.Parallel()
	const late = endpoints.WatchSilenceTimeout + 500*time.Millisecond
	draining, _ := countingBackend(t, http.StatusOK, false)
	text, err := json.Marshal(map[string]any{"seq": 2, "whole": true, "hosts": []any{hostEntry(0, draining, "draining")}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(late)
		w.Write(append(text, '\n'))
		w.(http.Flusher).Flush()
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	config := testConfig(s.Listener.Addr().String(), draining)
	began := time.Now()
	a, base, _, _ := startAgent(t, config)
	if status, _, _ := send(t, newCall(base, "order")); status != http.StatusOK {
		t.Fatalf("answered %d with the cached list", status)
	}
	waitUntil(t, "the late list is applied", func() bool { return !a.loop.hasUsableBackend.Load() })
	if took := time.Since(began); took > late+time.Second {
		t.Errorf("the list was applied after %v, discovery answered after %v", took, late)
	}
}
