package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/link"
)

const (
	scheduledTasks  = 4
	scheduledFaults = 8
	// maxSchedulePauseMs bounds the random pause after each fault of a schedule.
	maxSchedulePauseMs = 500
	// minTermsPerSchedule is the least average number of terms of a schedule, over all tasks.
	minTermsPerSchedule = 6
)

// countFromEnvironment returns the number in an environment variable, or defaultCount if the variable is not
// set.
func countFromEnvironment(t *testing.T, variable string, defaultCount int) int {
	t.Helper()
	value := os.Getenv(variable)
	if value == "" {
		return defaultCount
	}
	count, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return count
}

// Under random schedules of kills, suspensions, cuts, moves and revocations of workers and servers, no two
// processes hold a task at the same time, and the resource accepts no fencing token after a higher one. The
// environment variable DUTY_SEEDS sets the number of schedules.
func TestTasksNeverOverlapUnderRandomFaults(t *testing.T) {
	schedules := countFromEnvironment(t, "DUTY_SEEDS", 10)
	var mu sync.Mutex
	terms, rejected := 0, 0
	t.Run("all", func(t *testing.T) {
		for seed := range schedules {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				result := runTaskSchedule(t, uint64(seed)+1000)
				mu.Lock()
				defer mu.Unlock()
				terms += result.Terms
				rejected += result.Rejected
			})
		}
	})
	if terms < minTermsPerSchedule*schedules {
		t.Errorf("%d terms of %d tasks in %d schedules: too few changes of holders", terms, scheduledTasks, schedules)
	}
	t.Logf("%d schedules, %d terms, %d operations rejected for their fencing token", schedules, terms, rejected)
}

// runTaskSchedule runs one schedule of random faults and returns what the resource recorded.
func runTaskSchedule(t *testing.T, seed uint64) check.Analysis {
	t.Helper()
	rng := newSeededRand(t, seed)
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 10, 0.95, 1.05, 1)
	for i := range scheduledTasks {
		workers.defineTask(scheduledTaskName(i), time.Second)
	}
	for i := range scheduledTasks {
		workers.waitForOperation(scheduledTaskName(i), "", 0)
	}
	for range scheduledFaults {
		workers.injectFault(rng)
		time.Sleep(time.Duration(rng.IntN(maxSchedulePauseMs)) * time.Millisecond)
	}
	// A task may have been suspended because its holders ended.
	for i := range scheduledTasks {
		name := scheduledTaskName(i)
		cluster.waitUntil(name+" is not suspended", func() bool { return workers.commandTask(name, "unpark", "") == nil })
	}
	now := monotonicNow(t)
	for i := range scheduledTasks {
		workers.waitForOperation(scheduledTaskName(i), "", now)
	}
	workers.requireNoOverlap()
	result := workers.operations.Analyze()
	t.Logf("%d terms, %d operations rejected for their fencing token, no holder acted for %.0f %% of the time", result.Terms, result.Rejected, 100*float64(result.Idle)/float64(result.Total))
	return result
}

// scheduledTaskName returns the name of a task of a schedule.
func scheduledTaskName(i int) string { return fmt.Sprint("work.", i) }

// injectFault injects one random fault into a worker, a task or a server, and ends it.
func (workers *workerGroup) injectFault(rng *rand.Rand) {
	workers.cluster.t.Helper()
	worker := workers.names[rng.IntN(len(workers.names))]
	duration := time.Duration(300+rng.IntN(2200)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		workers.cluster.injectFault(rng)
	case 2:
		workers.kill(worker)
		time.Sleep(duration / 3)
		workers.start(worker)
	case 3, 4:
		workers.suspendFor(worker, duration)
	case 5:
		workers.cutLinks(worker, rng.IntN(2) == 0, true)
		time.Sleep(duration)
		workers.cutLinks(worker, false, false)
	case 6:
		_ = workers.commandTask(scheduledTaskName(rng.IntN(scheduledTasks)), []string{"move", "revoke"}[rng.IntN(2)], "")
	case 7:
		workers.shutDown(worker)
		workers.start(worker)
	}
}

const (
	minFaultPause = 150 * time.Millisecond
	// maxHistoryFaults bounds the faults of a recorded history. A busy machine needs more of them than
	// an idle one before the clients have made enough operations for a conclusive check.
	maxHistoryFaults = 24
)

// injectFaults injects random faults into the servers, one after the other: first count of them, and then
// more, up to maxHistoryFaults in all, until isLongEnough reports that the history recorded meanwhile is
// long enough to be checked. Before each fault it pauses between minFaultPause and maxPause.
func (cluster *testCluster) injectFaults(rng *rand.Rand, count int, maxPause time.Duration, isLongEnough func() bool) {
	cluster.t.Helper()
	pauseRangeMs := int((maxPause - minFaultPause).Milliseconds())
	for injected := 0; injected < count || injected < maxHistoryFaults && !isLongEnough(); injected++ {
		time.Sleep(minFaultPause + time.Duration(rng.IntN(pauseRangeMs))*time.Millisecond)
		cluster.injectFault(rng)
	}
}

// injectFault injects one random fault into a server, mostly into the leader, and ends it.
func (cluster *testCluster) injectFault(rng *rand.Rand) {
	cluster.t.Helper()
	name := cluster.names[rng.IntN(3)]
	if rng.IntN(3) > 0 {
		for _, candidate := range cluster.names {
			if cluster.isLeader(candidate) {
				name = candidate
			}
		}
	}
	duration := time.Duration(200+rng.IntN(1200)) * time.Millisecond
	switch rng.IntN(5) {
	case 0:
		cluster.kill(name)
		time.Sleep(duration / 4)
		cluster.start(name)
	case 1:
		cluster.suspend(name)
		time.Sleep(duration)
		cluster.resume(name)
	default:
		outbound, inbound := link.Shape{Cut: rng.IntN(2) == 0}, cutShape
		if rng.IntN(2) == 0 {
			outbound, inbound = inbound, outbound
		}
		cluster.shapeLinks(name, outbound, inbound)
		time.Sleep(duration)
		cluster.shapeLinks(name, link.Shape{}, link.Shape{})
	}
}
