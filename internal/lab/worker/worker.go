// Package worker is the process that an experiment runs leased tasks with. Its operations land at
// servers that check the fencing token, which shows whether two holders ever operate at one time.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/leaderelection"
)

// Config describes a worker.
type Config struct {
	Name              string
	Zone              string
	ControlPlaneAddrs []string // HTTP addresses of the control-plane servers
	OperationAddrs    []string // where operations land; each task has one of them throughout
	MaxTasks          int      // that it holds at once
	ClockRate         float64  // of its clock, as a share of the machine's
}

const (
	requestTimeout    = 15 * time.Second // of a request to the control plane
	operationTimeout  = 300 * time.Millisecond
	operationInterval = 5 * time.Millisecond
)

// Monotonic returns the machine's monotonic clock, which all its processes read alike.
func Monotonic() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0, fmt.Errorf("monotonic clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// driftClock is a clock that runs at another rate than the machine's.
type driftClock struct {
	startedAt time.Time
	rate      float64
}

// Now returns the time since the clock was started, at its own rate.
func (c driftClock) Now() time.Duration {
	return time.Duration(float64(time.Since(c.startedAt)) * c.rate)
}

// After returns a channel that receives after d by this clock, and a function that stops it.
func (c driftClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(time.Duration(float64(d) / c.rate))
	return t.C, t.Stop
}

// killedExitCode is the exit code of a process that a "kill" task ends.
const killedExitCode = 3

// errTaskFailed is the error of a "fail" task.
var errTaskFailed = errors.New("it fails")

// Run holds leased tasks until the context ends. The kind of a task says what it does: "work"
// operates as long as it may, "idle" does nothing, "fail" fails at once, and "kill" ends the
// process.
func Run(ctx context.Context, config Config, log *slog.Logger) {
	operations := &operator{name: config.Name, addresses: config.OperationAddrs, client: &http.Client{Timeout: operationTimeout}}
	runner := leaderelection.NewRunner(leaderelection.Config{
		Process:  config.Name,
		Zone:     config.Zone,
		MaxTasks: config.MaxTasks,
		Service:  control.NewClient(config.ControlPlaneAddrs, requestTimeout),
		Log:      log,
		Clock:    driftClock{time.Now(), config.ClockRate},
		Functions: map[string]leaderelection.Function{
			"work": operations.run,
			"idle": func(ctx context.Context, _ string, _ int64) error { <-ctx.Done(); return nil },
			"fail": func(context.Context, string, int64) error { return errTaskFailed },
			"kill": func(context.Context, string, int64) error { os.Exit(killedExitCode); return nil },
		}})
	runner.Run(ctx)
}

// operator sends operations under leased tasks.
type operator struct {
	name      string // of the worker
	addresses []string
	client    *http.Client
}

// run sends operations under a task, with its fencing token, until the context ends. One that is
// rejected or gets no answer is not repeated: the next one follows.
func (o *operator) run(ctx context.Context, task string, fence int64) error {
	url := "http://" + o.addresses[int(addressHash(task))%len(o.addresses)] + "/admin/act"
	for ctx.Err() == nil {
		now, err := Monotonic()
		if err != nil {
			return err
		}
		// The worker's clock is checked after the machine's was read: so the lease was still
		// valid at the time that the operation reports.
		if ctx.Err() != nil {
			return nil
		}
		body, err := json.Marshal(check.Operation{Task: task, Process: o.name, Fence: fence, Mono: now})
		if err != nil {
			return err
		}
		if resp, err := o.client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		time.Sleep(operationInterval)
	}
	return nil
}

// addressHash chooses the address that a task's operations land at.
func addressHash(task string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return hash.Sum32() >> 8
}
