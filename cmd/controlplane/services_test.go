package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
)

// The answer to a call that names services says how many of them the server understood, and has only their
// entries. A call that names none gets the list without services, in the form that clients from before
// services know.
func TestServiceScopedLists(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("billing", "only", 1)
	cluster.registerInService("search", "s-1", 1)
	last := cluster.registerInService("search", "s-2", 1)
	cluster.register("plain", 1)
	follower := cluster.others(cluster.waitForLeader())[0]
	cluster.waitUntil("the follower has all registrations", func() bool {
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
		list, err := endpoints.Parse(text)
		var got []string
		for _, endpoint := range list.Endpoints {
			got = append(got, endpoint.Name+" "+endpoint.Service)
		}
		slices.Sort(got)
		answer := header.Get(scopeHeader) + ": " + strings.Join(got, ", ")
		if status != http.StatusOK || err != nil || !list.Full || answer != want || list.Seq <= last.Seq {
			t.Errorf("%s: %d %q at version %d, want %q (%v)", query, status, answer, list.Seq, want, err)
		}
	}
	status, header, text := cluster.get(follower, endpoints.Path)
	if status != http.StatusOK || header.Get(scopeHeader) != "" || bytes.Contains(text, []byte("service")) || bytes.Count(text, []byte(`"host"`)) != 4 {
		t.Errorf("without services: %d %q %s", status, header.Get(scopeHeader), text)
	}
	many := make([]string, 257)
	for i := range many {
		many[i] = fmt.Sprint("s-", i)
	}
	for _, query := range []string{"service=a%20b", "service=a/b", "service=" + strings.Repeat("x", 65), "service=a&service=%0a", "service=%zz", serviceQuery(many)} {
		for _, mode := range []string{"", "follow=1&since=0&", "consistent=1&"} {
			status, _, text := cluster.get(follower, endpoints.Path+"?"+mode+query)
			if status != http.StatusBadRequest || !bytes.HasPrefix(text, []byte("service: ")) || bytes.Count(text, []byte("\n")) != 1 {
				t.Errorf("%s%.80s: %d %q, want 400 and one line that begins with service", mode, query, status, text)
			}
		}
	}
	many[0] = "search"
	if list := cluster.fullList(follower, serviceQuery(many[:256])); len(list.Endpoints) != 2 {
		t.Errorf("a list of 256 services: %+v, want the two servers of the only existing service", list.Endpoints)
	}
}

// The only server of a service changes, is replaced, ends and is followed by another. Each change arrives as
// one line with one entry, and watches of other services receive nothing.
func TestWatchOfServiceWithOneServer(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.registerInService("one", "s", 1)
	cluster.registerInService("other", "o", 1)
	one, other := cluster.watchServices([]string{"one"}, cluster.names...), cluster.watchServices([]string{"other"}, cluster.names...)
	cluster.waitUntil("both watches have their first lists", func() bool { return one.names() == "s@one" && other.names() == "o@other" })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	client := cluster.client(cluster.names...)
	weight := 0.5
	steps := []struct {
		what string
		do   func() error
		want string // the entries of the watch
	}{
		{"its weight is set", func() error {
			_, err := client.SetOverride(ctx, "s", control.ServerOverride{Weight: &weight})
			return err
		}, "s@one"},
		{"it is replaced", func() error { _, err := client.Register(ctx, newServiceEndpoint("one", "s", 2)); return err }, "s@one"},
		{"it ends", func() error { return cluster.unregister("s", 2) }, ""},
		{"another is registered", func() error { _, err := client.Register(ctx, newServiceEndpoint("one", "next", 1)); return err }, "next@one"},
	}
	_, otherBytes, _ := other.received()
	for _, step := range steps {
		before, _, _ := one.received()
		if err := step.do(); err != nil {
			t.Fatalf("%s: %v", step.what, err)
		}
		cluster.waitUntil(step.what, func() bool { n, _, _ := one.received(); return n == before+1 })
		last := one.list(-1)
		if last.Full || len(last.Endpoints) != 1 || one.names() != step.want {
			t.Errorf("%s: the watch received %+v and has %q, want one entry and %q", step.what, last, one.names(), step.want)
		}
	}
	if n, bytes, _ := other.received(); n != 1 || bytes != otherBytes {
		t.Errorf("the watch of another service received %d lists and %d bytes more", n, bytes-otherBytes)
	}
	one.stopAndVerify(t)
	other.stopAndVerify(t)
}

// unregister removes the instance of a server that started at startedMs from the list.
func (cluster *testCluster) unregister(name string, startedMs float64) error {
	leader := cluster.servers[cluster.waitForLeader()]
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/v1/servers/%s?born_ms=%.0f", leader.http, name, startedMs), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unregister %s: %s", name, resp.Status)
	}
	return nil
}

