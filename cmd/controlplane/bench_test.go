package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
)

// reportPercentiles reports the median, the 99th percentile and the maximum of durations, in ms.
func reportPercentiles(b *testing.B, prefix string, durations []time.Duration) {
	b.Helper()
	slices.Sort(durations)
	last := len(durations) - 1
	b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), prefix+"-p50-ms")
	b.ReportMetric(float64(durations[min(len(durations)*99/100, last)].Milliseconds()), prefix+"-p99-ms")
	b.ReportMetric(float64(durations[last].Milliseconds()), prefix+"-max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLeaderFailover kills the leader and measures the time to the next acknowledged write, with the
// default settings of servers.
func BenchmarkLeaderFailover(b *testing.B) {
	const (
		callTimeout = 300 * time.Millisecond
		writePause  = 5 * time.Millisecond // after a failed write; limits the precision of the gap
	)
	cluster := newCluster(b, 3)
	cluster.extraConfig = ""
	cluster.restartAll(nil)
	var gaps []time.Duration
	for i := range b.N {
		oldLeader := cluster.waitForLeader()
		others := control.NewClient(cluster.client(cluster.others(oldLeader)...).Addrs, callTimeout)
		cluster.kill(oldLeader)
		began := time.Now()
		for {
			ctx, cancel := context.WithTimeout(b.Context(), callTimeout)
			_, err := others.Register(ctx, newEndpoint("s", float64(i+1)))
			cancel()
			if err == nil {
				break
			}
			time.Sleep(writePause)
		}
		gaps = append(gaps, time.Since(began))
		cluster.start(oldLeader)
		cluster.waitUntil("the former leader has caught up", func() bool {
			status, err := cluster.status(oldLeader)
			leader, leaderErr := cluster.status(cluster.waitForLeader())
			return err == nil && leaderErr == nil && status.Seq == leader.Seq
		})
	}
	reportPercentiles(b, "gap", gaps)
}

// usage returns the processor time that a server has used and its resident memory.
func (cluster *testCluster) usage(name string) (cpu time.Duration, rssMB float64) {
	sample, _, _ := cluster.servers[name].proc.SampleUsage()
	return sample.CPU, sample.RSSMB
}

// countingTransport counts the calls that it makes.
type countingTransport struct {
	http.RoundTripper
	calls *atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return c.RoundTripper.RoundTrip(r)
}

// watchLoad runs many watches like those of agents.
type watchLoad struct {
	cluster *testCluster
	began   time.Time
	calls   atomic.Int64
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu                sync.Mutex
	firstLists        []time.Duration // time from the start of all watches to the first list of each
	listsReceived     int             // by all watches
	watchesWithMarker int             // watches that have received watchLoadMarker
}

// watchLoadMarker is the name of a server: a watchLoad counts the watches that have received it.
const watchLoadMarker = "back"

// startWatchLoad starts n watches, which run until the load's stop is called.
func (cluster *testCluster) startWatchLoad(n int) *watchLoad {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	load := &watchLoad{cluster: cluster, began: time.Now(), stop: cancel}
	for i := range n {
		load.done.Go(func() { load.watch(ctx, i, n) })
	}
	return load
}

// watch runs one watch until the context ends, with the pauses that an agent makes between calls.
func (load *watchLoad) watch(ctx context.Context, index, n int) {
	hasList, hasMarker := false, false
	var version int64
	client := endpoints.NewClient(endpoints.ClientConfig{
		Addresses:   load.cluster.client(load.cluster.names...).Addrs,
		OrderSeed:   uint64(index),
		Fleet:       n,
		RejectOlder: true,
		Transport:   countingTransport{&http.Transport{DisableKeepAlives: true}, &load.calls},
	})
	for ctx.Err() == nil {
		_ = client.Watch(ctx, version, func(list endpoints.List) {
			version = list.Seq
			load.mu.Lock()
			defer load.mu.Unlock()
			if !hasMarker && slices.ContainsFunc(list.Endpoints, func(e endpoints.Endpoint) bool { return e.Name == watchLoadMarker }) {
				hasMarker = true
				load.watchesWithMarker++
			}
			load.listsReceived++
			if !hasList {
				hasList = true
				load.firstLists = append(load.firstLists, time.Since(load.began))
			}
		})
		time.Sleep(agentReconnectPause(index * 37)) // spreads neighboring indexes over time
	}
}

// waitUntil waits until a condition on the counts holds.
func (load *watchLoad) waitUntil(description string, condition func() bool) {
	load.cluster.t.Helper()
	load.cluster.waitUntil(description, func() bool {
		load.mu.Lock()
		defer load.mu.Unlock()
		return condition()
	})
}

// BenchmarkWatches opens many watches at three servers and measures how long each waits for its first list.
// Then it makes twenty changes a second for five seconds and measures the leader's processor time and memory.
// Finally it restarts all servers and measures the time until all watches have reconnected.
func BenchmarkWatches(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cluster := newCluster(b, 3)
			for i := range 200 {
				cluster.register(fmt.Sprint("s-", i), 1)
			}
			for range b.N {
				load := cluster.startWatchLoad(n)
				load.waitUntil("all watches have a list", func() bool { return len(load.firstLists) == n })
				load.mu.Lock()
				reportPercentiles(b, "first", slices.Clone(load.firstLists))
				load.mu.Unlock()
				b.ReportMetric(float64(load.calls.Load())/float64(n), "calls/watch")
				reportChanges(b, load, n)
				reportReconnect(b, load, n)
				load.stop()
				load.done.Wait()
			}
		})
	}
}

