package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/leaderelection"
)

const (
	taskTTL = 1500 * time.Millisecond
	// minStableTerm is how long a process must hold a task so that the control plane doesn't blame the task
	// for the end of the process.
	minStableTerm = 2500 * time.Millisecond
)

// taskFault is a fault of a task's holder, or of the servers that grant the task.
type taskFault struct {
	name string
	// inject starts the fault, given the holder, and returns a function that ends it. It returns nil if the
	// fault ends by itself.
	inject func(holder string) (end func())
	// mayKeepTask is set if the same process may hold the task afterwards.
	mayKeepTask bool
	// suspends is set if the holder is suspended: it may then send an operation too late.
	suspends bool
}

// A leased task continues at another process whatever fault its holder has: it is killed, suspended for a
// half, one and three times its TTL, cut off from the servers but not from the resource, cut off in one
// direction, shut down, or its task is revoked or moved by an operator. The same holds for faults of the
// servers. No two terms overlap, although the clocks of the processes run at rates that differ by 5 %.
func TestTaskFailsOverUnderEachFault(t *testing.T) {
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 10, 0.95, 1, 1.05)
	workers.defineTask("work.a", taskTTL)
	for _, fault := range taskFaults(cluster, workers) {
		holder := waitForStableHolder(workers, "work.a")
		began := monotonicNow(t)
		rejected := workers.operations.Analyze().Rejected
		end := fault.inject(holder)
		excludedProcess := holder
		if fault.mayKeepTask {
			excludedProcess = ""
		}
		operation := workers.waitForOperation("work.a", excludedProcess, max(monotonicNow(t), began))
		t.Logf("%s: %s, then %s under fencing token %d after %v", fault.name, holder, operation.Process, operation.Fence, (operation.Mono - began).Round(time.Millisecond))
		// The former holder has time to send another operation, in case it wrongly keeps sending.
		workers.waitForOperation("work.a", excludedProcess, operation.Mono+300*time.Millisecond)
		if n := workers.operations.Analyze().Rejected - rejected; n > 0 && !fault.suspends {
			t.Errorf("%s: %d operations were rejected for their fencing token: the former holder kept sending after its term", fault.name, n)
		}
		if end != nil {
			end()
		}
		workers.requireNoOverlap()
	}
	task, err := cluster.client(cluster.names...).Task(t.Context(), "work.a")
	if err != nil || len(task.History) < 5 || task.History[len(task.History)-1].Reason == "" {
		t.Errorf("the history of the task: %+v, %v", task.History, err)
	}
}

// waitForStableHolder waits until one process has held a task for minStableTerm, and returns its name.
func waitForStableHolder(workers *workerGroup, task string) string {
	workers.cluster.t.Helper()
	firstSeen := map[int64]time.Duration{} // by fencing token
	var operation check.Operation
	workers.cluster.waitUntil("a process holds "+task+" for some time", func() bool {
		operation = workers.operations.Last(task)
		if firstSeen[operation.Fence] == 0 {
			firstSeen[operation.Fence] = operation.Mono
		}
		return operation.Mono-firstSeen[operation.Fence] > minStableTerm
	})
	return operation.Process
}

// taskFaults are the faults of TestTaskFailsOverUnderEachFault, in their order.
func taskFaults(cluster *testCluster, workers *workerGroup) []taskFault {
	suspendFor := func(duration time.Duration) func(string) func() {
		return func(holder string) func() { workers.suspendFor(holder, duration); return nil }
	}
	cutLinks := func(outbound, inbound bool) func(string) func() {
		return func(holder string) func() {
			workers.cutLinks(holder, outbound, inbound)
			return func() { workers.cutLinks(holder, false, false) }
		}
	}
	return []taskFault{
		{name: "killed", inject: func(holder string) func() {
			workers.kill(holder)
			return func() { workers.start(holder) }
		}},
		{name: "suspended for half its TTL", inject: suspendFor(taskTTL / 2), mayKeepTask: true, suspends: true},
		{name: "suspended for its TTL", inject: suspendFor(taskTTL), mayKeepTask: true, suspends: true},
		{name: "suspended for three times its TTL", inject: suspendFor(3 * taskTTL), suspends: true},
		{name: "cut off from the servers", inject: cutLinks(true, true)},
		{name: "cut off from the servers' answers", inject: cutLinks(false, true), mayKeepTask: true},
		{name: "its calls cut off", inject: cutLinks(true, false)},
		{name: "shut down", inject: func(holder string) func() {
			workers.shutDown(holder)
			return func() { workers.start(holder) }
		}},
		{name: "the leader killed", mayKeepTask: true, inject: func(string) func() {
			leader := cluster.waitForLeader()
			cluster.kill(leader)
			return func() { cluster.start(leader) }
		}},
		{name: "all servers restarted", mayKeepTask: true, inject: func(string) func() {
			cluster.restartAll(nil)
			cluster.waitForLeader()
			return nil
		}},
		{name: "revoked", mayKeepTask: true, inject: func(string) func() {
			_ = workers.commandTask("work.a", "revoke", "")
			return nil
		}},
		{name: "moved", inject: func(string) func() {
			cluster.waitUntil("the move is accepted", func() bool { return workers.commandTask("work.a", "move", "") == nil })
			return nil
		}},
		{name: "the holder's server lost, another reachable", mayKeepTask: true, inject: func(holder string) func() {
			nearest := workers.links[holder][0]
			_ = nearest.Refuse()
			return func() {
				_ = nearest.Set(link.Shape{}, link.Shape{})
				_ = nearest.SetTargetAvailability(link.Open)
			}
		}},
	}
}

