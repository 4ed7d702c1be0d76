package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
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

// reportPercentiles gives the figures of some durations.
func reportPercentiles(b *testing.B, what string, all []time.Duration) {
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Milliseconds()), what+"-p50-ms")
	b.ReportMetric(float64(all[min(len(all)*99/100, len(all)-1)].Milliseconds()), what+"-p99-ms")
	b.ReportMetric(float64(all[len(all)-1].Milliseconds()), what+"-max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLeaderFailover kills the leader and measures the time to the first write that is
// acknowledged after it, at the settings that stewards have by default.
func BenchmarkLeaderFailover(b *testing.B) {
	cluster := newCluster(b, 3)
	for _, name := range cluster.names {
		cluster.kill(name)
	}
	cluster.extraConfig = ""
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		cluster.start(name)
	}
	var gaps []time.Duration
	for i := range b.N {
		oldLeader := cluster.waitForLeader()
		others := control.NewClient(cluster.client(cluster.others(oldLeader)...).Addrs, 300*time.Millisecond)
		cluster.kill(oldLeader)
		began := time.Now()
		for {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, err := others.Register(ctx, newEndpoint("s", float64(i+1)))
			cancel()
			if err == nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		gaps = append(gaps, time.Since(began))
		cluster.start(oldLeader)
		cluster.waitUntil("all three are well", func() bool {
			status, err := cluster.status(oldLeader)
			leader, leaderErr := cluster.status(cluster.waitForLeader())
			return err == nil && leaderErr == nil && status.Seq == leader.Seq
		})
	}
	reportPercentiles(b, "gap", gaps)
}

// usage is the processor time and the memory that a steward tells of itself.
func (cluster *testCluster) usage(name string) (cpu time.Duration, rssMB float64) {
	use, _, _ := cluster.servers[name].proc.Look()
	return use.CPU, use.RSSMB
}

// countingTransport counts the calls that go out.
type countingTransport struct {
	http.RoundTripper
	calls *atomic.Int64
}

func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return c.RoundTripper.RoundTrip(r)
}

// BenchmarkWatches opens many watches in one second's time at three stewards and measures
// the time to the last first line; then it makes twenty changes a second for five seconds
// and measures what a steward uses.
func BenchmarkWatches(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cluster := newCluster(b, 3)
			for i := range 200 {
				cluster.register(fmt.Sprint("s-", i), 1)
			}
			for range b.N {
				ctx, cancel := context.WithCancel(context.Background())
				var mu sync.Mutex
				var firsts []time.Duration
				var got, backAgain int
				var calls atomic.Int64
				began := time.Now()
				var all sync.WaitGroup
				for i := range n {
					all.Add(1)
					go func() {
						defer all.Done()
						first, back := true, false
						var seq int64
						c := endpoints.NewClient(endpoints.ClientConfig{Addresses: cluster.client(cluster.names...).Addrs, Order: uint64(i),
							Fleet: n, RejectOlder: true, Transport: countingTransport{&http.Transport{DisableKeepAlives: true}, &calls}})
						for ctx.Err() == nil { // each round is one that the policy of an agent begins
							_ = c.Watch(ctx, seq, func(l endpoints.List) {
								seq = l.Seq
								mu.Lock()
								defer mu.Unlock()
								if !back && slices.ContainsFunc(l.Endpoints, func(h endpoints.Endpoint) bool { return h.Name == "back" }) {
									back = true
									backAgain++
								}
								if got++; first {
									first, firsts = false, append(firsts, time.Since(began))
								}
							})
							time.Sleep(time.Duration(500+(i*37)%500) * time.Millisecond)
						}
					}()
				}
				cluster.waitUntil("all are served", func() bool { mu.Lock(); defer mu.Unlock(); return len(firsts) == n })
				mu.Lock()
				reportPercentiles(b, "first", slices.Clone(firsts))
				b.ReportMetric(float64(calls.Load())/float64(n), "calls/watch")
				before := got
				mu.Unlock()
				lead := cluster.waitForLeader()
				from, _ := cluster.usage(lead)
				const changes, every = 100, 50 * time.Millisecond
				for i := range changes {
					next := time.Now().Add(every)
					cluster.register(fmt.Sprint("s-", i%200), float64(i+2), lead)
					time.Sleep(time.Until(next))
				}
				cluster.waitUntil("all were told of the last", func() bool { mu.Lock(); defer mu.Unlock(); return got >= before+n*changes*9/10 })
				to, rss := cluster.usage(lead)
				b.ReportMetric(float64(to-from)/float64(changes*every), "cores-of-the-leader")
				b.ReportMetric(rss, "MB-of-the-leader")
				// All stewards end and start at once: each reader has to come back, by itself.
				made := calls.Load()
				for _, name := range cluster.names {
					cluster.kill(name)
				}
				died := time.Now()
				for _, name := range cluster.names {
					cluster.start(name)
				}
				cluster.register("back", 1)
				cluster.waitUntil("all are back", func() bool { mu.Lock(); defer mu.Unlock(); return backAgain == n })
				b.ReportMetric(time.Since(died).Seconds(), "s-until-all-are-back")
				b.ReportMetric(float64(calls.Load()-made)/float64(n), "calls/watch-to-come-back")
				cancel()
				all.Wait()
			}
		})
	}
}

