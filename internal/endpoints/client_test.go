package endpoints

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stubService is a client's transport that simulates a list service with several addresses. It uses no
// sockets, so that it can run on the clock of a synctest bubble.
type stubService struct {
	mu        sync.Mutex
	addresses map[string]*stubAddress
	calls     []string // address and query, in order
	callTimes []time.Time
}

// stubAddress defines how one address responds to a call: it rejects the call, or sends its list and then
// a blank line every 2 s until closeWatch receives a value.
type stubAddress struct {
	status         int
	header         http.Header
	version        int64
	silent         bool       // sends nothing after the list
	closeWatch     chan error // receives the error that ends the running watch; nil: closes it normally
	otherAddresses string     // header of the last call
}

func (s *stubService) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r.URL.Host+"?"+r.URL.RawQuery)
	s.callTimes = append(s.callTimes, time.Now())
	address := s.addresses[r.URL.Host]
	if address == nil {
		return nil, errors.New("connection refused")
	}
	address.otherAddresses = r.Header.Get(OtherAddressesHeader)
	resp := &http.Response{StatusCode: address.status, Status: fmt.Sprint(address.status), Header: address.header, Body: http.NoBody, Request: r}
	if address.header == nil {
		resp.Header = http.Header{}
	}
	if address.status != http.StatusOK {
		return resp, nil
	}
	text, _ := json.Marshal(List{Seq: address.version, Full: true, Endpoints: []Endpoint{{Name: r.URL.Host, Dial: "127.0.0.1:9", Health: Ready}}})
	text = append(text, '\n')
	if r.URL.RawQuery == "" {
		resp.Body = io.NopCloser(strings.NewReader(string(text)))
		return resp, nil
	}
	body, writer := io.Pipe()
	resp.Body = body
	address.closeWatch = make(chan error, 1)
	go address.serveWatch(r.Context(), writer, text, address.closeWatch, address.silent)
	return resp, nil
}

// serveWatch writes the list and then heartbeats. It takes the state of the address as arguments because
// a later call may change it.
func (a *stubAddress) serveWatch(ctx context.Context, writer *io.PipeWriter, list []byte, closeWatch <-chan error, silent bool) {
	_, _ = writer.Write(list)
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if !silent {
				_, _ = writer.Write([]byte("\n"))
			}
		case err := <-closeWatch:
			writer.CloseWithError(err)
			return
		case <-ctx.Done():
			writer.CloseWithError(ctx.Err())
			return
		}
	}
}

func (s *stubService) set(addr string, address *stubAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[addr] = address
}

// requestedAddresses returns the addresses of the calls so far, in order.
func (s *stubService) requestedAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, c := range s.calls {
		host, _, _ := strings.Cut(c, "?")
		hosts = append(hosts, host)
	}
	return hosts
}

// runClient runs a test in a synctest bubble, with a client of a list service that has n addresses. The
// test receives the addresses in the client's order.
func runClient(t *testing.T, n int, test func(t *testing.T, s *stubService, c *Client, order []string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &stubService{addresses: map[string]*stubAddress{}}
		c := NewClient(ClientConfig{Addresses: testAddresses(n), OrderSeed: 7, Fleet: 10, RejectOlder: true, Transport: s})
		var order []string
		for _, candidate := range c.selector.candidates {
			order = append(order, candidate.addr)
		}
		test(t, s, c, order)
	})
}

// servingVersion returns an address that serves a list of the given version.
func servingVersion(version int64) *stubAddress {
	return &stubAddress{status: http.StatusOK, version: version}
}

