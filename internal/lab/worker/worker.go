// Package worker implements the process that runs leased tasks in an experiment. It sends operations to
// servers that check the fencing token, which shows whether two holders of a task ever operate at the
// same time.
//
// Run starts the goroutines of a leaderelection.Runner, which owns them and the task functions that run
// in them. The only state of this package that they share is an HTTP client.
package worker

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/leaderelection"
)

// Config describes a worker.
type Config struct {
	Name              string
	Zone              string
	ControlPlaneAddrs []string // HTTP addresses of the control-plane servers
	OperationAddrs    []string // servers that receive operations, at least one; a task always uses the same server
	MaxTasks          int      // maximum number of tasks that the worker holds at once
	ClockRate         float64  // rate of the worker's clock relative to the machine's, above 0
}

const (
	requestTimeout    = 15 * time.Second       // time limit of a request to the control plane
	operationTimeout  = 300 * time.Millisecond // time limit of an operation
	operationInterval = 5 * time.Millisecond   // pause between the end of an operation and the next operation
)

// The kinds of tasks that a worker runs.
const (
	kindWork = "work" // sends operations while it holds the lease
	kindIdle = "idle" // does nothing
	kindFail = "fail" // fails at once
	kindKill = "kill" // ends the process
)

// killedExitCode is the exit code when a task of kindKill ends the process.
const killedExitCode = 3

// errTaskFailed is the error of a task of kindFail.
var errTaskFailed = errors.New("tasks of this kind always fail")

// Run acquires and runs leased tasks until the context ends. Then it transfers them to other workers, and
// returns once all task functions have returned.
func Run(ctx context.Context, config Config, log *slog.Logger) {
	sender := &operationSender{worker: config.Name, addresses: config.OperationAddrs, client: &http.Client{Timeout: operationTimeout}}
	runner := leaderelection.NewRunner(leaderelection.Config{
		Process:  config.Name,
		Zone:     config.Zone,
		MaxTasks: config.MaxTasks,
		Service:  control.NewClient(config.ControlPlaneAddrs, requestTimeout),
		Log:      log,
		Clock:    driftClock{time.Now(), config.ClockRate},
		Functions: map[string]leaderelection.Function{
			kindWork: sender.run,
			kindIdle: func(ctx context.Context, _ string, _ int64) error { <-ctx.Done(); return nil },
			kindFail: func(context.Context, string, int64) error { return errTaskFailed },
			kindKill: func(context.Context, string, int64) error { os.Exit(killedExitCode); return nil },
		}})
	runner.Run(ctx)
}