// reportChanges makes changes at the leader and reports the processor time and memory that the leader uses.
func reportChanges(b *testing.B, load *watchLoad, n int) {
	b.Helper()
	const changes, interval = 100, 50 * time.Millisecond
	cluster := load.cluster
	load.mu.Lock()
	before := load.listsReceived
	load.mu.Unlock()
	leader := cluster.waitForLeader()
	cpuBefore, _ := cluster.usage(leader)
	for i := range changes {
		next := time.Now().Add(interval)
		cluster.register(fmt.Sprint("s-", i%200), float64(i+2), leader)
		time.Sleep(time.Until(next))
	}
	load.waitUntil("the watches have received nine tenths of the changes", func() bool { return load.listsReceived >= before+n*changes*9/10 })
	cpuAfter, rss := cluster.usage(leader)
	b.ReportMetric(float64(cpuAfter-cpuBefore)/float64(changes*interval), "cores-of-the-leader")
	b.ReportMetric(rss, "MB-of-the-leader")
}

// reportReconnect restarts all servers at once and reports how long the watches take to reconnect, and with how
// many calls.
func reportReconnect(b *testing.B, load *watchLoad, n int) {
	b.Helper()
	cluster := load.cluster
	callsBefore := load.calls.Load()
	cluster.killServers(cluster.names)
	killed := time.Now()
	cluster.startServers(cluster.names)
	cluster.register(watchLoadMarker, 1)
	load.waitUntil("all watches have reconnected", func() bool { return load.watchesWithMarker == n })
	b.ReportMetric(time.Since(killed).Seconds(), "s-until-all-are-back")
	b.ReportMetric(float64(load.calls.Load()-callsBefore)/float64(n), "calls/watch-to-come-back")
}

// runInParallel calls do with 0 to n-1, in 16 goroutines.
func runInParallel(n int, do func(i int)) {
	const workers = 16
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			for i := worker; i < n; i += workers {
				do(i)
			}
		})
	}
	running.Wait()
}

// BenchmarkRestart restarts a server with ten thousand entries and measures the time until the server serves
// all of them.
func BenchmarkRestart(b *testing.B) {
	const entries = 10_000
	cluster := newCluster(b, 1)
	name := cluster.names[0]
	runInParallel(entries, func(i int) { cluster.register(fmt.Sprint("s-", i), 1) })
	var durations []time.Duration
	for range b.N {
		cluster.kill(name)
		cluster.start(name)
		began := time.Now()
		cluster.waitUntil("all entries are served", func() bool {
			resp, err := http.Get("http://" + cluster.servers[name].http + endpoints.Path)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			status, err := cluster.status(name)
			return resp.StatusCode == http.StatusOK && err == nil && status.Listed == entries
		})
		durations = append(durations, time.Since(began))
	}
	reportPercentiles(b, "ready", durations)
	if log := processLog(cluster.servers[name].proc); strings.Contains(log, "ERROR") {
		b.Errorf("the server logged an error: %s", tail(log, 500))
	}
}

