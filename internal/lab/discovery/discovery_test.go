package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
	"knotrouter/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ms   = time.Millisecond
	soon = 20 * time.Second
)

type stand struct {
	*Service
	t       *testing.T
	checker *check.Checker
	http    *http.Transport
}

func newStand(t *testing.T, c Config) *stand {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	set := &policy.Settings{Classes: []policy.Class{{Name: "look"}}, Contract: policy.Contract{DrainGraceMs: 0}}
	checker := check.New(clock, set, []string{"n0", "n1"}, []check.Server{{Name: "s-00"}, {Name: "s-01"}, {Name: "s-02"}})
	entries := []Entry{{Name: "s-00", Zone: "a", MachineType: "k", Cell: 1, Weight: 1.5, Health: "ready"},
		{Name: "s-01", Zone: "b", MachineType: "k", Health: "ready"}, {Name: "s-02", Zone: "a", MachineType: "k"}}
	addrs, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(addrs.Close)
	s, err := New(c, Env{Clock: clock, Checker: checker, Agents: []string{"n0", "n1"}, RecordEvent: func(string) {},
		DialAddr: func(agent, server int) string { return fmt.Sprintf("127.0.%d.%d:80", agent, server) }}, addrs, entries, 1)
	if err != nil {
		t.Fatal(err)
	}
	st := &stand{Service: s, t: t, checker: checker, http: &http.Transport{DisableKeepAlives: true}}
	t.Cleanup(s.Close)
	return st
}

// get opens a call; the body is the caller's to close.
func (st *stand) get(ctx context.Context, number int, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+st.Addr(number)+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	return st.http.RoundTrip(req)
}

// watch follows an agent's list; the channel ends with the watch.
func (st *stand) watch(number int, since int64) <-chan endpoints.List {
	st.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	st.t.Cleanup(cancel)
	resp, err := st.get(ctx, number, fmt.Sprintf("?follow=1&since=%d", since))
	if err != nil {
		st.t.Fatal(err)
	}
	lists := make(chan endpoints.List, 100)
	go func() {
		defer close(lists)
		defer resp.Body.Close()
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var l endpoints.List
			if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &l) == nil {
				lists <- l
			}
		}
	}()
	return lists
}

func next(t *testing.T, lists <-chan endpoints.List) endpoints.List {
	t.Helper()
	l, ok := <-lists
	if !ok {
		t.Fatal("the watch ended")
	}
	return l
}

func names(l endpoints.List) (out string) {
	for _, h := range l.Endpoints {
		out += h.Name + " " + h.Health + ";"
	}
	return out
}

// A list has the platform's form, each agent's own addresses, and only what is there; a
// watch tells what changed since, together what came together, or the whole list where
// it can't tell what changed.
func TestListsAndWatches(t *testing.T) {
	st := newStand(t, Config{BatchInterval: 100 * ms})
	resp, err := st.get(context.Background(), 1, "")
	if err != nil {
		t.Fatal(err)
	}
	var whole endpoints.List
	err = json.NewDecoder(resp.Body).Decode(&whole)
	resp.Body.Close()
	if err != nil || whole.Seq != 41 || !whole.Full || names(whole) != "s-00 ready;s-01 ready;" {
		t.Fatalf("%+v, %v", whole, err)
	}
	if h := whole.Endpoints[0]; h.Dial != "127.0.1.0:80" || h.Site != "a" || h.Class != "k" || h.Block != 1 || h.Weight != 1.5 {
		t.Errorf("entry %+v", h)
	}
	w := st.watch(0, 41)
	if l := next(t, w); l.Full || len(l.Endpoints) != 0 || l.Seq != 41 {
		t.Errorf("first line of an up-to-date watch: %+v", l)
	}
	st.ReportHealth(2, "ready", 77, false)
	for st.List(0, 0, true).Seq < 42 {
		time.Sleep(ms)
	}
	st.ReportHealth(1, "draining", 0, false)
	told, lines := "", 0
	for l := (endpoints.List{}); l.Seq < 43; lines++ {
		if l = next(t, w); l.Full || len(l.Endpoints) > 0 && l.Endpoints[0].Name == "s-02" && l.Endpoints[0].StartedMs != 77 {
			t.Errorf("a change: %+v", l)
		}
		told += names(l)
	}
	if told != "s-02 ready;s-01 draining;" || lines > 2 {
		t.Errorf("two changes in %d lines: %s", lines, told)
	}
	for name, since := range map[string]int64{"before its history": 3, "from the future": 900} {
		if l := next(t, st.watch(0, since)); !l.Full || names(l) != "s-00 ready;s-01 draining;s-02 ready;" {
			t.Errorf("%s: %+v", name, l)
		}
	}
	if l := next(t, st.watch(0, 42)); l.Full || names(l) != "s-01 draining;" {
		t.Errorf("one behind: %+v", l)
	}
	st.ReportHealth(1, "gone", 0, false)
	if l := next(t, w); names(l) != "s-01 gone;" {
		t.Errorf("gone: %+v", l)
	}
	if l := st.List(0, 0, true); names(l) != "s-00 ready;s-02 ready;" {
		t.Errorf("a whole list names what is gone: %s", names(l))
	}
}

