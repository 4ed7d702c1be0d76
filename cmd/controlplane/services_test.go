package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
)

// serviceQuery is the part of a call that names services.
func serviceQuery(services []string) string { return url.Values{"service": services}.Encode() }

// serviceWatch reads the wire of a watch of services, from steward to steward, and applies
// its lines in the contract's way.
type serviceWatch struct {
	services []string
	stop     context.CancelFunc
	done     chan struct{}

	mu         sync.Mutex
	version    int64
	entries    map[string]endpoints.Endpoint
	lists      []endpoints.List
	bytes      int // of the lists
	violations []string
}

// watchServices starts a watch that begins at the first steward named.
func (cluster *testCluster) watchServices(services []string, at ...string) *serviceWatch {
	return cluster.watchServicesFrom(0, services, at...)
}

// watchServicesFrom starts a watch whose reader has a version already.
func (cluster *testCluster) watchServicesFrom(since int64, services []string, at ...string) *serviceWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &serviceWatch{services: services, stop: cancel, done: make(chan struct{}), version: since, entries: map[string]endpoints.Endpoint{}}
	var addrs []string
	for _, name := range at {
		addrs = append(addrs, cluster.servers[name].http)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		defer close(w.done)
		for i := 0; ctx.Err() == nil; i++ {
			w.readFrom(ctx, client, addrs[i%len(addrs)])
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	cluster.t.Cleanup(func() {
		cancel()
		<-w.done
	})
	return w
}

func (w *serviceWatch) readFrom(ctx context.Context, client *http.Client, addr string) {
	w.mu.Lock()
	since := w.version
	w.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?follow=1&since=%d&%s", addr, endpoints.Path, since, serviceQuery(w.services)), nil)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if got := resp.Header.Get("Service-Scope"); got != strconv.Itoa(len(w.services)) {
		w.recordViolation("Service-Scope: %q", got)
	}
	lines := bufio.NewReaderSize(resp.Body, 1<<16)
	for first := true; ; first = false {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		if len(line) > 1 && !w.apply(line, first) {
			return
		}
	}
}

func (w *serviceWatch) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// apply applies a line. Stewards without the quorum, none of which is better than the other,
// serve what they have, and the reader's part is to leave one whose first list is older than
// its own. Later lines of a watch must never go back.
func (w *serviceWatch) apply(line []byte, first bool) (goesOn bool) {
	l, err := endpoints.Parse(line)
	if err != nil {
		w.recordViolation("%.200q: %v", line, err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Seq < w.version && first {
		return false
	}
	if l.Seq < w.version {
		w.violations = append(w.violations, fmt.Sprintf("version %d after %d", l.Seq, w.version))
	}
	w.version, w.bytes, w.lists = l.Seq, w.bytes+len(line), append(w.lists, l)
	if l.Full {
		clear(w.entries)
	}
	for _, h := range l.Endpoints {
		switch {
		case !slices.Contains(w.services, h.Service):
			w.violations = append(w.violations, fmt.Sprintf("was sent %+v", h))
		case h.Health != endpoints.Removed:
			w.entries[h.Name] = h
		case w.entries[h.Name].Service == h.Service:
			delete(w.entries, h.Name)
		}
	}
	return true
}

// names is what the watch has, as name@service, in order.
func (w *serviceWatch) names() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]string, 0, len(w.entries))
	for _, h := range w.entries {
		out = append(out, h.Name+"@"+h.Service)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// received is how many lists and bytes the watch was received, and its version.
func (w *serviceWatch) received() (lists, bytes int, seq int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lists), w.bytes, w.version
}

// stopAndVerify stops the watch; it was sent its services only, and no version went back.
func (w *serviceWatch) stopAndVerify(t *testing.T) {
	t.Helper()
	w.stop()
	<-w.done
	if len(w.violations) > 0 {
		t.Errorf("a watch of %q: %s", w.services, strings.Join(w.violations, "; "))
	}
}

