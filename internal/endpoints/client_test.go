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

// stubService is some addresses of a list stubService without sockets, for a clock of its own.
type stubService struct {
	mu        sync.Mutex
	addresses map[string]*stubAddress
	calls     []string // address and query
	callTimes []time.Time
}

// stubAddress is what an address does with a watch: it refuses it, or writes its version and
// then beats, until it is told to end.
type stubAddress struct {
	status         int
	header         http.Header
	version        int64
	silent         bool // no line after the first
	closeWatch     chan error
	otherAddresses string
}

func (s *stubService) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r.URL.Host+"?"+r.URL.RawQuery)
	s.callTimes = append(s.callTimes, time.Now())
	p := s.addresses[r.URL.Host]
	if p == nil {
		return nil, errors.New("connection refused")
	}
	p.otherAddresses = r.Header.Get(OtherAddressesHeader)
	resp := &http.Response{StatusCode: p.status, Status: fmt.Sprint(p.status), Header: p.header, Body: http.NoBody, Request: r}
	if p.header == nil {
		resp.Header = http.Header{}
	}
	if p.status != http.StatusOK {
		return resp, nil
	}
	text, _ := json.Marshal(List{Seq: p.version, Full: true, Endpoints: []Endpoint{{Name: r.URL.Host, Dial: "127.0.0.1:9", Health: Ready}}})
	text = append(text, '\n')
	if r.URL.RawQuery == "" {
		resp.Body = io.NopCloser(strings.NewReader(string(text)))
		return resp, nil
	}
	out, in := io.Pipe()
	resp.Body = out
	p.closeWatch = make(chan error, 1)
	end, mute := p.closeWatch, p.silent
	go func() {
		_, _ = in.Write(text)
		beat := time.NewTicker(2 * time.Second)
		defer beat.Stop()
		for {
			select {
			case <-beat.C:
				if !mute {
					_, _ = in.Write([]byte("\n"))
				}
			case err := <-end:
				in.CloseWithError(err)
				return
			case <-r.Context().Done():
				in.CloseWithError(r.Context().Err())
				return
			}
		}
	}()
	return resp, nil
}

func (s *stubService) set(addr string, p *stubAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[addr] = p
}

func (s *stubService) requestedHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, c := range s.calls {
		host, _, _ := strings.Cut(c, "?")
		hosts = append(hosts, host)
	}
	return hosts
}

// runClient plays a client over the service in a bubble of its own clock.
func runClient(t *testing.T, n int, play func(t *testing.T, s *stubService, c *Client, order []string, heard *[]List)) {
	synctest.Test(t, func(t *testing.T) {
		s := &stubService{addresses: map[string]*stubAddress{}}
		c := NewClient(ClientConfig{Addresses: testAddresses(n), Order: 7, Fleet: 10, RejectOlder: true, Transport: s})
		var order []string
		for _, p := range c.selector.candidates {
			order = append(order, p.addr)
		}
		var heard []List
		play(t, s, c, order, &heard)
	})
}

func servingVersion(version int64) *stubAddress {
	return &stubAddress{status: http.StatusOK, version: version}
}

