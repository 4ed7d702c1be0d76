package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

const (
	// transferTask is transferred between two processes, whose sessions are renewed.
	transferTask = "job.transferred"
	// unrenewedTask is held by processes whose sessions are not renewed after the grant, so that they expire.
	unrenewedTask = "crash.holders"
	// mixedRenewInterval is the interval at which renewSessions renews each session.
	mixedRenewInterval = 200 * time.Millisecond
)

// sessionID returns the ID of the session of a process whose session is renewed.
func sessionID(process string) string { return process + "-session" }

// renewSessions renews the sessions of processes until the test ends.
func (m *mixedCluster) renewSessions(processes ...string) {
	for _, process := range processes {
		go func() {
			client := m.client(m.names...)
			for ctx := m.t.Context(); ctx.Err() == nil; time.Sleep(mixedRenewInterval) {
				_, _ = client.RenewSession(ctx, process, sessionID(process), 0)
			}
		}()
	}
}

// waitForTask waits until reached accepts the state of a task, which may be read from any server, and
// returns the task.
func (m *mixedCluster) waitForTask(name, what string, reached func(task *catalog.LeasedTask) bool) (task catalog.LeasedTask) {
	m.t.Helper()
	m.waitUntil(name+" "+what, func() bool {
		ctx, cancel := context.WithTimeout(m.t.Context(), readTimeout)
		defer cancel()
		var err error
		task, err = m.client(m.names...).Task(ctx, name)
		return err == nil && reached(&task)
	})
	return task
}

// transfer moves transferTask from its holder to the other of two processes, which accepts. Its writes go
// through one server.
func (m *mixedCluster) transfer(through string) {
	m.t.Helper()
	task := m.waitForTask(transferTask, "is held", func(task *catalog.LeasedTask) bool { return task.Holder != "" && task.Successor == "" })
	successor := map[string]string{"w-1": "w-2", "w-2": "w-1"}[task.Holder]
	m.retryThrough(through, "transfer", func(ctx context.Context, c *control.Client) error {
		return c.CommandTask(ctx, transferTask, control.CommandTransfer, successor, "")
	})
	m.retryThrough(through, "acceptance", func(ctx context.Context, c *control.Client) error {
		ref := catalog.TermRef{Name: transferTask, Process: successor, Session: sessionID(successor)}
		return c.ReportTerms(ctx, catalog.AcceptTransfer, []catalog.TermRef{ref}, "")
	})
	m.retryThrough(through, "release", func(ctx context.Context, c *control.Client) error {
		ref := catalog.TermRef{Name: transferTask, Process: task.Holder, Session: task.Session, Fence: task.Fence}
		return c.ReportTerms(ctx, catalog.ReleaseTerm, []catalog.TermRef{ref}, catalog.ReasonTransferred)
	})
	m.waitForTask(transferTask, "is held by "+successor, func(now *catalog.LeasedTask) bool {
		return now.Holder == successor && now.Fence > task.Fence
	})
}

// letTransferExpire begins a transfer to a process that never accepts, and waits until the leader cancels
// it.
func (m *mixedCluster) letTransferExpire(through string) {
	m.t.Helper()
	task := m.waitForTask(transferTask, "is held", func(task *catalog.LeasedTask) bool { return task.Holder != "" && task.Successor == "" })
	successor := map[string]string{"w-1": "w-2", "w-2": "w-1"}[task.Holder]
	m.retryThrough(through, "transfer", func(ctx context.Context, c *control.Client) error {
		return c.CommandTask(ctx, transferTask, control.CommandTransfer, successor, "")
	})
	m.waitForTask(transferTask, "has no successor again", func(now *catalog.LeasedTask) bool {
		return now.Successor == "" && now.Holder == task.Holder && now.Fence == task.Fence
	})
}

// expireHolders lets the sessions of three holders of a task expire soon after the grant, and waits until
// the task is suspended. Then it resumes the task as an operator does.
func (m *mixedCluster) expireHolders(phase, through string) {
	m.t.Helper()
	for holder := 0; ; holder++ {
		process := fmt.Sprintf("%s-dies-%d", phase, holder)
		m.retryThrough(through, "session of "+process, func(ctx context.Context, c *control.Client) error {
			return c.OpenSession(ctx, catalog.Session{Process: process, ID: process, TaskKinds: []string{"crash"}, MaxTasks: 1})
		})
		task := m.waitForTask(unrenewedTask, "is held or suspended", func(task *catalog.LeasedTask) bool {
			return task.Holder != "" || task.SuspendReason != ""
		})
		if task.SuspendReason == "" {
			task = m.waitForTask(unrenewedTask, "is free again", func(task *catalog.LeasedTask) bool { return task.Holder == "" })
		}
		if task.SuspendReason != "" {
			break
		}
	}
	m.retryThrough(through, "resumption", func(ctx context.Context, c *control.Client) error {
		return c.CommandTask(ctx, unrenewedTask, control.CommandResume, "", "")
	})
}

// TestMixedQuorumTransfers runs servers of two builds in one quorum, with leaders of both: tasks are
// transferred, with and without acceptance, and sessions of holders expire until their task is suspended.
// Between the two phases each server is killed and restarted with the other build. After each phase the
// states of all servers are equal, byte for byte.
func TestMixedQuorumTransfers(t *testing.T) {
	old, current := builds(t)
	cluster := newUnstartedCluster(t, 3)
	m := &mixedCluster{testCluster: cluster, builds: map[string]build{"st-1": old, "st-2": old, "st-3": current}, acknowledged: map[string]float64{}}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		proc := cluster.servers[name].proc
		proc.Path, proc.Env = m.builds[name].path, m.builds[name].env
		cluster.start(name)
	}
	for _, process := range []string{"w-1", "w-2"} {
		m.retryThrough("st-3", "session of "+process, func(ctx context.Context, c *control.Client) error {
			return c.OpenSession(ctx, catalog.Session{Process: process, ID: sessionID(process), TaskKinds: []string{"job"}, MaxTasks: 1})
		})
	}
	m.renewSessions("w-1", "w-2")
	for task, ttl := range map[string]time.Duration{transferTask: mixedTTL, unrenewedTask: catalog.MinTTL} {
		m.retryThrough("st-3", "definition of "+task, func(ctx context.Context, c *control.Client) error {
			return c.DefineTask(ctx, task, control.TaskDefinition{TTLMs: ttl.Milliseconds()})
		})
	}
	for phase, swapped := range []map[string]build{{}, {"st-1": current, "st-2": current, "st-3": old}} {
		for _, name := range slices.Sorted(maps.Keys(swapped)) {
			cluster.kill(name)
			m.builds[name] = swapped[name]
			cluster.startBuild(name, m.builds[name])
		}
		m.electOneOf("st-1", "st-2") // of the old build first, then of the current one
		m.transfer("st-3")
		m.transfer("st-1")
		m.letTransferExpire("st-2")
		m.expireHolders(fmt.Sprint("phase-", phase), "st-3")
		m.waitForEqualStates()
	}
}