// A planned move leaves a short gap and never an overlap. A task that is moved to a process that doesn't
// answer stays with its holder. A second process with a name in use is rejected. A task that fails is backed
// off, and one that ends its holders is suspended.
func TestTaskMovesBackoffAndSuspension(t *testing.T) {
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 10)
	workers.defineTask("work.a", taskTTL)
	operation := workers.waitForOperation("work.a", "", 0)
	workers.waitForSessions() // a task can't be moved to a process without one
	for i := range 10 {
		var to string
		for _, name := range workers.names {
			if name != operation.Process && (i%2 == 0 || to == "") {
				to = name
			}
		}
		operation = requireMove(t, workers, operation.Process, to)
	}
	t.Logf("gaps of planned moves: %v", workers.operations.Analyze().HandoverGaps)
	workers.requireNoOverlap()

	unready := workers.names[0]
	if unready == operation.Process {
		unready = workers.names[1]
	}
	workers.suspend(unready)
	requireMoveIsCanceled(t, workers, operation, unready)
	workers.resume(unready)
	workers.kill(unready)
	requireMoveIsCanceled(t, workers, operation, unready)
	workers.start(unready)

	requireDuplicateWorkerIsRejected(t, workers, operation.Process)
	workers.defineTask("fail.a", taskTTL)
	cluster.waitUntil("fail.a has failed at several processes and is backed off", func() bool {
		task, err := cluster.client(cluster.names...).Task(t.Context(), "fail.a")
		failedAt := map[string]bool{}
		for _, term := range task.History {
			failedAt[term.Process] = term.Reason == catalog.ReasonFailed
		}
		return err == nil && task.Failures >= 3 && task.NotBefore > 0 && len(failedAt) >= 2
	})
	workers.defineTask("kill.a", taskTTL)
	cluster.waitUntil("kill.a, which ends its holders, is suspended", func() bool {
		for _, name := range workers.names { // as a platform would
			if !workers.processes[name].Running() {
				_ = workers.processes[name].Start()
			}
		}
		task, err := cluster.client(cluster.names...).Task(t.Context(), "kill.a")
		return err == nil && task.SuspendReason != "" && task.Holder == ""
	})
	workers.waitForOperation("work.a", "", monotonicNow(t)) // while other tasks fail
	workers.requireNoOverlap()
}

// requireMove moves work.a from one process to another and returns an operation of the new holder.
func requireMove(t *testing.T, workers *workerGroup, from, to string) check.Operation {
	t.Helper()
	if err := workers.commandTask("work.a", "move", to); err != nil {
		t.Fatal(err)
	}
	operation := workers.waitForOperation("work.a", from, 0)
	if operation.Process != to {
		t.Errorf("the task was moved to %s and went to %s", to, operation.Process)
	}
	return operation
}

// requireMoveIsCanceled moves work.a to a process that is not ready, and requires that the task stays in
// the term of an earlier operation.
func requireMoveIsCanceled(t *testing.T, workers *workerGroup, earlier check.Operation, unready string) {
	t.Helper()
	cluster := workers.cluster
	if err := workers.commandTask("work.a", "move", unready); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("the move to "+unready+" is canceled", func() bool {
		task, err := cluster.client(cluster.names...).Task(t.Context(), "work.a")
		return err == nil && task.Successor == "" && task.Holder == earlier.Process
	})
	if now := workers.waitForOperation("work.a", "", monotonicNow(t)); now.Process != earlier.Process || now.Fence != earlier.Fence {
		t.Errorf("held by %s under fencing token %d, then by %s under %d", earlier.Process, earlier.Fence, now.Process, now.Fence)
	}
}