func newServiceEndpoint(service, name string, startedMs float64) endpoints.Endpoint {
	h := newEndpoint(name, startedMs)
	h.Service = service
	return h
}

// registerInService writes until it is acknowledged, at whichever steward takes it.
func (cluster *testCluster) registerInService(service, name string, startedMs float64, at ...string) catalog.Result {
	cluster.t.Helper()
	if len(at) == 0 {
		at = cluster.names
	}
	var r catalog.Result
	cluster.waitUntil(name+" is taken", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		var err error
		r, err = cluster.client(at...).Register(ctx, newServiceEndpoint(service, name, startedMs))
		return err == nil
	})
	return r
}

// get makes one call and reads its answer.
func (cluster *testCluster) get(at, path string) (status int, header http.Header, text []byte) {
	cluster.t.Helper()
	resp, err := http.Get("http://" + cluster.servers[at].http + path)
	if err != nil {
		cluster.t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err = io.ReadAll(resp.Body); err != nil {
		cluster.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, text
}

// fullList is the whole list of some services at a steward.
func (cluster *testCluster) fullList(at, query string) endpoints.List {
	cluster.t.Helper()
	var l endpoints.List
	cluster.waitUntil("a list at "+at, func() bool {
		status, header, text := cluster.get(at, endpoints.Path+"?"+query)
		if status != http.StatusOK {
			return false
		}
		if header.Get("Service-Scope") == "" {
			cluster.t.Fatalf("%s: no Service-Scope", query)
		}
		var err error
		if l, err = endpoints.Parse(text); err != nil || !l.Full {
			cluster.t.Fatalf("%s: %.200s: %v", query, text, err)
		}
		return true
	})
	return l
}

// A call names services, is told how many were understood and gets their entries only; one
// that names none gets the list as it was before there were services.
func TestServiceScopedLists(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("billing", "only", 1)
	cluster.registerInService("search", "s-1", 1)
	last := cluster.registerInService("search", "s-2", 1)
	cluster.register("plain", 1)
	follower := cluster.others(cluster.waitForLeader())[0]
	cluster.waitUntil("the follower has all", func() bool {
		status, err := cluster.status(follower)
		return err == nil && status.Seq > last.Seq
	})
	for query, want := range map[string]string{
		"service=billing":                                  "1: only billing",
		"service=billing&service=billing":                  "1: only billing",
		"service=search&service=billing":                   "2: only billing, s-1 search, s-2 search",
		"service=":                                         "1: plain ",
		"service=none":                                     "1: ",
		"service=none&service=":                            "2: plain ",
		"service=search&consistent=1":                      "1: s-1 search, s-2 search",
		serviceQuery([]string{"billing"}) + "&ignored=yes": "1: only billing",
	} {
		status, header, text := cluster.get(follower, endpoints.Path+"?"+query)
		l, err := endpoints.Parse(text)
		var got []string
		for _, h := range l.Endpoints {
			got = append(got, h.Name+" "+h.Service)
		}
		slices.Sort(got)
		if answer := header.Get("Service-Scope") + ": " + strings.Join(got, ", "); status != http.StatusOK || err != nil || !l.Full || answer != want || l.Seq <= last.Seq {
			t.Errorf("%s: %d %q at version %d, want %q (%v)", query, status, answer, l.Seq, want, err)
		}
	}
	status, header, text := cluster.get(follower, endpoints.Path)
	if status != http.StatusOK || header.Get("Service-Scope") != "" || bytes.Contains(text, []byte("service")) || bytes.Count(text, []byte(`"host"`)) != 4 {
		t.Errorf("without services: %d %q %s", status, header.Get("Service-Scope"), text)
	}
	many := make([]string, 257)
	for i := range many {
		many[i] = fmt.Sprint("s-", i)
	}
	for _, query := range []string{"service=a%20b", "service=a/b", "service=" + strings.Repeat("x", 65), "service=a&service=%0a", "service=%zz", serviceQuery(many)} {
		for _, how := range []string{"", "follow=1&since=0&", "consistent=1&"} {
			status, _, text := cluster.get(follower, endpoints.Path+"?"+how+query)
			if status != http.StatusBadRequest || !bytes.HasPrefix(text, []byte("service: ")) || bytes.Count(text, []byte("\n")) != 1 {
				t.Errorf("%s%.80s: %d %q", how, query, status, text)
			}
		}
	}
	many[0] = "search"
	if l := cluster.fullList(follower, serviceQuery(many[:256])); len(l.Endpoints) != 2 {
		t.Errorf("256 services: %+v", l.Endpoints)
	}
}

// A service of one server, whose server ends, is replaced and changes: each is one line of
// one entry, and watches of other services get none.
func TestWatchOfServiceWithOneServer(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.registerInService("one", "s", 1)
	cluster.registerInService("other", "o", 1)
	one, other := cluster.watchServices([]string{"one"}, cluster.names...), cluster.watchServices([]string{"other"}, cluster.names...)
	cluster.waitUntil("both begin", func() bool { return one.names() == "s@one" && other.names() == "o@other" })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := cluster.client(cluster.names...)
	share := 0.5
	steps := []struct {
		what string
		do   func() error
		have string
	}{
		{"its share is set", func() error {
			_, err := client.SetOverride(ctx, "s", control.ServerOverride{Weight: &share})
			return err
		}, "s@one"},
		{"it is replaced", func() error { _, err := client.Register(ctx, newServiceEndpoint("one", "s", 2)); return err }, "s@one"},
		{"it ends", func() error { return cluster.unregister("s", 2) }, ""},
		{"another comes", func() error { _, err := client.Register(ctx, newServiceEndpoint("one", "next", 1)); return err }, "next@one"},
	}
	_, otherBytes, _ := other.received()
	for _, step := range steps {
		before, _, _ := one.received()
		if err := step.do(); err != nil {
			t.Fatalf("%s: %v", step.what, err)
		}
		cluster.waitUntil(step.what, func() bool { n, _, _ := one.received(); return n == before+1 })
		one.mu.Lock()
		last := one.lists[len(one.lists)-1]
		one.mu.Unlock()
		if last.Full || len(last.Endpoints) != 1 || one.names() != step.have {
			t.Errorf("%s: %+v, and the watch has %q", step.what, last, one.names())
		}
	}
	if n, bytes, _ := other.received(); n != 1 || bytes != otherBytes {
		t.Errorf("the other watch was sent %d lists and %d bytes more", n, bytes-otherBytes)
	}
	one.stopAndVerify(t)
	other.stopAndVerify(t)
}

// unregister takes a server off the list.
func (cluster *testCluster) unregister(name string, startedMs float64) error {
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/v1/servers/%s?born_ms=%.0f", cluster.servers[cluster.waitForLeader()].http, name, startedMs), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("leave %s: %s", name, resp.Status)
	}
	return nil
}

// restoreServers puts a state with these services and their numbers of servers in place.
func (cluster *testCluster) restoreServers(sizes map[string]int) {
	cluster.t.Helper()
	s := catalog.New()
	for service, size := range sizes {
		for i := range size {
			h := newServiceEndpoint(service, fmt.Sprintf("%s-%d", service, i), 1)
			if r := s.Apply(&catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &h}); r.Code != catalog.Done {
				cluster.t.Fatalf("%+v", r)
			}
		}
	}
	text, err := s.Encode()
	if err != nil {
		cluster.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := cluster.client(cluster.waitForLeader()).Restore(ctx, text); err != nil {
		cluster.t.Fatal(err)
	}
}

// Two watches with different services, one of 5,000 servers and one of 20, get only theirs:
// the lines and bytes of each follow its own services.
func TestWatchesReceiveOnlyTheirServices(t *testing.T) {
	cluster := newCluster(t, 1)
	const large, small, changes = 5000, 20, 40
	cluster.restoreServers(map[string]int{"large": large, "small": small, "": 10})
	if l := cluster.fullList(cluster.names[0], "service=large"); len(l.Endpoints) != large {
		t.Fatalf("%d servers of the large service", len(l.Endpoints))
	}
	big, little := cluster.watchServices([]string{"large"}, cluster.names...), cluster.watchServices([]string{"small"}, cluster.names...)
	count := func(w *serviceWatch) int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.entries)
	}
	cluster.waitUntil("both have their lists", func() bool { return count(big) == large && count(little) == small })
	_, bigFirst, _ := big.received()
	_, littleFirst, _ := little.received()
	if littleFirst > 200*small || bigFirst < 100*large {
		t.Errorf("the first lists were of %d and %d bytes", bigFirst, littleFirst)
	}
	var seq int64
	for i := range changes {
		seq = cluster.registerInService("large", fmt.Sprint("large-", i), 2).Seq
	}
	cluster.waitUntil("the changes came", func() bool { _, _, at := big.received(); return at >= seq })
	lists, bytes, _ := big.received()
	if lists > 1+changes || bytes-bigFirst > 250*changes {
		t.Errorf("%d changes were %d lists and %d bytes", changes, lists-1, bytes-bigFirst)
	}
	if lists, bytes, _ := little.received(); lists != 1 || bytes != littleFirst {
		t.Errorf("the watch of the small service was sent %d lists and %d bytes more", lists-1, bytes-littleFirst)
	}
	// A watch that nothing concerned goes on from where it was, however far the version is.
	_, _, at := little.received()
	again := cluster.watchServicesFrom(at, []string{"small"}, cluster.names...)
	cluster.waitUntil("it goes on", func() bool { n, _, _ := again.received(); return n > 0 })
	again.mu.Lock()
	first := again.lists[0]
	again.mu.Unlock()
	if first.Full || len(first.Endpoints) != 0 || first.Seq < seq {
		t.Errorf("it was sent %+v", first)
	}
	big.stopAndVerify(t)
	little.stopAndVerify(t)
	again.stopAndVerify(t)
}

