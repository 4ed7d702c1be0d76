package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/worker"
)

// monotonicNow returns the time on the machine's monotonic clock, with which operations are stamped.
func monotonicNow(t testing.TB) time.Duration {
	t.Helper()
	now, err := worker.Monotonic()
	if err != nil {
		t.Fatal(err)
	}
	return now
}

// workerMain runs a process that holds leased tasks and acts under them. Environment variables configure it.
func workerMain() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	config := worker.Config{
		Name:              os.Getenv("WORKER_NAME"),
		ControlPlaneAddrs: strings.Split(os.Getenv("WORKER_AT"), ","),
		OperationAddrs:    []string{os.Getenv("WORKER_RESOURCE")},
	}
	config.ClockRate, _ = strconv.ParseFloat(os.Getenv("WORKER_RATE"), 64)
	config.MaxTasks, _ = strconv.Atoi(os.Getenv("WORKER_CAP"))
	worker.Run(ctx, config, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("worker", config.Name))
}

// workerGroup is a group of worker processes, with a link from each to each server of the control plane, and
// the resource that they act on, which checks fencing tokens and records the operations.
type workerGroup struct {
	cluster        *testCluster
	operations     *check.OperationLog
	operationsAddr string
	names          []string
	processes      map[string]*process.Process
	links          map[string][]*link.Link // of a worker, in the order of the cluster's names
}

// startWorkers starts n workers, named w-1 and so on, that hold up to maxTasks each. Their clocks run at
// the rates given, in turn, or at the rate 1.
func (cluster *testCluster) startWorkers(n int, maxTasks int, clockRates ...float64) *workerGroup {
	cluster.t.Helper()
	operations := check.NewOperationLog()
	resource := httptest.NewServer(operations)
	cluster.t.Cleanup(resource.Close)
	workers := &workerGroup{
		cluster:        cluster,
		operations:     operations,
		operationsAddr: resource.Listener.Addr().String(),
		processes:      map[string]*process.Process{},
		links:          map[string][]*link.Link{},
	}
	for i := range n {
		rate := 1.0
		if len(clockRates) > 0 {
			rate = clockRates[i%len(clockRates)]
		}
		workers.add(fmt.Sprint("w-", i+1), maxTasks, rate)
	}
	cluster.t.Cleanup(workers.close)
	return workers
}

// close closes the links, and logs the end of each worker's log if the test has failed.
func (workers *workerGroup) close() {
	workers.cluster.t.Helper()
	for _, links := range workers.links {
		for _, l := range links {
			l.Close()
		}
	}
	for _, name := range workers.names {
		logIfFailed(workers.cluster.t, workers.processes[name], 5000)
	}
}

// add starts one more worker.
func (workers *workerGroup) add(name string, maxTasks int, clockRate float64) {
	cluster := workers.cluster
	cluster.t.Helper()
	var addrs []string
	for _, server := range cluster.names {
		l, err := link.New(cluster.addrs.IP()+":0", cluster.servers[server].http, 1)
		if err != nil {
			cluster.t.Fatal(err)
		}
		workers.links[name] = append(workers.links[name], l)
		addrs = append(addrs, l.Addr())
	}
	workers.names = append(workers.names, name)
	workers.processes[name] = cluster.supervisor.Add(process.Spec{
		Name: name,
		Path: executable(cluster.t),
		Log:  filepath.Join(cluster.dir, name+".log"),
		Env: []string{
			workerChild + "=1",
			"WORKER_NAME=" + name,
			"WORKER_AT=" + strings.Join(addrs, ","),
			fmt.Sprint("WORKER_CAP=", maxTasks),
			fmt.Sprint("WORKER_RATE=", clockRate),
			"WORKER_RESOURCE=" + workers.operationsAddr,
		},
	})
	workers.start(name)
}

// start starts a worker that isn't running.
func (workers *workerGroup) start(name string) {
	workers.cluster.t.Helper()
	startProcess(workers.cluster.t, workers.processes[name])
}