// A watch goes from address to address: past those that refuse, fall silent, break, lag,
// send it away or know less than it has, and stays where all is well.
func TestWatchFailsOverToNextAddress(t *testing.T) {
	busy := &stubAddress{status: 503, header: http.Header{"Retry-After": {"1.5"}, "Not-Applied": {"1"}}}
	behind := &stubAddress{status: 503, header: http.Header{"Retry-After": {"0.2"}}}
	mute := servingVersion(5)
	mute.silent = true
	for name, first := range map[string]*stubAddress{"refused": nil, "error": {status: 500}, "busy": busy, "behind": behind,
		"older": servingVersion(3), "silent": mute} {
		t.Run(name, func(t *testing.T) {
			runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string, heard *[]List) {
				if first != nil {
					s.set(order[0], first)
				}
				s.set(order[1], servingVersion(6))
				s.set(order[2], servingVersion(6))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				began := time.Now()
				go func() { done <- c.Watch(ctx, 5, func(l List) { *heard = append(*heard, l) }) }()
				time.Sleep(WatchSilenceTimeout + time.Second)
				synctest.Wait()
				if got := s.requestedHosts(); len(got) != 2 || got[0] != order[0] || got[1] != order[1] {
					t.Errorf("asked %v of %v", got, order)
				}
				if n := len(*heard); n == 0 || (*heard)[n-1].Seq != 6 || (*heard)[0].Seq < 5 {
					t.Errorf("heard %+v", *heard)
				}
				if s.addresses[order[1]].otherAddresses != "2" {
					t.Errorf("said to know %q others", s.addresses[order[1]].otherAddresses)
				}
				if name != "silent" && s.callTimes[1].Sub(began) > 2*initialBackoff {
					t.Errorf("asked the next after %v", s.callTimes[1].Sub(began))
				}
				time.Sleep(time.Minute) // it stays
				synctest.Wait()
				if len(s.requestedHosts()) != 2 {
					t.Errorf("asked %v", s.requestedHosts())
				}
				cancel()
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

// With no address that answers, a round ends after each had its turn, and a fleet's rounds
// don't multiply its calls; the budget comes back with time.
func TestBudgetBoundsCallsOfFailingRounds(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string, _ *[]List) {
		for range 100 {
			if err := c.Watch(t.Context(), 0, nil); err == nil {
				t.Fatal("a watch of nothing")
			}
		}
		if n, held := len(s.requestedHosts()), c.BudgetExhausted(); n < 103 || n > 107 || held < 90 {
			t.Errorf("100 rounds at once made %d calls, held back %d", n, held)
		}
		time.Sleep(time.Minute)
		before := len(s.requestedHosts())
		_ = c.Watch(t.Context(), 0, nil)
		if n := len(s.requestedHosts()) - before; n != 3 {
			t.Errorf("a round after a minute made %d calls", n)
		}
	})
}

// A service that moves a watch finds it at another address and not back soon, the next in
// the reader's order; the version goes along.
func TestClosedWatchContinuesAtNextAddress(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string, heard *[]List) {
		for i, addr := range order {
			s.set(addr, servingVersion(int64(10+i)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Watch(ctx, 5, func(l List) { *heard = append(*heard, l) }) }()
		for i := range order[:2] {
			time.Sleep(time.Second)
			synctest.Wait()
			s.addresses[order[i]].closeWatch <- nil
		}
		time.Sleep(time.Second)
		synctest.Wait()
		want := fmt.Sprintf("%s?follow=1&since=5 %s?follow=1&since=10 %s?follow=1&since=11", order[0], order[1], order[2])
		if got := strings.Join(s.calls, " "); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
		// SIGHUP takes the address away at which it is: it goes on at one that stays.
		c.SetAddresses(order[:2])
		s.set(order[0], servingVersion(20))
		s.set(order[1], servingVersion(20))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := s.requestedHosts(); len(got) != 4 || got[3] == order[2] {
			t.Errorf("asked %v after %s was taken away", got, order[2])
		}
		cancel()
		synctest.Wait()
	})
}

// A whole list is fetched from the first that has one which is not older than the reader's.
func TestFetchSkipsStaleLists(t *testing.T) {
	runClient(t, 3, func(t *testing.T, s *stubService, c *Client, order []string, _ *[]List) {
		s.set(order[0], servingVersion(4))
		s.set(order[2], servingVersion(9))
		l, err := c.Fetch(t.Context(), 5)
		if err != nil || l.Seq != 9 {
			t.Errorf("got %+v, %v", l, err)
		}
		s.set(order[2], servingVersion(4))
		time.Sleep(time.Minute)
		if l, err := c.Fetch(t.Context(), 5); err == nil {
			t.Errorf("took version %d, older than 5", l.Seq)
		}
	})
}

// FuzzParse: no bytes upset the reader, and what it takes it can use.
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
			h := &l.Endpoints[i]
			if h.Name == "" || h.Health != Ready && h.Health != Draining && h.Health != Removed || h.Health != Removed && !IsAddress(h.Dial) {
				t.Errorf("took %+v", h)
			}
			if h.Validate() == nil {
				// A name that a service takes can stand in a path and comes back from it.
				u, err := url.Parse("http://a/v1/servers/" + h.Name)
				if err != nil || u.Path != "/v1/servers/"+h.Name || !(h.Weight >= 0) || strconv.Itoa(h.Block) == "" {
					t.Errorf("took the name %q: %v", h.Name, err)
				}
			}
		}
	})
}