// A server changes its service under one name: readers of the old service are told that it
// is gone, those of the new one get it, those of both end with the new one.
func TestServerChangesItsService(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("old", "s", 1)
	cluster.registerInService("old", "stays", 1)
	watches := map[string]*serviceWatch{"old": cluster.watchServices([]string{"old"}, cluster.names...), "new": cluster.watchServices([]string{"new"}, cluster.names...),
		"both": cluster.watchServices([]string{"new", "old"}, cluster.names...)}
	has := func(old, new, both string) func() bool {
		return func() bool {
			return watches["old"].names() == old && watches["new"].names() == new && watches["both"].names() == both
		}
	}
	cluster.waitUntil("all begin", has("s@old stays@old", "", "s@old stays@old"))
	cluster.registerInService("new", "s", 1)
	cluster.waitUntil("it has moved", has("stays@old", "s@new", "s@new stays@old"))
	lateWatch := cluster.watchServices([]string{"old"}, cluster.names...)
	cluster.waitUntil("a later one has it", func() bool { return lateWatch.names() == "stays@old" })
	cluster.registerInService("old", "s", 2)
	cluster.waitUntil("it has come back as a new process", has("s@old stays@old", "", "s@old stays@old"))
	for i := range 20 { // to and fro, faster than lines are written
		cluster.registerInService([]string{"new", "old"}[i%2], "s", float64(3+i/16))
	}
	cluster.registerInService("new", "s", 3+20/16) // three ends, which is too few to be damped
	cluster.waitUntil("it has moved for good", has("stays@old", "s@new", "s@new stays@old"))
	for _, w := range watches {
		w.stopAndVerify(t)
	}
	lateWatch.stopAndVerify(t)
}

