package agent

import (
	"context"
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

// logCounter counts the lines of a log and keeps the attributes of the last one.
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

// However often discovery fails, few lines are logged about it, and they report how many were
// suppressed.
func TestDiscoveryLogIsRateLimited(t *testing.T) {
	l := offlineLoop(t, "127.0.0.1:1")
	handler := &countingHandler{}
	l.log = slog.New(handler)
	for range 2000 {
		l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	}
	if handler.lines < 10 || handler.lines > 30 {
		t.Errorf("%d lines of 2000 failures", handler.lines)
	}
	l.logLimiter = endpoints.TokenBucket{Burst: 10}
	l.handle(event{kind: eventFailover, addr: "127.0.0.1:2", err: io.EOF})
	if !strings.Contains(handler.last, "suppressed_lines=") {
		t.Errorf("logged %q", handler.last)
	}
}

// scriptedDiscovery returns a discovery whose watch writes lines and then stays open or ends, and
// the events that it posts.
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

// changeLine is a change in which server s-0 drains.
const changeLine = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// A watch ends at a malformed line, after delivering the lines before it.
func TestMalformedLineEndsWatch(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, true, "", changeLine, `{"seq":3,"hosts":7}`)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventListChanged || e.list.Seq != 2 || e.list.Endpoints[0].Health != "draining" {
		t.Fatalf("got event %+v", e)
	}
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// A server whose entry can't be read is delivered as draining, and the watch goes on.
func TestUnreadableEntryIsDelivered(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, true, `{"seq":3,"hosts":[{"host":"s-0","health":"odd"}]}`, changeLine)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.watch(ctx, 1)
	e := receive(t, "the list with the entry", observed)
	if e.kind != eventListChanged || e.list.Seq != 3 || e.list.Endpoints[0].Health != endpoints.Draining || e.list.EntryError == nil {
		t.Fatalf("got event %+v", e)
	}
	if e := receive(t, "the next list", observed); e.kind != eventListChanged || e.list.Seq != 2 {
		t.Fatalf("got event %+v", e)
	}
}

// A watch on which nothing arrives ends.
func TestUnresponsiveWatchEnds(t *testing.T) {
	d, observed := scriptedDiscovery(t, time.Millisecond, true)
	d.watch(context.Background(), 1)
	if e := <-observed; e.kind != eventWatchEnded || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// A fetch reports the full list or an error.
func TestFetchReportsListOrError(t *testing.T) {
	d, observed := scriptedDiscovery(t, noTimeout, false, strings.Replace(changeLine, "false", "true", 1))
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err != nil || !e.list.Full || e.list.Seq != 2 {
		t.Fatalf("got event %+v", e)
	}
	d, observed = scriptedDiscovery(t, noTimeout, false, "no list")
	d.fetch(context.Background(), 0)
	if e := <-observed; e.kind != eventListFetched || e.err == nil {
		t.Fatalf("got event %+v", e)
	}
}

// After the end of a watch the balancer opens the next one.
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
		t.Fatalf("query %q", q)
	}
	if q := <-requests; q != "follow=1&since=2" {
		t.Fatalf("second query %q", q)
	}
}
