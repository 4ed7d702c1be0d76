package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/check"
)

// waitTimeout bounds each wait for a condition that has to become true.
const waitTimeout = 20 * time.Second

// Operations arrive at the servers' path with the task, the worker's name and the fencing token, until
// the lease ends.
func TestOperationsCarryTheFencingToken(t *testing.T) {
	operations := check.NewOperationLog()
	mux := http.NewServeMux()
	mux.Handle("/admin/act", operations)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	o := &operationSender{worker: "w1", addresses: []string{strings.TrimPrefix(server.URL, "http://")}, client: server.Client()}
	before, err := Monotonic()
	if err != nil {
		t.Fatal(err)
	}
	ctx, endLease := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- o.run(ctx, "task", 7) }()
	for deadline := time.Now().Add(waitTimeout); operations.Analyze().Total == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no operation arrived in time")
		}
	}
	endLease()
	if err := <-ended; err != nil {
		t.Errorf("the task ended with %v", err)
	}
	last := operations.Last("task")
	if last.Process != "w1" || last.Fence != 7 || last.Mono <= before {
		t.Errorf("the last operation is %+v", last)
	}
}

// All workers with the same addresses send a task's operations to the same address, and tasks spread over
// the addresses.
func TestTaskHasOneAddress(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	first, second := &operationSender{worker: "w1", addresses: addresses}, &operationSender{worker: "w2", addresses: addresses}
	used := map[string]bool{}
	for _, task := range strings.Split("abcdefghijklmnopqrstuvwxyz", "") {
		if first.addressOf(task) != second.addressOf(task) {
			t.Errorf("task %s has two addresses", task)
		}
		used[first.addressOf(task)] = true
	}
	if len(used) != len(addresses) {
		t.Errorf("tasks use only the addresses %v", used)
	}
}

// A clock with twice the machine's rate shows twice the elapsed time, and its timers fire after half of
// their duration.
func TestDriftClockRate(t *testing.T) {
	const rate = 2
	clock := driftClock{time.Now().Add(-time.Hour), rate}
	if now := clock.Now(); now < rate*time.Hour || now > rate*(time.Hour+waitTimeout) {
		t.Errorf("after an hour at twice the machine's rate the clock shows %v", now)
	}
	startedAt := time.Now()
	fired, stop := clock.After(rate * 20 * time.Millisecond)
	defer stop()
	select {
	case <-fired:
	case <-time.After(waitTimeout):
		t.Fatal("the timer did not fire")
	}
	if elapsed := time.Since(startedAt); elapsed < 20*time.Millisecond {
		t.Errorf("the timer fired after %v, before 20ms", elapsed)
	}
}