// The leader is killed while subscriptions begin and servers register: each watch ends with
// exactly what its services have, no version goes back and none is left out.
func TestServiceWatchesSurviveLeaderKill(t *testing.T) {
	cluster := newCluster(t, 3)
	const services, watches, seed = 6, 40, 5
	rng := newSeededRand(t, seed)
	t.Logf("seed %d", seed)
	for i := range 30 {
		cluster.registerInService(fmt.Sprint("service-", i%services), fmt.Sprint("s-", i), 1)
	}
	oldLeader := cluster.waitForLeader()
	var all []*serviceWatch
	for i := range watches {
		if i == watches/2 {
			cluster.kill(oldLeader)
		}
		scope := []string{fmt.Sprint("service-", rng.IntN(services)), fmt.Sprint("service-", rng.IntN(services))}
		slices.Sort(scope)
		at := slices.Clone(cluster.names)
		rng.Shuffle(len(at), func(i, j int) { at[i], at[j] = at[j], at[i] })
		all = append(all, cluster.watchServices(slices.Compact(scope), at...))
	}
	survivors := cluster.others(oldLeader)
	for i := range 12 {
		cluster.registerInService(fmt.Sprint("service-", (i+1)%services), fmt.Sprint("s-", i), 2, survivors...) // to another service
	}
	want := func(w *serviceWatch) string {
		var out []string
		for i := range 30 {
			service := fmt.Sprint("service-", i%services)
			if i < 12 {
				service = fmt.Sprint("service-", (i+1)%services)
			}
			if slices.Contains(w.services, service) {
				out = append(out, fmt.Sprintf("s-%d@%s", i, service))
			}
		}
		slices.Sort(out)
		return strings.Join(out, " ")
	}
	for i, w := range all {
		cluster.waitUntil(fmt.Sprintf("watch %d of %q has all: %q, want %q", i, w.services, w.names(), want(w)), func() bool { return w.names() == want(w) })
	}
	cluster.start(oldLeader)
	cluster.waitUntil("it has caught up", func() bool {
		e, err := cluster.servers[oldLeader].client.Server(context.Background(), "s-11", false)
		return err == nil && e.Endpoint.StartedMs == 2
	})
	l := cluster.fullList(oldLeader, "service=service-0")
	if len(l.Endpoints) == 0 {
		t.Error("the one that came back has no servers of a service")
	}
	for _, w := range all {
		w.stopAndVerify(t)
	}
}