// kill sends SIGKILL to a worker and returns once its process has ended.
func (workers *workerGroup) kill(name string) { killProcess(workers.processes[name]) }

// shutDown stops a worker gracefully: it releases its tasks. It fails the test if the worker still runs
// after waitTimeout.
func (workers *workerGroup) shutDown(name string) {
	workers.cluster.t.Helper()
	shutDownProcess(workers.cluster.t, workers.processes[name])
}

// suspend suspends a worker until resume is called.
func (workers *workerGroup) suspend(name string) {
	workers.cluster.t.Helper()
	signalProcess(workers.cluster.t, workers.processes[name], syscall.SIGSTOP)
}

// resume resumes a suspended worker.
func (workers *workerGroup) resume(name string) {
	workers.cluster.t.Helper()
	signalProcess(workers.cluster.t, workers.processes[name], syscall.SIGCONT)
}

// suspendFor suspends a worker for a duration.
func (workers *workerGroup) suspendFor(name string, duration time.Duration) {
	workers.cluster.t.Helper()
	workers.suspend(name)
	time.Sleep(duration)
	workers.resume(name)
}

// cutLinks cuts or restores each direction of a worker's links to all servers.
func (workers *workerGroup) cutLinks(name string, outbound, inbound bool) {
	workers.cluster.t.Helper()
	for _, l := range workers.links[name] {
		if err := l.Set(link.Shape{Cut: outbound}, link.Shape{Cut: inbound}); err != nil {
			workers.cluster.t.Fatal(err)
		}
	}
}

// defineTask defines a leased task through any server that accepts the write.
func (workers *workerGroup) defineTask(name string, ttl time.Duration) {
	cluster := workers.cluster
	cluster.t.Helper()
	cluster.waitUntil(name+" is defined", func() bool {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
		defer cancel()
		return cluster.client(cluster.names...).DefineTask(ctx, name, control.TaskDefinition{TTLMs: ttl.Milliseconds()}) == nil
	})
}

// waitForOperation waits until the last operation under a task is later than a time on the monotonic clock
// and not by excludedProcess, and returns the operation. It fails the test after waitTimeout.
func (workers *workerGroup) waitForOperation(task, excludedProcess string, after time.Duration) check.Operation {
	workers.cluster.t.Helper()
	var operation check.Operation
	workers.cluster.waitUntil(fmt.Sprintf("an operation under %s by another process than %q", task, excludedProcess), func() bool {
		operation = workers.operations.Last(task)
		return operation.Process != "" && operation.Process != excludedProcess && operation.Mono > after
	})
	return operation
}

// requireNoOverlap requires that no two terms of a task have overlapped so far.
func (workers *workerGroup) requireNoOverlap() {
	workers.cluster.t.Helper()
	if overlaps := workers.operations.Analyze().Violations; len(overlaps) > 0 {
		workers.cluster.t.Errorf("%d overlaps of terms: %s", len(overlaps), strings.Join(overlaps[:min(len(overlaps), 3)], "; "))
	}
}

// waitForSessions waits until the control plane has a session of every process of the group.
func (workers *workerGroup) waitForSessions() {
	cluster := workers.cluster
	cluster.t.Helper()
	cluster.waitUntil("every worker has a session", func() bool {
		sessions, err := cluster.client(cluster.names...).Sessions(cluster.t.Context())
		if err != nil {
			return false
		}
		open := map[string]bool{}
		for _, session := range sessions {
			open[session.Process] = true
		}
		for _, name := range workers.names {
			if !open[name] {
				return false
			}
		}
		return true
	})
}

// commandTask sends an operator's command to a task. The process to move the task to may be empty.
func (workers *workerGroup) commandTask(name, command, to string) error {
	cluster := workers.cluster
	ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
	defer cancel()
	return cluster.client(cluster.names...).CommandTask(ctx, name, command, to, "")
}