// scriptedTransport is a service whose watch writes texts with waits between, and then is silent.
type scriptedTransport struct {
	texts []string
	pause time.Duration
}

func (w scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	out, in := io.Pipe()
	go func() {
		for _, text := range w.texts {
			if _, err := io.WriteString(in, text); err != nil {
				return
			}
			select {
			case <-time.After(w.pause):
			case <-r.Context().Done():
			}
		}
	}()
	context.AfterFunc(r.Context(), func() { in.CloseWithError(r.Context().Err()) })
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: out, Request: r}, nil
}

// What a watch writes may be indented, with what looks like an end inside a string, and is
// a list once it is whole; bytes that never make one are no sign of life, however they come.
func TestWatchDecodesListsAndDetectsSilence(t *testing.T) {
	const indented = "{\n  \"seq\": 6,\n  \"whole\": false,\n  \"hosts\": [\n    {\"host\": \"a}\\\"]\",\n" +
		"     \"dial\": \"127.0.0.1:9\", \"health\": \"draining\"}\n  ]\n}\n"
	endless := []string{"{\"seq\": 7, \"hosts\": [\n"}
	letters := []string{}
	for range 100 {
		endless = append(endless, "\n", "   \n")
		letters = append(letters, " ")
	}
	for name, c := range map[string]struct {
		texts  []string
		heard  int
		lasted time.Duration // from the begin to the end by silence
	}{
		"indented":              {[]string{indented, "\n", indented}, 2, 2*time.Second + WatchSilenceTimeout},
		"indented, in pieces":   {strings.SplitAfter(indented, "]"), 1, 2*time.Second + WatchSilenceTimeout},
		"silent from the start": {nil, 0, WatchSilenceTimeout},
		"silent within a line":  {[]string{"\n", indented[:20]}, 0, WatchSilenceTimeout},
		"an object without end": {endless, 0, WatchSilenceTimeout},
		"a line without end":    {letters, 0, WatchSilenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: scriptedTransport{c.texts, time.Second}})
				heard, began := 0, time.Now()
				err := cl.Watch(t.Context(), 5, func(l List) {
					if heard++; l.Seq != 6 || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "a}\"]" {
						t.Errorf("heard %+v", l)
					}
				})
				lasted := time.Since(began)
				synctest.Wait()
				if !errors.Is(err, errSilenceTimeout) || heard != c.heard || lasted != c.lasted {
					t.Errorf("heard %d lists, ended after %v: %v", heard, lasted, err)
				}
			})
		})
	}
}

// A line that is no list ends the watch, also where its brackets never match.
func TestWatchRejectsMalformedLists(t *testing.T) {
	for _, text := range []string{"}\n", "x\n", "[1]\n", "{\"seq\":\"\n", "{}}\n", "{\"a\":[}]}\n"} {
		synctest.Test(t, func(t *testing.T) {
			cl := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: scriptedTransport{[]string{text}, 0}})
			err := cl.Watch(t.Context(), 5, func(l List) { t.Errorf("%q: heard %+v", text, l) })
			if err == nil || errors.Is(err, errSilenceTimeout) {
				t.Errorf("%q ended with %v", text, err)
			}
		})
	}
}