// A snapshot from before there were services is restored while watches of services stand:
// its servers are of the default service, and watches get whole lists under later versions.
func TestRestoreOfSnapshotWithoutServices(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("a", "s", 1)
	cluster.registerInService("a", "only", 1)
	a, none := cluster.watchServices([]string{"a"}, cluster.names...), cluster.watchServices([]string{""}, cluster.names...)
	cluster.waitUntil("they begin", func() bool {
		n, _, _ := none.received()
		return a.names() == "only@a s@a" && n > 0
	})
	_, _, before := a.received()
	host := newEndpoint("s", 1)
	text, err := json.Marshal(map[string]any{"form": 1, "seq": before + 1000, "clock": 1, "entries": map[string]any{"s": map[string]any{"host": host, "version": before + 1000}},
		"history": []any{map[string]any{"seq": before + 1000, "name": "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := cluster.client(cluster.waitForLeader()).Restore(ctx, text); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("they have what was restored", func() bool { return a.names() == "" && none.names() == "s@" })
	cluster.registerInService("a", "s", 2)
	cluster.waitUntil("it is registered with its service again", func() bool { return a.names() == "s@a" && none.names() == "" })
	// All were told of it by whole lists, and a steward that starts again reads what it keeps.
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.start(name)
	}
	cluster.waitForLeader()
	for _, name := range cluster.names {
		cluster.waitUntil(name+" has it", func() bool {
			l := cluster.fullList(name, "service=a")
			return len(l.Endpoints) == 1 && l.Endpoints[0].StartedMs == 2
		})
	}
	a.stopAndVerify(t)
	none.stopAndVerify(t)
}

// Of a service that falls silent as a whole, while all others stand, the servers stay listed
// until an operator confirms; single servers of others and services of one end meanwhile.
func TestMassFailureGuardPerService(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.extraConfig = strings.Replace(cluster.extraConfig, "10m", "3s", 1)
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.configure(name, cluster.names)
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	sizes := map[string]int{"fails": 8, "stands": 30, "one": 1}
	var mu sync.Mutex
	silent := map[string]bool{}
	stopRenewing := func(names ...string) {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			silent[name] = true
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := cluster.client(cluster.names...)
		for ctx.Err() == nil {
			var refs []catalog.InstanceRef
			mu.Lock()
			for service, size := range sizes {
				for i := range size {
					if name := fmt.Sprintf("%s-%d", service, i); !silent[name] {
						refs = append(refs, catalog.InstanceRef{Name: name, StartedMs: 1})
					}
				}
			}
			mu.Unlock()
			call, end := context.WithTimeout(ctx, 2*time.Second)
			_, _ = c.Renew(call, refs)
			end()
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	defer func() { cancel(); <-done }()
	for service, size := range sizes {
		for i := range size {
			cluster.registerInService(service, fmt.Sprintf("%s-%d", service, i), 1)
		}
	}
	watch := cluster.watchServices([]string{"fails"}, cluster.names...)
	count := func(service string) int {
		return len(cluster.fullList(cluster.waitForLeader(), "service="+service).Endpoints)
	}
	cluster.waitUntil("all are listed", func() bool { return count("fails") == 8 && count("stands") == 30 && count("one") == 1 })
	for i := range 8 {
		stopRenewing(fmt.Sprint("fails-", i))
	}
	cluster.waitUntil("they are held", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined == 8
	})
	stopRenewing("stands-3", "one-0")
	cluster.waitUntil("others end while they are held", func() bool { return count("stands") == 29 && count("one") == 0 })
	if n := count("fails"); n != 8 {
		t.Errorf("%d of the service's 8 servers are listed", n)
	}
	// A leader that is elected meanwhile gives them their full time, and holds them again.
	cluster.waitUntil("they are off the list once that is confirmed while they are held", func() bool {
		if status, err := cluster.status(cluster.waitForLeader()); err == nil && status.Quarantined > 0 {
			call, end := context.WithTimeout(context.Background(), 5*time.Second)
			defer end()
			_ = cluster.client(cluster.names...).ConfirmRemovals(call)
		}
		return watch.names() == "" && count("fails") == 0
	})
	watch.stopAndVerify(t)
}

// BenchmarkServicesAtScale registers 39,000 servers in 1,900 services with a steward, which is
// then killed and started again; and what readers of 20 of them get.
func BenchmarkServicesAtScale(b *testing.B) {
	const servers, services, writers = 39_000, 1900, 32
	for range b.N {
		cluster := newCluster(b, 1)
		name := cluster.names[0]
		began := time.Now()
		var writing sync.WaitGroup
		next := make(chan int)
		for range writers {
			writing.Go(func() {
				for i := range next {
					for {
						ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
						_, err := cluster.servers[name].client.Register(ctx, newServiceEndpoint(fmt.Sprint("service-", i%services), fmt.Sprintf("server-%05d", i), 1))
						cancel()
						if err == nil {
							break
						}
					}
				}
			})
		}
		for i := range servers {
			next <- i
		}
		close(next)
		writing.Wait()
		b.ReportMetric(time.Since(began).Seconds(), "s/register")
		_, _, text := cluster.get(name, "/v1/snapshot")
		b.ReportMetric(float64(len(text)), "B/snapshot")
		var twenty []string
		for i := range 20 {
			twenty = append(twenty, fmt.Sprint("service-", i))
		}
		_, _, text = cluster.get(name, endpoints.Path+"?"+serviceQuery(twenty))
		b.ReportMetric(float64(len(text)), "B/list-of-20")
		_, _, text = cluster.get(name, endpoints.Path)
		b.ReportMetric(float64(len(text)), "B/list")
		cluster.kill(name)
		began = time.Now()
		cluster.start(name)
		cluster.waitUntil("all are listed again", func() bool {
			status, err := cluster.status(name)
			return err == nil && status.Listed == servers
		})
		b.ReportMetric(time.Since(began).Seconds(), "s/start")
	}
}
