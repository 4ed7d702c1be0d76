package main

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

// build is a program that can run as a server of the control plane.
type build struct {
	name, path string
	env        []string
}

// otherBuildVariable is the environment variable with the path of another build's program, which the tests
// of mixed quorums run beside this build. Without it this build is used as both.
const otherBuildVariable = "OTHER_CONTROLPLANE"

// builds returns the build that otherBuildVariable names and the build under test. Without the variable it
// returns the build under test twice.
func builds(t *testing.T) (old, current build) {
	t.Helper()
	current = build{"current", executable(t), []string{serverChild + "=1"}}
	old = current
	if path := os.Getenv(otherBuildVariable); path != "" {
		old = build{"old", path, nil}
	}
	return old, current
}

// startBuild starts a server that isn't running, with the program of a build, and waits until it is part of
// the quorum.
func (cluster *testCluster) startBuild(name string, b build) {
	cluster.t.Helper()
	proc := cluster.servers[name].proc
	proc.Path, proc.Env = b.path, b.env
	cluster.start(name)
	cluster.waitUntil(name+" follows or leads", func() bool {
		status, err := cluster.status(name)
		return err == nil && status.Leader != "" && status.Seq > 0 && !status.Stale
	})
}

// mixedCluster is a quorum of servers of two builds, and the data that was written to it.
type mixedCluster struct {
	*testCluster
	builds       map[string]build
	acknowledged map[string]float64
	fence        int64 // of the leased task
	revision     int64 // of the last assignments that the session received
}

// electOneOf makes one of the servers named the leader, by restarting any other server that leads.
func (m *mixedCluster) electOneOf(names ...string) {
	m.t.Helper()
	m.waitUntil(fmt.Sprintf("one of %v leads", names), func() bool {
		leader := m.waitForLeader()
		if slices.Contains(names, leader) {
			return true
		}
		m.shutDown(leader)
		m.startBuild(leader, m.builds[leader])
		return false
	})
}

// retryThrough repeats a call through one server until it succeeds.
func (m *mixedCluster) retryThrough(name, what string, do func(ctx context.Context, c *control.Client) error) {
	m.t.Helper()
	var err error
	defer func() {
		if m.t.Failed() {
			m.t.Logf("%s through %s (%s build): %v", what, name, m.builds[name].name, err)
		}
	}()
	m.waitUntil(what+" through "+name, func() bool {
		ctx, cancel := context.WithTimeout(m.t.Context(), writeTimeout)
		defer cancel()
		err = do(ctx, m.servers[name].client)
		return err == nil
	})
}

const (
	mixedWorker  = "w-1"
	mixedSession = "one"
	mixedTask    = "job.a"
	mixedTTL     = 10 * time.Minute
)

// writeThroughAll writes through every server: registrations, overrides, renewals and tasks.
func (m *mixedCluster) writeThroughAll(phase string) {
	m.t.Helper()
	for i, name := range m.names {
		for j := range 4 {
			server := fmt.Sprintf("%s-%d-%d", phase, i, j)
			m.register(server, 1000, name)
			m.acknowledged[server] = 1000
		}
		first := fmt.Sprintf("%s-%d-0", phase, i)
		m.retryThrough(name, "override", func(ctx context.Context, c *control.Client) error {
			health, weight := "draining", 0.5
			_, err := c.SetOverride(ctx, first, control.ServerOverride{Health: &health, Weight: &weight})
			return err
		})
		m.retryThrough(name, "renewal of leases", func(ctx context.Context, c *control.Client) error {
			r, err := c.Renew(ctx, []catalog.InstanceRef{{Name: first, StartedMs: 1000}, {Name: "nobody", StartedMs: 1}})
			if err == nil && !slices.Equal(r.Codes, []catalog.Code{catalog.Done, catalog.Unknown}) {
				m.t.Fatalf("a renewal through %s was answered with %q", name, r.Codes)
			}
			return err
		})
		m.retryThrough(name, "renewal of the session", func(ctx context.Context, c *control.Client) error {
			_, err := c.RenewSession(ctx, mixedWorker, mixedSession, m.revision)
			return err
		})
		m.retryThrough(name, "definition of a task", func(ctx context.Context, c *control.Client) error {
			return c.DefineTask(ctx, fmt.Sprintf("other.%s.%d", phase, i), control.TaskDefinition{TTLMs: 1000})
		})
	}
}

