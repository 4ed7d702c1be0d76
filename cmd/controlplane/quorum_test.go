package main

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"syscall"
	"testing"

	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
)

// leaderFault is a fault that is injected into the leader.
type leaderFault struct {
	name   string
	inject func(cluster *testCluster, leader string)
	end    func(cluster *testCluster, leader string)
}

var leaderFaults = []leaderFault{
	{"killed", (*testCluster).kill, (*testCluster).start},
	{"suspended", (*testCluster).suspend, (*testCluster).resume},
	{"outbound links cut", shapeLeader(cutShape, link.Shape{}), shapeLeader(link.Shape{}, link.Shape{})},
	{"inbound links cut", shapeLeader(link.Shape{}, cutShape), shapeLeader(link.Shape{}, link.Shape{})},
	{"cut off", shapeLeader(cutShape, cutShape), shapeLeader(link.Shape{}, link.Shape{})},
}

// shapeLeader returns a function that shapes the leader's outbound and inbound traffic with the other
// servers.
func shapeLeader(outbound, inbound link.Shape) func(cluster *testCluster, leader string) {
	return func(cluster *testCluster, leader string) { cluster.shapeLinks(leader, outbound, inbound) }
}

// A leader that is killed, suspended or cut off is replaced. Writes go on, no acknowledged write is
// lost, no version decreases, and the former leader catches up once the fault is over.
func TestWritesContinueAfterLeaderFault(t *testing.T) {
	for _, fault := range leaderFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 3)
			writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
			writer.waitForWrites(cluster, 20)
			oldLeader := cluster.waitForLeader()
			fault.inject(cluster, oldLeader)
			cluster.waitForLeaderAmong(cluster.others(oldLeader))
			cluster.register("during", 1, cluster.others(oldLeader)...)
			cluster.waitUntil("a reader gets a change during the fault", func() bool { return reader.has("during") })
			fault.end(cluster, oldLeader)
			cluster.waitUntil("the former leader has caught up", func() bool {
				entry, err := cluster.servers[oldLeader].client.Server(t.Context(), "during", false)
				return err == nil && entry.Endpoint.Name == "during"
			})
			writer.waitForWrites(cluster, 20)
			writer.stopAndVerify(cluster, cluster.names...)
			reader.stopAndVerify(t)
		})
	}
}

// No acknowledged write is lost when random servers, and sometimes all of them at once, are killed and
// restarted repeatedly.
func TestAcknowledgedWritesSurviveRepeatedKills(t *testing.T) {
	cluster := newCluster(t, 3)
	rng := newSeededRand(t, 4)
	writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
	for range 12 {
		writer.waitForWrites(cluster, 15)
		victims := []string{cluster.names[rng.IntN(3)]}
		if rng.IntN(4) == 0 {
			victims = cluster.names
		}
		cluster.killServers(victims)
		cluster.startServers(victims)
	}
	writer.stopAndVerify(cluster, cluster.names...)
	reader.stopAndVerify(t)
}

// With two of three servers down the third rejects writes and consistent reads, and still serves its list.
// Once one of the two is back, writes are accepted again, and nothing is lost.
func TestQuorumLossRejectsWrites(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.register("before", 1)
	survivor := cluster.names[1]
	client := cluster.servers[survivor].client
	reader := cluster.startReader(survivor)
	cluster.waitUntil("the reader has the list", func() bool { return reader.has("before") })
	cluster.killServers(cluster.others(survivor))
	cluster.waitUntil(survivor+" is stale", func() bool {
		status, err := cluster.status(survivor)
		return err == nil && status.Stale
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*readTimeout)
	defer cancel()
	if _, err := client.Register(ctx, newEndpoint("never", 1)); err == nil {
		t.Error("a write was acknowledged without a quorum")
	}
	if list, err := client.List(ctx); err != nil || len(list.Endpoints) != 1 {
		t.Errorf("a stale server doesn't serve its list while the others are down: %v %v", list, err)
	}
	if _, err := client.Server(ctx, "before", true); err == nil {
		t.Error("a consistent read was answered without a quorum")
	}
	cluster.start(cluster.others(survivor)[0])
	cluster.register("after", 1)
	cluster.waitUntil("the reader gets the next change", func() bool { return reader.has("after") })
	if reader.has("never") {
		t.Error("a rejected write took effect")
	}
	reader.stopAndVerify(t)
}

// A server that has lost the quorum ends its watches, so that agents connect to the other servers.
func TestStaleServerEndsItsWatches(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.register("s", 1)
	isolated := cluster.others(cluster.waitForLeader())[0]
	others := cluster.others(isolated)
	reader := cluster.startReader(append([]string{isolated}, others...)...)
	cluster.waitUntil("the reader has the list", func() bool { return reader.has("s") })
	cluster.shapeLinks(isolated, cutShape, cutShape)
	cluster.register("change", 1, others...)
	cluster.waitUntil("the reader gets a change from another server", func() bool { return reader.has("change") })
	resp, err := http.Get("http://" + cluster.servers[isolated].http + endpoints.Path)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a stale server answers %s though others have the quorum", resp.Status)
	}
	reader.stopAndVerify(t)
}

