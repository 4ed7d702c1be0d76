package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/member"
)

// Backends whose renewals don't arrive stay listed as long as most servers of the control plane reach them.
// A backend that no longer accepts connections is removed from the list.
func TestExpiryNeedsFailureEvidence(t *testing.T) {
	const (
		total          = 8
		threeLeaseTTLs = 3 * 3 * time.Second
	)
	cluster := newGossipCluster(t, 3, "")
	cluster.startAll()
	backends := cluster.startBackends(total, "st-1", cluster.names...)
	backends.pauseRenewals()
	time.Sleep(threeLeaseTTLs)
	backends.requireAllListed()
	if retained := cluster.metric(cluster.waitForLeader(), "steward_leases_kept"); retained != total {
		t.Errorf("%v servers are listed beyond their leases, want %d", retained, total)
	}
	backends.listeners[0].Close()
	cluster.waitUntil("s-0, which accepts no connections, is removed from the list", func() bool { return !backends.reader.has("s-0") })
	if len(backends.reader.removed) != 1 {
		t.Errorf("removed from the list: %v, want only s-0", backends.reader.removed)
	}
}

// metric returns a metric of a server, or -1 if the server doesn't answer or has no such metric.
func (cluster *testCluster) metric(server, name string) float64 {
	resp, err := http.Get("http://" + cluster.servers[server].http + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(text)) {
		var value float64
		if _, err := fmt.Sscanf(line, name+" %g", &value); err == nil {
			return value
		}
	}
	return -1
}

// An agent is present as long as any server has its watch, even while watches migrate. An agent that shuts
// down gracefully has left; one whose watch breaks off has failed.
func TestAgentMembershipFollowsWatches(t *testing.T) {
	const n = 40
	cluster := newGossipCluster(t, 3, "drain = \"1s\"\n")
	cluster.startAll()
	var names []string
	var stops []context.CancelFunc
	var clients []*endpoints.Client
	for i := range n {
		name := fmt.Sprint("n", i)
		client, stop := cluster.startAgentWatch(name, uint64(i))
		names, stops, clients = append(names, name), append(stops, stop), append(clients, client)
	}
	for _, observer := range cluster.names {
		cluster.waitForState(observer, member.Present, names...)
	}
	watcher := cluster.watchStates(cluster.names...)
	for _, name := range cluster.names {
		if name == "st-2" {
			cluster.kill(name)
		} else {
			cluster.shutDown(name)
		}
		for _, observer := range cluster.others(name) {
			cluster.waitForState(observer, member.Present, names...)
		}
		cluster.start(name)
		cluster.waitForEqualViews(cluster.names...)
	}
	watcher.stopWatching()
	watcher.requireNever(t, member.Left, names...)
	watcher.requireNever(t, member.Failed, names...)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := clients[0].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	stops[0]()
	stops[1]()
	for _, observer := range cluster.names {
		cluster.waitForState(observer, member.Left, "n0")
		cluster.waitForState(observer, member.Failed, "n1")
	}
	if view, ok := cluster.view("st-1"); !ok || view.Count(member.RoleAgent, member.Present) != n-2 {
		t.Errorf("%d agents are present, want %d", view.Count(member.RoleAgent, member.Present), n-2)
	}
}

// startAgentWatch watches the list under an agent's name until stop is called or the test ends. The
// orderSeed determines which server the agent calls first.
func (cluster *testCluster) startAgentWatch(name string, orderSeed uint64) (client *endpoints.Client, stop context.CancelFunc) {
	const agentRestartPause = 20 * time.Millisecond // between the end of a watch and the next
	ctx, stop := context.WithCancel(cluster.t.Context())
	cluster.t.Cleanup(stop)
	client = endpoints.NewClient(endpoints.ClientConfig{Addresses: cluster.client(cluster.names...).Addrs, OrderSeed: orderSeed, Fleet: 1, Member: name})
	go func() {
		for ctx.Err() == nil {
			_ = client.Watch(ctx, 0, func(endpoints.List) {})
			time.Sleep(agentRestartPause)
		}
	}()
	return client, stop
}

// A voter that fails is replaced by a non-voter, one voter at a time, and becomes a non-voter itself when it
// returns.
func TestFailedVotersAreReplaced(t *testing.T) {
	const voters = 3
	cluster := newGossipCluster(t, 5, "voters = 3\nreplace_after = \"2s\"\n", "st-4", "st-5")
	cluster.startAll()
	status, err := cluster.status(cluster.waitForLeader())
	if err != nil || len(status.Voters) != voters || slices.Contains(status.Voters, "st-4") {
		t.Fatalf("voters %v, %v", status.Voters, err)
	}
	cluster.register("before", 1)
	victims := []string{cluster.others(cluster.waitForLeader())[0], cluster.waitForLeader()}
	for _, victim := range victims {
		if !cluster.isVoter(victim) {
			t.Fatalf("%s is not a voter", victim)
		}
		cluster.kill(victim)
		cluster.waitUntil(victim+" is replaced", func() bool {
			for _, name := range cluster.others(victim) {
				status, err := cluster.status(name)
				if err != nil || status.State != "leader" {
					continue
				}
				if len(status.Voters) > voters+1 {
					t.Fatalf("voters %v: more than one above %d", status.Voters, voters)
				}
				return len(status.Voters) == voters && !slices.Contains(status.Voters, victim)
			}
			return false
		})
		cluster.register("after-"+victim, 1, cluster.others(victim)...)
		cluster.start(victim)
		cluster.waitUntil(victim+" is a non-voter", func() bool {
			status, err := cluster.status(cluster.waitForLeader())
			return err == nil && status.Peers[victim] == "Nonvoter" && len(status.Voters) == voters
		})
	}
	entry, err := cluster.client(cluster.names...).Server(t.Context(), "before", true)
	if err != nil || entry.Endpoint.StartedMs != 1 {
		t.Errorf("the registration from before the faults: %+v, %v", entry, err)
	}
}

// isVoter reports whether the leader counts a server among the voters.
func (cluster *testCluster) isVoter(name string) bool {
	cluster.t.Helper()
	status, _ := cluster.status(cluster.waitForLeader())
	return slices.Contains(status.Voters, name)
}