// verifyReads requires that every server returns everything that was written.
func (m *mixedCluster) verifyReads() {
	m.t.Helper()
	m.requireAcknowledged(m.acknowledged)
	for _, name := range m.names {
		m.retryThrough(name, "list", func(ctx context.Context, c *control.Client) error {
			list, err := c.List(ctx)
			if err != nil {
				return err
			}
			listed := map[string]bool{}
			for _, endpoint := range list.Endpoints {
				listed[endpoint.Name] = true
			}
			for server := range m.acknowledged {
				if !listed[server] {
					return fmt.Errorf("%s is not on the list", server)
				}
			}
			return nil
		})
		m.retryThrough(name, "leased task", func(ctx context.Context, c *control.Client) error {
			task, err := c.Task(ctx, mixedTask)
			if err == nil && (task.Holder != mixedWorker || task.Session != mixedSession || task.Fence != m.fence) {
				m.t.Fatalf("%s returns the task as %+v, but it was granted with fencing token %d", name, task, m.fence)
			}
			return err
		})
		m.retryThrough(name, "tasks of the session", func(ctx context.Context, c *control.Client) error {
			tasks, err := c.WatchSession(ctx, mixedWorker, mixedSession, 0)
			if err == nil && (len(tasks.Assignments) != 1 || tasks.Assignments[0].Name != mixedTask || tasks.Assignments[0].Fence != m.fence) {
				m.t.Fatalf("%s sends the session the tasks %+v", name, tasks)
			}
			return err
		})
	}
	// The control plane's own tasks are held by its servers, of either build.
	m.retryThrough(m.names[0], "sweep", func(ctx context.Context, c *control.Client) error {
		task, err := c.Task(ctx, "sweep")
		if err == nil && m.servers[task.Holder] == nil {
			err = fmt.Errorf("held by %q", task.Holder)
		}
		return err
	})
	m.waitForEqualStates()
}

// waitForEqualStates waits until the states of all servers are equal, byte for byte. The states change while
// the control plane's own tasks are handed over.
func (m *mixedCluster) waitForEqualStates() {
	m.t.Helper()
	m.waitUntil("the states of all servers are equal", func() bool {
		var texts [][]byte
		for _, name := range m.names {
			status, _, text := m.get(name, "/v1/snapshot")
			if status != http.StatusOK {
				return false
			}
			texts = append(texts, text)
		}
		return bytes.Equal(texts[0], texts[1]) && bytes.Equal(texts[0], texts[2])
	})
}

// TestMixedQuorum runs servers of two builds in one quorum: first with a leader of the old build and a
// follower of the current one, then the other way round. In between each server is restarted on its data
// folder with the other build. Writes and reads go through all servers; registrations, leases, the leased
// task with its fencing token and the versions that a watch receives are kept.
func TestMixedQuorum(t *testing.T) {
	old, current := builds(t)
	cluster := newGossipCluster(t, 3, "")
	cluster.extraConfig = "heartbeat = \"300ms\"\nlease_ttl = \"10m\"\nsnapshot_every = 16\nsnapshot_check = \"200ms\"\n"
	m := &mixedCluster{testCluster: cluster, builds: map[string]build{"st-1": old, "st-2": old, "st-3": current}, acknowledged: map[string]float64{}}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		proc := cluster.servers[name].proc
		proc.Path, proc.Env = m.builds[name].path, m.builds[name].env
		cluster.start(name)
	}
	m.electOneOf("st-1", "st-2")
	cluster.waitForEqualViews(cluster.names...)
	watch := cluster.startReader(cluster.names...)

	m.retryThrough("st-3", "session", func(ctx context.Context, c *control.Client) error {
		return c.OpenSession(ctx, catalog.Session{Process: mixedWorker, ID: mixedSession, TaskKinds: []string{"job"}, MaxTasks: 1})
	})
	m.retryThrough("st-3", "task", func(ctx context.Context, c *control.Client) error {
		return c.DefineTask(ctx, mixedTask, control.TaskDefinition{TTLMs: mixedTTL.Milliseconds()})
	})
	m.retryThrough("st-3", "claim", func(ctx context.Context, c *control.Client) error {
		r, err := c.ClaimTask(ctx, mixedTask, mixedWorker, mixedSession)
		m.fence = r.Fence
		return err
	})
	m.writeThroughAll("one")
	m.verifyReads()

	swapped := map[string]build{"st-1": current, "st-2": current, "st-3": old}
	for _, name := range slices.Sorted(maps.Keys(swapped)) {
		cluster.shutDown(name)
		m.register("while-"+name+"-is-away", 1000, cluster.others(name)...)
		m.acknowledged["while-"+name+"-is-away"] = 1000
		m.builds[name] = swapped[name]
		cluster.startBuild(name, m.builds[name])
	}
	m.electOneOf("st-1", "st-2")
	cluster.waitForEqualViews(cluster.names...)
	m.verifyReads()
	m.writeThroughAll("two")
	m.verifyReads()

	for server := range m.acknowledged {
		cluster.waitUntil("the watch has "+server, func() bool { return watch.wasListed(server) })
	}
	watch.stopAndVerify(t)
	for _, name := range watch.removed {
		t.Errorf("%s was removed from the list", name)
	}
}
