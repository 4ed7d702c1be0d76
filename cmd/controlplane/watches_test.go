package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
)

// agentReconnectPause returns how long the agent with a number waits between the end of its watch and its
// next call: from half a second to one second, so that many agents don't call at once.
func agentReconnectPause(number int) time.Duration {
	const (
		minPauseMs    = 500
		pauseSpreadMs = 500
	)
	return time.Duration(minPauseMs+number%pauseSpreadMs) * time.Millisecond
}

// readerGroup is a group of readers, each with its own order of the servers, as agents have. The group is
// the HTTP transport of the readers' calls, and records the time of each call.
type readerGroup struct {
	cluster *testCluster
	readers []*watchReader
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu        sync.Mutex
	callTimes []time.Time
}

// RoundTrip implements http.RoundTripper. Each call has a connection of its own.
func (group *readerGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	group.mu.Lock()
	group.callTimes = append(group.callTimes, time.Now())
	group.mu.Unlock()
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(r)
}

// startReaders starts n readers, which stop with the test.
func (cluster *testCluster) startReaders(n int) *readerGroup {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	group := &readerGroup{cluster: cluster, stop: cancel}
	for i := range n {
		reader := newWatchReader()
		group.readers = append(group.readers, reader)
		client := endpoints.NewClient(endpoints.ClientConfig{
			Addresses:   cluster.client(cluster.names...).Addrs,
			OrderSeed:   uint64(i),
			Fleet:       n,
			RejectOlder: true,
			Transport:   group,
		})
		group.done.Go(func() {
			for ctx.Err() == nil {
				reader.watch(ctx, client)
				time.Sleep(agentReconnectPause(i))
			}
		})
	}
	cluster.t.Cleanup(group.stopReading)
	return group
}

// stopReading ends all watches and returns once the readers have stopped.
func (group *readerGroup) stopReading() {
	group.stop()
	group.done.Wait()
}

// maxCallsWithin returns the largest number of calls in any window of a given length.
func (group *readerGroup) maxCallsWithin(window time.Duration) (calls int) {
	group.mu.Lock()
	defer group.mu.Unlock()
	for i, j := 0, 0; j < len(group.callTimes); j++ {
		for group.callTimes[j].Sub(group.callTimes[i]) > window {
			i++
		}
		calls = max(calls, j-i+1)
	}
	return calls
}

// resetCallTimes discards the call times recorded so far.
func (group *readerGroup) resetCallTimes() {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.callTimes = nil
}

// waitUntilAllHave waits until all readers list a server.
func (group *readerGroup) waitUntilAllHave(name string) {
	group.cluster.t.Helper()
	group.cluster.waitUntil("all readers list "+name, func() bool {
		for _, reader := range group.readers {
			if !reader.has(name) {
				return false
			}
		}
		return true
	})
}

// watchCounts returns the number of watches at each server, 0 for one that doesn't answer.
func (cluster *testCluster) watchCounts() (counts []int, sum int) {
	for _, name := range cluster.names {
		status, err := cluster.status(name)
		if err != nil {
			status.Watches = 0
		}
		counts, sum = append(counts, status.Watches), sum+status.Watches
	}
	return counts, sum
}

// waitUntilSpread waits until n watches are spread evenly over a number of servers: none has more than its
// share plus a tenth and two.
func (cluster *testCluster) waitUntilSpread(n, servers int) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprintf("%d watches are spread over %d servers", n, servers), func() bool {
		counts, sum := cluster.watchCounts()
		for _, count := range counts {
			if count > n/servers+n/servers/10+2 {
				return false
			}
		}
		return sum == n
	})
}