// When a server moves to another service under the same name, watches of the old service receive its
// removal, watches of the new service receive the server, and watches of both end up with the server in the
// new service.
func TestServerChangesItsService(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("old", "s", 1)
	cluster.registerInService("old", "stays", 1)
	watches := map[string]*serviceWatch{
		"old":  cluster.watchServices([]string{"old"}, cluster.names...),
		"new":  cluster.watchServices([]string{"new"}, cluster.names...),
		"both": cluster.watchServices([]string{"new", "old"}, cluster.names...),
	}
	has := func(old, new, both string) func() bool {
		return func() bool {
			return watches["old"].names() == old && watches["new"].names() == new && watches["both"].names() == both
		}
	}
	cluster.waitUntil("all watches have their first lists", has("s@old stays@old", "", "s@old stays@old"))
	cluster.registerInService("new", "s", 1)
	cluster.waitUntil("s has its new service", has("stays@old", "s@new", "s@new stays@old"))
	lateWatch := cluster.watchServices([]string{"old"}, cluster.names...)
	cluster.waitUntil("a later watch of the old service has the other server", func() bool { return lateWatch.names() == "stays@old" })
	cluster.registerInService("old", "s", 2)
	cluster.waitUntil("s is back in the old service as a new instance", has("s@old stays@old", "", "s@old stays@old"))
	for i := range 20 { // faster than lines are written
		cluster.registerInService([]string{"new", "old"}[i%2], "s", float64(3+i/16))
	}
	cluster.registerInService("new", "s", 3+20/16) // three instances ended, too few for damping
	cluster.waitUntil("s stays in the new service", has("stays@old", "s@new", "s@new stays@old"))
	for _, w := range watches {
		w.stopAndVerify(t)
	}
	lateWatch.stopAndVerify(t)
}

// The leader is killed while watches begin and servers register. Each watch has exactly the servers of
// its services at the end, and no version decreases.
func TestServiceWatchesSurviveLeaderKill(t *testing.T) {
	cluster := newCluster(t, 3)
	const services, watches, seed = 6, 40, 5
	rng := newSeededRand(t, seed)
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
		servers := slices.Clone(cluster.names)
		rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		all = append(all, cluster.watchServices(slices.Compact(scope), servers...))
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
		cluster.waitUntil(fmt.Sprintf("watch %d of %q, which has %q, has %q", i, w.services, w.names(), want(w)), func() bool { return w.names() == want(w) })
	}
	cluster.start(oldLeader)
	cluster.waitUntil("the former leader has caught up", func() bool {
		entry, err := cluster.servers[oldLeader].client.Server(t.Context(), "s-11", false)
		return err == nil && entry.Endpoint.StartedMs == 2
	})
	if list := cluster.fullList(oldLeader, "service=service-0"); len(list.Endpoints) == 0 {
		t.Error("the former leader lists no server of service-0")
	}
	for _, w := range all {
		w.stopAndVerify(t)
	}
}

// A snapshot without services is restored while services are watched. Its servers belong to the default
// service, and the watches get full lists with later versions.
func TestRestoreOfSnapshotWithoutServices(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerInService("a", "s", 1)
	cluster.registerInService("a", "only", 1)
	ofA, ofDefault := cluster.watchServices([]string{"a"}, cluster.names...), cluster.watchServices([]string{""}, cluster.names...)
	cluster.waitUntil("both watches have their first lists", func() bool {
		n, _, _ := ofDefault.received()
		return ofA.names() == "only@a s@a" && n > 0
	})
	_, _, before := ofA.received()
	endpoint := newEndpoint("s", 1)
	version := before + 1000
	text, err := json.Marshal(map[string]any{
		"form":    1,
		"seq":     version,
		"clock":   1,
		"entries": map[string]any{"s": map[string]any{"host": endpoint, "version": version}},
		"history": []any{map[string]any{"seq": version, "name": "s"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if _, err := cluster.client(cluster.waitForLeader()).Restore(ctx, text); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("the watches have the restored state", func() bool { return ofA.names() == "" && ofDefault.names() == "s@" })
	cluster.registerInService("a", "s", 2)
	cluster.waitUntil("s is in its service again", func() bool { return ofA.names() == "s@a" && ofDefault.names() == "" })
	// Each server has the restored state on its disk.
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.start(name)
	}
	cluster.waitForLeader()
	for _, name := range cluster.names {
		cluster.waitUntil(name+" lists s after its restart", func() bool {
			list := cluster.fullList(name, "service=a")
			return len(list.Endpoints) == 1 && list.Endpoints[0].StartedMs == 2
		})
	}
	ofA.stopAndVerify(t)
	ofDefault.stopAndVerify(t)
}

// If all servers of one service stop renewing while the servers of others go on, the ones that stopped stay
// listed until an operator confirms their removal. Single servers of another service, and the only server
// of a third, expire meanwhile.
func TestMassFailureGuardPerService(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.shortenLeases()
	cluster.restartAll(nil)
	sizes := map[string]int{"fails": 8, "stands": 30, "one": 1}
	var mu sync.Mutex
	stopped := map[string]bool{}
	stopRenewing := func(names ...string) {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			stopped[name] = true
		}
	}
	cluster.renewAll(200*time.Millisecond, func() (refs []catalog.InstanceRef) {
		mu.Lock()
		defer mu.Unlock()
		for service, size := range sizes {
			for i := range size {
				if name := fmt.Sprintf("%s-%d", service, i); !stopped[name] {
					refs = append(refs, catalog.InstanceRef{Name: name, StartedMs: 1})
				}
			}
		}
		return refs
	})
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
	cluster.waitUntil("the service's servers are quarantined", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined == 8
	})
	stopRenewing("stands-3", "one-0")
	cluster.waitUntil("the leases of others expire meanwhile", func() bool { return count("stands") == 29 && count("one") == 0 })
	if n := count("fails"); n != 8 {
		t.Errorf("%d servers of the service are listed, want 8", n)
	}
	// A leader that is elected meanwhile extends all leases once, and quarantines the servers again.
	cluster.waitUntil("the quarantined servers are removed from the list after the confirmation", func() bool {
		if status, err := cluster.status(cluster.waitForLeader()); err == nil && status.Quarantined > 0 {
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			_ = cluster.client(cluster.names...).ConfirmRemovals(ctx)
		}
		return watch.names() == "" && count("fails") == 0
	})
	watch.stopAndVerify(t)
}