// BenchmarkTaskHandover repeatedly kills the holder of a task with a TTL of 3 s, and measures the time from the
// holder's last operation to the first one of its successor. Then it moves the task by command, and measures the
// gap between the operations of the two holders.
func BenchmarkTaskHandover(b *testing.B) {
	const kills, moves = 100, 100
	cluster := newCluster(b, 3)
	workers := cluster.startWorkers(6, 10)
	workers.defineTask("work.a", 3*time.Second)
	operation := workers.waitForOperation("work.a", "", 0)
	var durations []time.Duration
	for range kills {
		workers.kill(operation.Process)
		last := workers.operations.Last("work.a").Mono
		next := workers.waitForOperation("work.a", operation.Process, 0)
		durations = append(durations, next.Mono-last)
		workers.start(operation.Process)
		operation = next
		time.Sleep(minStableTerm) // a holder that ends sooner counts as a failure of the task
	}
	reportPercentiles(b, "after-kill", durations)
	before := len(workers.operations.Analyze().HandoverGaps)
	for range moves {
		if err := workers.commandTask("work.a", "move", ""); err == nil {
			operation = workers.waitForOperation("work.a", operation.Process, 0)
		}
	}
	result := workers.operations.Analyze()
	reportPercentiles(b, "planned-gap", result.HandoverGaps[before:])
	if len(result.Violations) > 0 {
		b.Errorf("%d overlaps of terms: %s", len(result.Violations), result.Violations[0])
	}
}

// BenchmarkLeasedTasks defines many tasks for nine processes. Once all are held, it measures the leader's log
// entries, processor time and memory while nothing happens, and how long it takes after the kill of a process
// until all tasks are held again.
func BenchmarkLeasedTasks(b *testing.B) {
	const (
		balancingTime = 15 * time.Second // the tasks are spread evenly afterwards
		idleTime      = 10 * time.Second
	)
	for _, n := range []int{1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cluster := newCluster(b, 3)
			workers := cluster.startWorkers(9, 2000)
			runInParallel(n, func(i int) { workers.defineTask(fmt.Sprint("idle.", i), 3*time.Second) })
			freeTasks := func() int { return countFreeTasks(cluster, n) }
			cluster.waitUntil("all tasks are held", func() bool { return freeTasks() == 0 })
			time.Sleep(balancingTime)
			leader := cluster.waitForLeader()
			before, _ := cluster.status(leader)
			cpuBefore, _ := cluster.usage(leader)
			time.Sleep(idleTime)
			after, _ := cluster.status(leader)
			cpuAfter, rss := cluster.usage(leader)
			b.ReportMetric(float64(after.Applied-before.Applied)/idleTime.Seconds(), "log-entries/s")
			b.ReportMetric(float64(cpuAfter-cpuBefore)/float64(idleTime), "cores-of-the-leader")
			b.ReportMetric(rss, "MB-of-the-leader")
			began := time.Now()
			workers.kill("w-1")
			cluster.waitUntil("the killed process's tasks are free", func() bool { return freeTasks() > 0 })
			cluster.waitUntil("all tasks are held again", func() bool { return freeTasks() == 0 })
			b.ReportMetric(time.Since(began).Seconds(), "s-until-all-are-held")
		})
	}
}

// countFreeTasks returns the number of tasks without a holder, or n if the leader doesn't answer.
func countFreeTasks(cluster *testCluster, n int) (free int) {
	ctx, cancel := context.WithTimeout(cluster.t.Context(), readTimeout)
	defer cancel()
	tasks, err := cluster.client(cluster.waitForLeader()).Tasks(ctx)
	if err != nil {
		return n
	}
	for i := range tasks {
		if tasks[i].Holder == "" {
			free++
		}
	}
	return free
}

// BenchmarkTimeWithoutHolder injects a fault every ten seconds for ten minutes, at a TTL of 3 s, and
// measures the share of the time in which no holder of a task performed operations.
func BenchmarkTimeWithoutHolder(b *testing.B) {
	const (
		duration = 10 * time.Minute
		interval = 10 * time.Second
	)
	cluster := newCluster(b, 3)
	workers := cluster.startWorkers(4, 10, 0.95, 1, 1.05)
	for i := range scheduledTasks {
		workers.defineTask(scheduledTaskName(i), 3*time.Second)
	}
	rng := rand.New(rand.NewPCG(77, 1))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		next := time.Now().Add(interval)
		workers.injectFault(rng)
		time.Sleep(time.Until(next))
	}
	result := workers.operations.Analyze()
	b.ReportMetric(100*float64(result.Idle)/float64(result.Total), "percent-unheld")
	b.ReportMetric(float64(result.Terms), "terms")
	b.ReportMetric(float64(result.Rejected), "acts-refused")
	b.ReportMetric(0, "ns/op")
	if len(result.Violations) > 0 {
		b.Errorf("%d overlaps of terms: %s", len(result.Violations), result.Violations[0])
	}
}