// requireDuplicateWorkerIsRejected starts a second process with the name of the holder of work.a. It waits
// until the second process logs that the name is in use, kills both processes, waits until another process
// holds work.a, and restarts the holder.
func requireDuplicateWorkerIsRejected(t *testing.T, workers *workerGroup, holder string) {
	t.Helper()
	cluster := workers.cluster
	duplicate := cluster.supervisor.Add(workers.processes[holder].Spec)
	duplicate.Log = filepath.Join(cluster.dir, "duplicate.log")
	startProcess(t, duplicate)
	cluster.waitUntil("the second process of the name reports the first", func() bool {
		return strings.Contains(processLog(duplicate), "process name already in use, waiting for the other session to end")
	})
	workers.kill(holder)
	duplicate.Kill()
	workers.waitForOperation("work.a", holder, monotonicNow(t))
	workers.start(holder)
}

// Many tasks are spread evenly over the processes, and redistributed when a process ends or joins. While
// neither happens, no task changes its holder.
func TestTasksAreBalanced(t *testing.T) {
	const (
		n            = 300
		stablePeriod = 3 * time.Second
	)
	cluster := newCluster(t, 3)
	workers := cluster.startWorkers(3, 1000)
	for i := range n {
		workers.defineTask(fmt.Sprint("idle.", i), 3*time.Second)
	}
	holderCounts := func() (counts map[string]int, free int) { return countIdleTasks(cluster, n) }
	isSpreadOver := func(processes int) func() bool {
		return func() bool {
			counts, free := holderCounts()
			for _, count := range counts {
				if count > n/processes*12/10+3 || count < n/processes*8/10-3 {
					return false
				}
			}
			return free == 0 && len(counts) == processes
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			counts, free := holderCounts()
			t.Logf("held by %v, %d free", counts, free)
		}
	})
	cluster.waitUntil("the tasks are spread over three processes", isSpreadOver(3))
	began := time.Now()
	workers.kill("w-2")
	cluster.waitUntil("the tasks are spread over two processes", isSpreadOver(2))
	took := time.Since(began)
	before, err := cluster.client(cluster.names...).Tasks(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(stablePeriod)
	after, err := cluster.client(cluster.names...).Tasks(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range after {
		if after[i].Fence != before[i].Fence {
			t.Errorf("%s changed its holder though no process ended or joined", after[i].Name)
		}
	}
	workers.add("w-4", 1000, 1)
	cluster.waitUntil("the tasks are spread over three processes again", isSpreadOver(3))
	t.Logf("the tasks were redistributed %v after the kill of a process that held a third of them", took)
}

// countIdleTasks returns how many of the tasks named idle.* each process holds, and how many have no holder;
// these are n if no server answers. It doesn't use the test's context, as a cleanup calls it too.
func countIdleTasks(cluster *testCluster, n int) (counts map[string]int, free int) {
	counts = map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	tasks, err := cluster.client(cluster.names...).Tasks(ctx)
	if err != nil {
		return counts, n
	}
	for i := range tasks {
		switch task := &tasks[i]; {
		case !strings.HasPrefix(task.Name, "idle."):
		case task.Holder == "":
			free++
		default:
			counts[task.Holder]++
		}
	}
	return counts, free
}

// A suspended leader receives renewals when it is resumed, and may still consider itself the leader. It must
// not confirm the renewal of a session that has ended at the next leader.
func TestResumedLeaderAnswersNoRenewalOfEndedSession(t *testing.T) {
	const renewals = 40
	cluster := newCluster(t, 3)
	for round := range 4 {
		process, id := fmt.Sprint("p-", round), fmt.Sprint("id-", round)
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		if err := cluster.client(cluster.names...).OpenSession(ctx, catalog.Session{Process: process, ID: id}); err != nil {
			t.Fatal(err)
		}
		oldLeader := cluster.waitForLeader()
		cluster.suspend(oldLeader)
		cluster.waitUntil("the session has ended", func() bool {
			err := cluster.client(cluster.others(oldLeader)...).EndSession(ctx, process, id, false)
			return err == nil || errors.Is(err, leaderelection.ErrSessionExpired)
		})
		confirmed := cluster.sendWhileSuspended(oldLeader, renewals, func(ctx context.Context, client *control.Client) bool {
			_, err := client.RenewSession(ctx, process, id, 0)
			return err == nil
		})
		cluster.resume(oldLeader)
		for range renewals {
			if <-confirmed {
				t.Fatalf("round %d: the renewal of a session that had ended before it was sent was confirmed", round)
			}
		}
	}
}