// A watch fails over from an address that refuses the connection, returns an error, is busy, has no
// current list, has an older list than the reader, or sends nothing for too long, and stays at a healthy
// address.
func TestWatchFailsOverToNextAddress(t *testing.T) {
	busy := &stubAddress{status: 503, header: http.Header{"Retry-After": {"1.5"}, "Not-Applied": {"1"}}}
	stale := &stubAddress{status: 503, header: http.Header{"Retry-After": {"0.2"}}}
	silent := servingVersion(5)
	silent.silent = true
	for name, first := range map[string]*stubAddress{"refused": nil, "error": {status: 500}, "busy": busy, "stale": stale,
		"older": servingVersion(3), "silent": silent} {
		t.Run(name, func(t *testing.T) {
			runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string) {
				if first != nil {
					s.set(order[0], first)
				}
				s.set(order[1], servingVersion(6))
				s.set(order[2], servingVersion(6))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				began := time.Now()
				var received []List
				go func() { done <- c.Watch(ctx, 5, func(l List) { received = append(received, l) }) }()
				time.Sleep(WatchSilenceTimeout + time.Second)
				synctest.Wait()
				if got := s.requestedAddresses(); len(got) != 2 || got[0] != order[0] || got[1] != order[1] {
					t.Errorf("requested %v, the order is %v", got, order)
				}
				if n := len(received); n == 0 || received[n-1].Seq != 6 || received[0].Seq < 5 {
					t.Errorf("received %+v", received)
				}
				if s.addresses[order[1]].otherAddresses != "2" {
					t.Errorf("sent %q as the number of other addresses", s.addresses[order[1]].otherAddresses)
				}
				if name != "silent" && s.callTimes[1].Sub(began) > 2*initialBackoff {
					t.Errorf("called the next address after %v", s.callTimes[1].Sub(began))
				}
				time.Sleep(time.Minute) // the watch stays at the address
				synctest.Wait()
				if len(s.requestedAddresses()) != 2 {
					t.Errorf("requested %v", s.requestedAddresses())
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

// If no address responds, a round calls each address at most once, and the budget, which refills over
// time, limits the calls of many consecutive rounds.
func TestBudgetBoundsCallsOfFailingRounds(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string) {
		for range 100 {
			if err := c.Watch(t.Context(), 0, nil); err == nil {
				t.Fatal("a watch without a server returned no error")
			}
		}
		if n, exhausted := len(s.requestedAddresses()), c.BudgetExhausted(); n < 103 || n > 107 || exhausted < 90 {
			t.Errorf("100 consecutive rounds made %d calls, %d ended by the budget", n, exhausted)
		}
		time.Sleep(time.Minute)
		before := len(s.requestedAddresses())
		_ = c.Watch(t.Context(), 0, nil)
		if n := len(s.requestedAddresses()) - before; n != 3 {
			t.Errorf("a round after a minute made %d calls, want 3", n)
		}
	})
}

// A watch that its server closes normally continues at the next address in the reader's order, from the
// reader's version, and does not soon return to the first address.
func TestClosedWatchContinuesAtNextAddress(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string) {
		for i, addr := range order {
			s.set(addr, servingVersion(int64(10+i)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Watch(ctx, 5, func(List) {}) }()
		for i := range order[:2] {
			time.Sleep(time.Second)
			synctest.Wait()
			s.addresses[order[i]].closeWatch <- nil
		}
		time.Sleep(time.Second)
		synctest.Wait()
		want := fmt.Sprintf("%s?follow=1&since=5 %s?follow=1&since=10 %s?follow=1&since=11", order[0], order[1], order[2])
		if got := strings.Join(s.calls, " "); got != want {
			t.Errorf("requested %s, want %s", got, want)
		}
		// When the address of the watch is removed, the watch continues at one of the others.
		c.SetAddresses(order[:2])
		s.set(order[0], servingVersion(20))
		s.set(order[1], servingVersion(20))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := s.requestedAddresses(); len(got) != 4 || got[3] == order[2] {
			t.Errorf("requested %v after %s was removed", got, order[2])
		}
		cancel()
		synctest.Wait()
	})
}

// A fetch returns the list of the first address whose list is not older than the reader's version.
func TestFetchSkipsStaleLists(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string) {
		s.set(order[0], servingVersion(4))
		s.set(order[2], servingVersion(9))
		l, err := c.Fetch(t.Context(), 5)
		if err != nil || l.Seq != 9 {
			t.Errorf("got %+v, %v", l, err)
		}
		s.set(order[2], servingVersion(4))
		time.Sleep(time.Minute)
		if l, err := c.Fetch(t.Context(), 5); err == nil {
			t.Errorf("accepted version %d, older than 5", l.Seq)
		}
	})
}

// An unreadable entry counts as draining, or is left out if it has no name; the other entries are read.
func TestUnreadableEntriesDoNotHideOthers(t *testing.T) {
	validEntry := `{"host":"s-1","dial":"127.0.0.1:1","health":"draining"}`
	for entry, want := range map[string]string{
		`{"host":"s-2","dial":"127.0.0.1:2","health":"resting"}`:              "s-1 draining, s-2 draining: hosts[1].health: unknown word \"resting\"",
		`{"host":"s-2","dial":"nowhere","health":"ready"}`:                    "s-1 draining, s-2 draining: hosts[1].dial",
		`{"host":"s-2","dial":"127.0.0.1:2","health":7}`:                      "s-1 draining, s-2 draining: json",
		`{"host":"s-2","dial":"127.0.0.1:2","health":"ready","service":[]}`:   "s-1 draining, s-2 ready: json",
		`{"host":"s-2","dial":"127.0.0.1:2","health":"ready","born_ms":"no"}`: "s-1 draining, s-2 ready: json",
		`{"dial":"127.0.0.1:2","health":"ready"}`:                             "s-1 draining: hosts[1].host: missing",
		`7`: "s-1 draining: json",
	} {
		list, err := Parse([]byte(`{"seq":4,"whole":false,"hosts":[` + validEntry + `,` + entry + `]}`))
		if err != nil {
			t.Errorf("%s: %v", entry, err)
			continue
		}
		var got []string
		for _, e := range list.Endpoints {
			got = append(got, e.Name+" "+e.Health)
		}
		if text := fmt.Sprintf("%s: %v", strings.Join(got, ", "), list.EntryError); !strings.HasPrefix(text, want) {
			t.Errorf("%s: %q, want %q", entry, text, want)
		}
	}
	for _, text := range []string{`{"seq":"4","hosts":[]}`, `{"seq":4,"hosts":7}`, `{"seq":4,"hosts":[`, `[]`} {
		if list, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: accepted as %+v", text, list)
		}
	}
}