// News that something newer overtook is not listed.
func TestOvertakenNews(t *testing.T) {
	st := newStand(t, Config{RemovalDelay: []time.Duration{300 * ms, 300 * ms}, StartDelay: []time.Duration{10 * ms, 10 * ms}})
	st.ReportHealth(0, "gone", 0, false)
	st.ReportHealth(0, "ready", 5, false)
	w := st.watch(0, 41)
	next(t, w)
	if l := next(t, w); names(l) != "s-00 ready;" || l.Endpoints[0].StartedMs != 5 {
		t.Errorf("%+v", l)
	}
	select {
	case l := <-w:
		t.Errorf("the older news came after it: %+v", l)
	case <-time.After(500 * ms):
	}
}

// While it is down calls are refused and watches have ended; it comes back at the same
// address. A move is a new address, and the old one ends after a while.
func TestDownAndMove(t *testing.T) {
	st := newStand(t, Config{})
	w := st.watch(0, 41)
	next(t, w)
	st.StartOutage()
	if _, open := <-w; open {
		t.Error("a watch outlives the service")
	}
	if resp, err := st.get(context.Background(), 0, ""); err == nil {
		resp.Body.Close()
		t.Errorf("answers while it is down: %s", resp.Status)
	}
	if err := st.EndOutage(); err != nil {
		t.Fatal(err)
	}
	w = st.watch(0, 41)
	next(t, w)
	old := st.Addr(0)
	addr, err := st.Move(0)
	if err != nil || addr == old || st.Addr(0) != addr {
		t.Fatalf("moved from %s to %s: %v", old, addr, err)
	}
	if resp, err := http.Get("http://" + old + "/v1/endpoints"); err == nil {
		resp.Body.Close()
		t.Error("the old address takes new calls")
	}
	next(t, st.watch(0, 41))
	if _, open := <-w; open {
		t.Error("a watch stays at the old address")
	}
}

// Calls are worked on in turn; one that would wait too long fails.
func TestOverbooked(t *testing.T) {
	st := newStand(t, Config{MaxConcurrentCalls: 1, CallTime: 300 * ms, QueueTimeout: 400 * ms})
	const callers = 6
	codes := make(chan int, callers)
	for range callers {
		go func() {
			resp, err := st.get(context.Background(), 0, "")
			if err != nil {
				codes <- 0
				return
			}
			resp.Body.Close()
			codes <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range callers {
		count[<-codes]++
	}
	if count[200] < 1 || count[200] > 3 || count[503] != callers-count[200] {
		t.Errorf("codes %v: with 300 ms a call and 400 ms of patience one to three are served", count)
	}
	if st.FailedCalls.Load() != int64(count[503]) {
		t.Errorf("%d counted as failed of %d", st.FailedCalls.Load(), count[503])
	}
}