// Watches are spread over the servers. A server that shuts down first migrates its watches in small steps,
// and one that joins gets its share in small steps. No reader misses a change.
func TestWatchesAreRebalanced(t *testing.T) {
	const n = 90
	cluster := newCluster(t, 3)
	cluster.register("before", 1)
	readers := cluster.startReaders(n)
	readers.waitUntilAllHave("before")
	cluster.waitUntilSpread(n, 3)
	victim := cluster.others(cluster.waitForLeader())[0]
	readers.resetCallTimes()
	cluster.shutDown(victim)
	cluster.waitUntilSpread(n, 2)
	cluster.register("between", 1)
	readers.waitUntilAllHave("between")
	// Thirty watches migrate within two seconds: two or three of them in a tenth of a second.
	if calls := readers.maxCallsWithin(100 * time.Millisecond); calls > n/3/2 {
		t.Errorf("%d of the %d readers of a server that shuts down migrated within 100 ms", calls, n/3)
	}
	log := processLog(cluster.servers[victim].proc)
	if !strings.Contains(log, "msg=drained") || !strings.Contains(log, "remaining=0") {
		t.Errorf("the server ended before all its watches had migrated: %s", tail(log, 400))
	}
	readers.resetCallTimes()
	cluster.start(victim)
	cluster.waitUntilSpread(n, 3)
	if calls := readers.maxCallsWithin(time.Second); calls > 3*n/20+3 {
		t.Errorf("%d calls within a second after a server joined, of %d readers", calls, n)
	}
	cluster.register("after", 1)
	readers.waitUntilAllHave("after")
	for _, reader := range readers.readers {
		if len(reader.regressions) > 0 {
			t.Errorf("versions decreased: %v", reader.regressions)
		}
	}
}

// lagDuration returns how long a server lags: 4 s, or the duration in the environment variable LAG_FOR.
func lagDuration(t *testing.T) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(os.Getenv("LAG_FOR"))
	if err != nil {
		return 4 * time.Second
	}
	t.Logf("the server lags for %v", duration)
	return duration
}

// lagCause is a reason for a server to lag behind the leader.
type lagCause struct {
	name string
	// suspends is set if the server is suspended, and can't report that it lags.
	suspends   bool
	begin, end func(t *testing.T, cluster *testCluster, leader, lagging string)
}

// diskBlockFile returns the path of the file that blocks the log store of a server while it exists.
func (cluster *testCluster) diskBlockFile(name string) string {
	return filepath.Join(cluster.dir, "slow-"+name)
}

const slowDiskCause = "slow disk"

var lagCauses = []lagCause{
	{
		name: slowDiskCause,
		begin: func(t *testing.T, cluster *testCluster, _, lagging string) {
			if err := os.WriteFile(cluster.diskBlockFile(lagging), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		end: func(t *testing.T, cluster *testCluster, _, lagging string) {
			if err := os.Remove(cluster.diskBlockFile(lagging)); err != nil {
				t.Fatal(err)
			}
		},
	},
	{
		name: "delayed link",
		begin: func(t *testing.T, cluster *testCluster, leader, lagging string) {
			if err := cluster.links[serverPair{leader, lagging}].Set(link.Shape{Delay: lagDuration(t)}, link.Shape{}); err != nil {
				t.Fatal(err)
			}
		},
		end: func(t *testing.T, cluster *testCluster, leader, lagging string) {
			if err := cluster.links[serverPair{leader, lagging}].Set(link.Shape{}, link.Shape{}); err != nil {
				t.Fatal(err)
			}
		},
	},
	{
		name:     "suspended",
		suspends: true,
		begin:    func(_ *testing.T, cluster *testCluster, _, lagging string) { cluster.suspend(lagging) },
		end:      func(_ *testing.T, cluster *testCluster, _, lagging string) { cluster.resume(lagging) },
	},
}

// A server lags because its disk is slow, because messages reach it late or because it is suspended. It
// loses its watches to the others, serves no old list, and gets its share of the watches again once it has
// caught up.
func TestLaggingServerLosesItsWatches(t *testing.T) {
	for _, cause := range lagCauses {
		t.Run(cause.name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 3)
			cluster.extraConfig += "stale_after = \"1s\"\n"
			cluster.restartAll(func(_ int, name string) { cluster.setenv(name, diskBlockVariable, cluster.diskBlockFile(name)) })
			leader := cluster.waitForLeader()
			lagging := cluster.others(leader)[0]
			cluster.register("before", 1)
			readers := cluster.startReaders(30)
			readers.waitUntilAllHave("before")
			cause.begin(t, cluster, leader, lagging)
			began := time.Now()
			cluster.register("while", 1, leader)
			readers.waitUntilAllHave("while")
			if took := time.Since(began); took > 20*time.Second {
				t.Errorf("all readers had the change after %v", took)
			}
			if !cause.suspends {
				requireStale(t, cluster, lagging, cause.name == slowDiskCause)
			}
			time.Sleep(lagDuration(t) - time.Since(began))
			for i := range 50 {
				cluster.register(fmt.Sprint("later-", i), 1, leader)
			}
			cause.end(t, cluster, leader, lagging)
			cluster.waitUntil(lagging+" has its share of the watches again", func() bool {
				status, err := cluster.status(lagging)
				return err == nil && !status.Stale && status.Watches >= 5
			})
			cluster.register("after", 1)
			readers.waitUntilAllHave("after")
			readers.waitUntilAllHave("later-49")
		})
	}
}