// BenchmarkRestart restarts a steward that holds ten thousand entries, and measures the
// time until it serves all of them.
func BenchmarkRestart(b *testing.B) {
	cluster := newCluster(b, 1)
	name := cluster.names[0]
	var writers sync.WaitGroup
	for part := range 16 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for i := part; i < 10_000; i += 16 {
				cluster.register(fmt.Sprint("s-", i), 1)
			}
		}()
	}
	writers.Wait()
	var took []time.Duration
	for range b.N {
		cluster.kill(name)
		cluster.start(name)
		began := time.Now()
		cluster.waitUntil("all are served", func() bool {
			resp, err := http.Get("http://" + cluster.servers[name].http + endpoints.Path)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			status, err := cluster.status(name)
			return resp.StatusCode == http.StatusOK && err == nil && status.Listed == 10_000
		})
		took = append(took, time.Since(began))
	}
	reportPercentiles(b, "ready", took)
	if text, err := os.ReadFile(cluster.servers[name].proc.Log); err == nil && strings.Contains(string(text), "ERROR") {
		b.Errorf("it complains: %s", text[max(0, len(text)-500):])
	}
}

// BenchmarkTaskHandover kills the holder of a duty with a lease of 3 s again and again, and
// measures the time until another acts under it; then it moves it as planned, and measures
// the gap between the two holders' acts.
func BenchmarkTaskHandover(b *testing.B) {
	cluster := newCluster(b, 3)
	workers := cluster.startWorkers(6, 10)
	const kills, moves = 100, 100
	workers.defineTask("work.a", 3*time.Second)
	operation := workers.waitForOperation("work.a", "", 0)
	var took []time.Duration
	for range kills {
		workers.kill(operation.Process)
		died := workers.operations.Last("work.a").Mono
		next := workers.waitForOperation("work.a", operation.Process, 0)
		took = append(took, next.Mono-died)
		workers.start(operation.Process)
		operation = next
		time.Sleep(2500 * time.Millisecond) // or its next end would be blamed on the duty
	}
	reportPercentiles(b, "after-kill", took)
	before := len(workers.operations.Judge().Gaps)
	for range moves {
		if err := workers.commandTask("work.a", "move", ""); err == nil {
			operation = workers.waitForOperation("work.a", operation.Process, 0)
		}
	}
	result := workers.operations.Judge()
	reportPercentiles(b, "planned-gap", result.Gaps[before:])
	if len(result.Broke) > 0 {
		b.Errorf("%d overlaps: %s", len(result.Broke), result.Broke[0])
	}
}

// BenchmarkLeasedTasks defines many duties for nine processes and measures, once all are held,
// what the leader writes and uses while nothing happens, and how long it takes until all
// are held again after a death.
func BenchmarkLeasedTasks(b *testing.B) {
	for _, n := range []int{1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cluster := newCluster(b, 3)
			workers := cluster.startWorkers(9, 2000)
			var all sync.WaitGroup
			for part := range 16 {
				all.Add(1)
				go func() {
					defer all.Done()
					for i := part; i < n; i += 16 {
						workers.defineTask(fmt.Sprint("idle.", i), 3*time.Second)
					}
				}()
			}
			all.Wait()
			free := func() int {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				ds, err := cluster.client(cluster.waitForLeader()).Tasks(ctx)
				if err != nil {
					return n
				}
				count := 0
				for i := range ds {
					if ds[i].Holder == "" {
						count++
					}
				}
				return count
			}
			cluster.waitUntil("all are held", func() bool { return free() == 0 })
			time.Sleep(15 * time.Second) // evened out
			lead := cluster.waitForLeader()
			status, _ := cluster.status(lead)
			cpu, _ := cluster.usage(lead)
			const rest = 10 * time.Second
			time.Sleep(rest)
			after, _ := cluster.status(lead)
			to, rss := cluster.usage(lead)
			b.ReportMetric(float64(after.Applied-status.Applied)/rest.Seconds(), "log-entries/s")
			b.ReportMetric(float64(to-cpu)/float64(rest), "cores-of-the-leader")
			b.ReportMetric(rss, "MB-of-the-leader")
			began := time.Now()
			workers.kill("w-1")
			cluster.waitUntil("its duties are free", func() bool { return free() > 0 })
			cluster.waitUntil("all are held again", func() bool { return free() == 0 })
			b.ReportMetric(time.Since(began).Seconds(), "s-until-all-are-held")
		})
	}
}

// BenchmarkTimeWithoutHolder plays a fault every ten seconds for ten minutes, at a lease of 3 s, and
// measures for what share of the time a duty had nobody who acted.
func BenchmarkTimeWithoutHolder(b *testing.B) {
	cluster := newCluster(b, 3)
	workers := cluster.startWorkers(4, 10, 0.95, 1, 1.05)
	for i := range 4 {
		workers.defineTask(fmt.Sprint("work.", i), 3*time.Second)
	}
	rng := rand.New(rand.NewPCG(77, 1))
	for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); {
		next := time.Now().Add(10 * time.Second)
		workers.injectFault(rng)
		time.Sleep(time.Until(next))
	}
	result := workers.operations.Judge()
	b.ReportMetric(100*float64(result.Idle)/float64(result.All), "percent-unheld")
	b.ReportMetric(float64(result.Terms), "terms")
	b.ReportMetric(float64(result.Refused), "acts-refused")
	b.ReportMetric(0, "ns/op")
	if len(result.Broke) > 0 {
		b.Errorf("%d overlaps: %s", len(result.Broke), result.Broke[0])
	}
}