// All servers are replaced by new ones, one by one, while writes go on.
func TestReplacingAllServersKeepsWrites(t *testing.T) {
	cluster := newCluster(t, 3)
	oldServers := slices.Clone(cluster.names)
	newServers := []string{"st-4", "st-5", "st-6"}
	for _, name := range newServers {
		cluster.add(name)
	}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
	}
	for _, name := range oldServers { // each reloads its table of peers without a restart
		signalProcess(t, cluster.servers[name].proc, syscall.SIGHUP)
	}
	writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
	for i, oldServer := range oldServers {
		newServer := newServers[i]
		cluster.start(newServer) // its data folder is empty: it asks to be added
		cluster.waitUntil(newServer+" is a voter", func() bool {
			status, err := cluster.status(newServer)
			return err == nil && slices.Contains(status.Voters, newServer)
		})
		cluster.waitUntil(oldServer+" is no longer a voter", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			_, err := cluster.client(cluster.names...).ChangeVoter(ctx, oldServer, false)
			status, statusErr := cluster.status(newServer)
			return err == nil && statusErr == nil && !slices.Contains(status.Voters, oldServer)
		})
		cluster.kill(oldServer)
		writer.waitForWrites(cluster, 20)
	}
	status, err := cluster.status("st-5")
	if err != nil || len(status.Voters) != 3 || slices.Contains(status.Voters, "st-1") {
		t.Errorf("voters %v, %v", status.Voters, err)
	}
	writer.stopAndVerify(cluster, newServers...)
	reader.stopAndVerify(t)
}

// sendWhileSuspended makes calls to a suspended server, and returns once all have been sent. Each call puts
// its result on the channel once the caller has resumed the server and the server has answered.
func (cluster *testCluster) sendWhileSuspended(name string, calls int, call func(ctx context.Context, client *control.Client) bool) <-chan bool {
	results, sent := make(chan bool, calls), make(chan struct{}, calls)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent <- struct{}{} }}
	for range calls {
		go func() {
			ctx, cancel := context.WithTimeout(cluster.t.Context(), waitTimeout)
			defer cancel()
			results <- call(httptrace.WithClientTrace(ctx, trace), control.NewClient([]string{cluster.servers[name].http}, waitTimeout))
		}()
	}
	for range calls {
		<-sent
	}
	return results
}

// A suspended leader receives consistent reads when it is resumed, and may still consider itself the leader.
// If the next leader accepted a write before the reads were sent, the resumed leader answers no read with
// the state from before that write.
func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	const reads = 40
	cluster := newCluster(t, 3)
	cluster.register("s", 1)
	for round := range 4 {
		oldLeader := cluster.waitForLeader()
		cluster.suspend(oldLeader)
		written := float64(round + 2)
		cluster.register("s", written, cluster.others(oldLeader)...)
		answers := make(chan float64, reads)
		done := cluster.sendWhileSuspended(oldLeader, reads, func(ctx context.Context, client *control.Client) bool {
			entry, err := client.Server(ctx, "s", true)
			if err != nil {
				entry.Endpoint.StartedMs = -1
			}
			answers <- entry.Endpoint.StartedMs
			return true
		})
		cluster.resume(oldLeader)
		for range reads {
			<-done
			if startedMs := <-answers; startedMs >= 0 && startedMs != written {
				t.Fatalf("round %d: a read after the write of %v was answered with %v", round, written, startedMs)
			}
		}
	}
}

// Versions never decrease, neither after an older snapshot is restored nor in a new cluster at the same
// addresses. A reader that stays up gets all later changes.
func TestVersionsNeverDecrease(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	client := cluster.servers[name].client
	cluster.register("old", 1)
	saved, err := client.Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	cluster.register("undone", 1)
	reader := cluster.startReader(name)
	cluster.waitUntil("the reader has the list", func() bool { return reader.has("undone") })
	if _, err := client.Restore(t.Context(), saved); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("a registration from after the snapshot is undone", func() bool { return !reader.has("undone") })
	if !reader.has("old") {
		t.Error("the snapshot's servers are not listed")
	}
	cluster.register("new", 1)
	cluster.waitUntil("the reader gets a change after the restore", func() bool { return reader.has("new") })

	cluster.kill(name)
	cluster.eraseData(name)
	cluster.start(name)
	cluster.waitForLeader()
	cluster.register("fresh", 1)
	cluster.waitUntil("the reader gets the list of a new cluster", func() bool { return reader.has("fresh") })
	if reader.has("new") {
		t.Error("a new cluster lists a server of the former one")
	}
	reader.stopAndVerify(t)
}