// requireStale waits until a server reports that it lags and has no watches left. It requires that the
// server serves no list and, if wantLeaderContact is set, that the server reports a recent contact with the
// leader.
func requireStale(t *testing.T, cluster *testCluster, lagging string, wantLeaderContact bool) {
	t.Helper()
	cluster.waitUntil(lagging+" is stale and has no watches", func() bool {
		status, err := cluster.status(lagging)
		return err == nil && status.Stale && status.Watches == 0
	})
	if wantLeaderContact {
		if status, err := cluster.status(lagging); err != nil || status.SinceLeaderContactMs > 1000 || status.LagMs < 1000 {
			t.Errorf("a server that is in contact with the leader and lags reports %+v, %v", status, err)
		}
	}
	// A call without a version is rejected too.
	if list, err := cluster.servers[lagging].client.List(t.Context()); err == nil {
		t.Errorf("the server lists version %d though it lags and others don't", list.Seq)
	}
}

// Clocks that are half a day apart have no effect: leases expire by the leader's elapsed time, no lease
// expires because another server leads, and versions never decrease, not even in a new cluster whose
// leader's clock is behind.
func TestClockSkewHasNoEffect(t *testing.T) {
	const (
		n         = 8
		halfLease = 1500 * time.Millisecond
	)
	cluster := newCluster(t, 3)
	cluster.shortenLeases()
	cluster.extraConfig += "guard_share = 1\n" // seven of twelve servers end, which must not count as a mass failure
	cluster.restartAll(func(i int, name string) {
		cluster.setenv(name, clockOffsetVariable, []string{"11h", "-11h", "0s"}[i])
	})
	cluster.waitForLeader()
	for i := range n {
		cluster.register(fmt.Sprint("s-", i), 1)
	}
	var stoppedServers atomic.Int64 // how many of the last servers have stopped renewing
	cluster.renewAll(100*time.Millisecond, func() []catalog.InstanceRef { return instanceRefs(n - int(stoppedServers.Load())) })
	reader := cluster.startReader(cluster.names...)
	for round := range 3 {
		oldLeader := cluster.waitForLeader()
		cluster.kill(oldLeader)
		stoppedServers.Add(1)
		expiring := fmt.Sprint("s-", n-1-round)
		registered := fmt.Sprint("round-", round)
		cluster.register(registered, 1)
		cluster.waitUntil("the reader gets "+registered, func() bool { return reader.has(registered) })
		cluster.start(oldLeader)
		time.Sleep(halfLease)
		cluster.waitUntil("the lease of "+expiring+", which is no longer renewed, expires", func() bool { return !reader.has(expiring) })
		for i := range n - 1 - round {
			if name := fmt.Sprint("s-", i); !reader.has(name) {
				t.Errorf("round %d: the lease of %s expired though it was renewed", round, name)
			}
		}
	}
	cluster.register("silent", 1)
	cluster.waitUntil("the lease of a server that never renews expires", func() bool {
		return !reader.has("silent") && reader.wasListed("silent")
	})
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.eraseData(name)
		cluster.setenv(name, clockOffsetVariable, "-11h") // on every server, so also on the leader
	}
	cluster.startServers(cluster.names)
	cluster.register("fresh", 1)
	cluster.waitUntil("the reader gets the list of a new cluster", func() bool { return reader.has("fresh") })
	reader.stopAndVerify(t)
}