// For any text, Parse returns an error, or a list in which each entry has a name and is readable or counts
// as draining.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"seq":2,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready","share":1,"born_ms":5}]}`))
	f.Add([]byte(`{"seq":-1,"hosts":[{"host":"","health":"gone"}]}`))
	f.Add([]byte(`{"hosts":[{"host":"a","dial":"[::1]:99999","health":"draining","share":1e999}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		for i := range l.Endpoints {
			e := &l.Endpoints[i]
			unreadable := e.Health != Ready && e.Health != Draining && e.Health != Removed || e.Health != Removed && !IsAddress(e.Dial)
			if e.Name == "" || unreadable && (e.Health != Draining || l.EntryError == nil) {
				t.Errorf("accepted %+v, entry error %v", e, l.EntryError)
			}
			if e.Validate() == nil {
				// A valid name can be used in a path and is unchanged when the path is parsed.
				u, err := url.Parse("http://a/v1/servers/" + e.Name)
				if err != nil || u.Path != "/v1/servers/"+e.Name || !(e.Weight >= 0) || strconv.Itoa(e.Block) == "" {
					t.Errorf("accepted the name %q: %v", e.Name, err)
				}
			}
		}
	})
}

// scriptedTransport is a service whose watch writes texts with a pause after each, and then nothing more.
type scriptedTransport struct {
	texts []string
	pause time.Duration
}

func (s scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, writer := io.Pipe()
	go func() {
		for _, text := range s.texts {
			if _, err := io.WriteString(writer, text); err != nil {
				return
			}
			select {
			case <-time.After(s.pause):
			case <-r.Context().Done():
			}
		}
	}()
	context.AfterFunc(r.Context(), func() { writer.CloseWithError(r.Context().Err()) })
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

// A list in a watch may be indented and have braces inside strings, and is received once it is complete.
// Bytes that never complete a list don't keep the watch alive, however they are split.
func TestWatchDecodesListsAndDetectsSilence(t *testing.T) {
	const indented = "{\n  \"seq\": 6,\n  \"whole\": false,\n  \"hosts\": [\n    {\"host\": \"a}\\\"]\",\n" +
		"     \"dial\": \"127.0.0.1:9\", \"health\": \"draining\"}\n  ]\n}\n"
	endless := []string{"{\"seq\": 7, \"hosts\": [\n"}
	blanks := []string{}
	for range 100 {
		endless = append(endless, "\n", "   \n")
		blanks = append(blanks, " ")
	}
	for name, c := range map[string]struct {
		texts    []string
		lists    int
		duration time.Duration // from the start to the silence timeout
	}{
		"indented":              {[]string{indented, "\n", indented}, 2, 2*time.Second + WatchSilenceTimeout},
		"indented, in pieces":   {strings.SplitAfter(indented, "]"), 1, 2*time.Second + WatchSilenceTimeout},
		"silent from the start": {nil, 0, WatchSilenceTimeout},
		"silent within a line":  {[]string{"\n", indented[:20]}, 0, WatchSilenceTimeout},
		"an object without end": {endless, 0, WatchSilenceTimeout},
		"a line without end":    {blanks, 0, WatchSilenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: scriptedTransport{c.texts, time.Second}})
				lists, began := 0, time.Now()
				err := client.Watch(t.Context(), 5, func(l List) {
					if lists++; l.Seq != 6 || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "a}\"]" {
						t.Errorf("received %+v", l)
					}
				})
				duration := time.Since(began)
				synctest.Wait()
				if !errors.Is(err, errSilenceTimeout) || lists != c.lists || duration != c.duration {
					t.Errorf("received %d lists, ended after %v: %v", lists, duration, err)
				}
			})
		})
	}
}

// A line that is not a list ends the watch, even if its brackets never match.
func TestWatchRejectsMalformedLists(t *testing.T) {
	for _, text := range []string{"}\n", "x\n", "[1]\n", "{\"seq\":\"\n", "{}}\n", "{\"a\":[}]}\n"} {
		synctest.Test(t, func(t *testing.T) {
			client := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: scriptedTransport{[]string{text}, 0}})
			err := client.Watch(t.Context(), 5, func(l List) { t.Errorf("%q: received %+v", text, l) })
			if err == nil || errors.Is(err, errSilenceTimeout) {
				t.Errorf("%q ended with %v", text, err)
			}
		})
	}
}
