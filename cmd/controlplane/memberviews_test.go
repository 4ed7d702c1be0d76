package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/member"
)

// viewPollInterval is how often a stateWatcher reads a view.
const viewPollInterval = 50 * time.Millisecond

// view returns a server's view of the members; ok is false if the server doesn't answer.
func (cluster *testCluster) view(name string) (view member.View, ok bool) {
	ctx, cancel := context.WithTimeout(cluster.t.Context(), statusTimeout)
	defer cancel()
	views, _ := control.ReadMemberViews(ctx, []string{cluster.servers[name].http}, statusTimeout)
	if len(views) != 1 {
		return view, false
	}
	return views[0], true
}

// waitForView waits until a server answers with its view, and returns that view. It fails the test after
// waitTimeout.
func (cluster *testCluster) waitForView(name string) (view member.View) {
	cluster.t.Helper()
	cluster.waitUntil(name+" answers with its view", func() (ok bool) {
		view, ok = cluster.view(name)
		return ok
	})
	return view
}

// viewOrEmpty returns a server's view, or an empty one if it doesn't answer.
func (cluster *testCluster) viewOrEmpty(name string) member.View {
	view, _ := cluster.view(name)
	return view
}

// waitForState waits until the view of one server shows all members named in a state, and returns how long
// that took. It fails the test after waitTimeout.
func (cluster *testCluster) waitForState(observer string, state member.State, names ...string) time.Duration {
	cluster.t.Helper()
	began := time.Now()
	cluster.waitUntil(fmt.Sprintf("%s sees %v as %s", observer, names, state), func() bool {
		view, ok := cluster.view(observer)
		for _, name := range names {
			ok = ok && view.State(name) == state
		}
		return ok
	})
	return time.Since(began)
}

// waitForEqualViews waits until the views of the servers named are equal, and each shows all of these
// servers as present. It returns how long that took, and fails the test after waitTimeout.
func (cluster *testCluster) waitForEqualViews(names ...string) time.Duration {
	cluster.t.Helper()
	began := time.Now()
	difference := ""
	defer func() {
		if cluster.t.Failed() {
			cluster.t.Log(difference)
		}
	}()
	cluster.waitUntil("the views are equal and show all servers as present", func() bool {
		difference = cluster.viewDifference(names)
		return difference == ""
	})
	return time.Since(began)
}

// viewDifference describes how the views of the servers named differ, or which of these servers is not
// present in one of the views. It is empty if the views agree.
func (cluster *testCluster) viewDifference(names []string) string {
	var views []member.View
	for _, observer := range names {
		view, ok := cluster.view(observer)
		if !ok {
			return observer + " doesn't answer"
		}
		for _, name := range names {
			if state := view.State(name); state != member.Present {
				return fmt.Sprintf("%s sees %s as %q", observer, name, state)
			}
		}
		views = append(views, view)
	}
	if differences := member.CompareViews(views); len(differences) > 0 {
		return fmt.Sprintf("%+v", differences)
	}
	return ""
}

// ownObservation returns the state in which the server that a view comes from observes a member itself, or
// "" if it doesn't observe the member.
func ownObservation(view *member.View, name string) member.State {
	for i := range view.Members {
		if view.Members[i].Name != name {
			continue
		}
		if state, _, observed := observationBy(view.From, &view.Members[i]); observed {
			return state
		}
	}
	return ""
}

// waitForIncarnation waits until the view of one server has a member, and returns the member's incarnation.
// It fails the test after waitTimeout.
func (cluster *testCluster) waitForIncarnation(observer, name string) (found int64) {
	cluster.t.Helper()
	cluster.waitUntil(fmt.Sprintf("the view of %s has %s", observer, name), func() bool {
		view, ok := cluster.view(observer)
		found = incarnation(&view, name)
		return ok && found > 0
	})
	return found
}

// incarnation returns the incarnation that a view has of a member, or 0 if the view doesn't have the member.
func incarnation(view *member.View, name string) int64 {
	for i := range view.Members {
		if view.Members[i].Name == name {
			return view.Members[i].Incarnation
		}
	}
	return 0
}

// stateWatcher polls the views of servers, and records every state in which they have shown each member.
type stateWatcher struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu   sync.Mutex
	seen map[observedMember]map[member.State]bool
}

// observedMember is a member in the view of an observer.
type observedMember struct {
	observer, name string
}

// watchStates starts a watcher of the views of the servers named, which runs until stopWatching is called or
// the test ends.
func (cluster *testCluster) watchStates(observers ...string) *stateWatcher {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	watcher := &stateWatcher{seen: map[observedMember]map[member.State]bool{}, stop: cancel}
	for _, observer := range observers {
		watcher.done.Go(func() {
			for ctx.Err() == nil {
				if view, ok := cluster.view(observer); ok {
					watcher.record(observer, &view)
				}
				time.Sleep(viewPollInterval)
			}
		})
	}
	cluster.t.Cleanup(watcher.stopWatching)
	return watcher
}

// record adds the states of all members in an observer's view.
func (watcher *stateWatcher) record(observer string, view *member.View) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	for i := range view.Members {
		key := observedMember{observer, view.Members[i].Name}
		if watcher.seen[key] == nil {
			watcher.seen[key] = map[member.State]bool{}
		}
		watcher.seen[key][view.Members[i].State] = true
	}
}

// stopWatching stops the watcher and returns once the last view has been recorded. It may be called more
// than once.
func (watcher *stateWatcher) stopWatching() {
	watcher.stop()
	watcher.done.Wait()
}

// requireNever requires that no observer has shown any of the members named in a state so far.
func (watcher *stateWatcher) requireNever(t *testing.T, state member.State, names ...string) {
	t.Helper()
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	for key, states := range watcher.seen {
		if states[state] && slices.Contains(names, key.name) {
			t.Errorf("%s saw %s as %s", key.observer, key.name, state)
		}
	}
}
