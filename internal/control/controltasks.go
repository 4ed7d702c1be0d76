package control

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/leaderelection"
)

// The control plane's own leased tasks. Each runs on the one server that holds its term. Their
// names are stored in the replicated state and must not change.
const (
	sweepTask     = "sweep"     // has the leader expire the leases of servers that don't renew
	stateCopyTask = "snapshots" // keeps copies of the replicated state
	auditTask     = "audit"     // compares the list with what the servers report
	votersTask    = "voters"    // has the leader replace voters that failed by non-voters
)

const (
	controlTaskTTL  = 2 * time.Second
	sweepInterval   = 100 * time.Millisecond
	maxControlTasks = 16 // maximum number of tasks that one server holds at a time
	// pollMargin is added to pollTimeout for the timeout of the task runner's requests.
	pollMargin = 5 * time.Second
)

// controlTasks lists the names of the control plane's own tasks.
var controlTasks = []string{sweepTask, stateCopyTask, auditTask, votersTask}

// newTaskLeases returns the task leases of a new leader whose clock reads now. The control plane's
// own tasks are marked as essential.
func newTaskLeases(now time.Duration) *catalog.TaskLeases {
	leases := catalog.NewTaskLeases(now)
	leases.Essential = map[string]bool{}
	for _, name := range controlTasks {
		leases.Essential[name] = true
	}
	return leases
}

// resumeControlTask proposes a command that resumes one of the control plane's own tasks, unless an
// operator has suspended the task in the meantime.
func (s *Server) resumeControlTask(command catalog.Command) error {
	s.suspendMu.Lock()
	defer s.suspendMu.Unlock()
	suspended := false
	s.fsm.read(func(state *catalog.State) { suspended = state.SuspendedForDeaths(command.Name) })
	if !suspended {
		return nil
	}
	s.log.Warn("resuming a control-plane task that was suspended because its holders died", "task", command.Name)
	_, err := s.propose(command)
	return err
}

// defineControlTasks defines the control plane's own tasks that aren't defined yet.
func (s *Server) defineControlTasks() {
	for _, name := range controlTasks {
		defined := false
		s.fsm.read(func(state *catalog.State) { defined = state.LeasedTasks[name] != nil })
		if defined {
			continue
		}
		task := &catalog.LeasedTask{Name: name, TTL: controlTaskTTL}
		if _, err := s.propose(catalog.Command{Kind: catalog.DefineTask, LeasedTask: task}); err != nil {
			s.log.Warn("defining a control-plane task failed", "task", name, "err", err)
			return
		}
	}
}

// startTaskRunner starts the goroutine that runs the control plane's own tasks while this
// server holds their terms.
func (s *Server) startTaskRunner() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelTaskRunner, s.taskRunnerDone = cancel, make(chan struct{})
	client := NewClient(nil, pollTimeout+pollMargin)
	client.AddressSource = s.serverAddresses
	runner := leaderelection.NewRunner(leaderelection.Config{
		Process:  s.config.Name,
		MaxTasks: maxControlTasks,
		Service:  client,
		Log:      s.log,
		Functions: map[string]leaderelection.Function{
			sweepTask:     leaderCallFunction(client, "/v1/sweep", sweepInterval),
			stateCopyTask: s.stateCopyFunction(client),
			auditTask:     s.auditFunction(client),
			votersTask:    leaderCallFunction(client, "/v1/voters", votersInterval),
		},
	})
	s.taskRunner.Store(runner)
	go func() {
		defer close(s.taskRunnerDone)
		runner.Run(ctx)
	}()
}

// stopTaskRunner stops the tasks that run on this server and waits until they are released.
func (s *Server) stopTaskRunner() {
	if s.cancelTaskRunner != nil {
		s.cancelTaskRunner()
		<-s.taskRunnerDone
	}
}

// serverAddresses returns the HTTP addresses of all control-plane servers in the current peer
// table, this server's own first.
func (s *Server) serverAddresses() []string {
	table := *s.peerTable.Load()
	addrs := []string{s.config.Listen}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if name != s.config.Name {
			addrs = append(addrs, table[name].HTTP)
		}
	}
	return addrs
}

// leaderCallFunction returns a task function that sends a request with the term's fencing token to
// the leader at an interval. The leader does the actual work, as only the leader knows when each
// server renewed its lease, and only the leader may change the voters. The function returns when
// its context ends or the token is no longer valid.
func leaderCallFunction(c *Client, path string, interval time.Duration) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		for sleep(ctx, interval) {
			err := c.do(ctx, http.MethodPost, path, fenceBody{fence}, nil)
			var rejected *HTTPError
			if errors.As(err, &rejected) && rejected.Status == http.StatusPreconditionFailed {
				return nil // another process holds the task
			}
		}
		return nil
	}
}

// sleep waits for a duration and returns true, or returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
