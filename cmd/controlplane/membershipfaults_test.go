package main

import (
	"os"
	"testing"
	"time"

	"knotrouter/internal/lab/link"
	"knotrouter/internal/member"
)

const (
	// maxFailureDetection bounds the time from a kill to the first view that shows the member as failed.
	maxFailureDetection = 10 * time.Second
	// maxConvergence bounds the time from the end of a fault until all views are equal.
	maxConvergence = 15 * time.Second
)

// holdFault keeps an injected fault active for defaultDuration, or for the duration in the environment
// variable MEMBER_FOR, which longer runs outside CI set. It fails the test if MEMBER_FOR is not a duration.
func holdFault(t *testing.T, defaultDuration time.Duration) {
	t.Helper()
	time.Sleep(faultDuration(t, defaultDuration))
}

// faultDuration returns how long a fault lasts: the duration in the environment variable MEMBER_FOR, or
// defaultDuration if the variable is not set. It fails the test if MEMBER_FOR is not a duration.
func faultDuration(t *testing.T, defaultDuration time.Duration) time.Duration {
	t.Helper()
	text := os.Getenv("MEMBER_FOR")
	if text == "" {
		return defaultDuration
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("MEMBER_FOR: %v", err)
	}
	return duration
}

// membershipEnvironment consists of five servers that gossip, six backends, and a watcher of the servers'
// views.
type membershipEnvironment struct {
	*testCluster
	backends *backendGroup
	watcher  *stateWatcher
}

// requireNeverFailed requires that no server's view has shown any of the servers named as failed since the
// start. It stops the watcher.
func (e *membershipEnvironment) requireNeverFailed(t *testing.T, names ...string) {
	t.Helper()
	e.watcher.stopWatching()
	e.watcher.requireNever(t, member.Failed, names...)
}

// shapeAll shapes the links between all servers, in both directions.
func (e *membershipEnvironment) shapeAll(shape link.Shape) {
	e.t.Helper()
	e.mesh.shapeBetween(e.names, e.names, shape)
}

// membershipFaults are the faults of the network and of processes that TestMembershipUnderFaults injects, by
// the name of the subtest. Each function injects the fault, holds it, ends it, and makes the checks that are
// specific to the fault.
var membershipFaults = map[string]func(t *testing.T, e *membershipEnvironment){
	"one direction cut between two":                       cutOneWayBetweenTwo,
	"two of five cut off":                                 cutOffMinority,
	"a fifth of the datagrams lost, all delayed":          loseAndDelayDatagrams,
	"two fifths of the datagrams lost, longer delays":     loseManyDatagrams,
	"datagrams duplicated and reordered":                  duplicateDatagrams,
	"one server delayed by ten seconds":                   delayOneServer,
	"only links between neighbors":                        connectNeighborsOnly,
	"a flapping link":                                     flapLink,
	"one suspended for a second, then for five":           suspendOneServer,
	"all restarted, one after the other":                  restartOneByOne,
	"killed, and restarted at once without its data":      restartWithoutData,
	"killed, and restarted before its failure is noticed": restartBeforeDetection,
}

// During faults of the network or of processes among five servers, no healthy backend is ever removed from
// the list, and a running server is seen as failed only by servers that can't reach it. After the fault all
// views become equal.
func TestMembershipUnderFaults(t *testing.T) {
	for name, injectFault := range membershipFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newGossipCluster(t, 5, "")
			cluster.startAll()
			e := &membershipEnvironment{
				testCluster: cluster,
				backends:    cluster.startBackends(6, cluster.names[2], cluster.names...),
				watcher:     cluster.watchStates(cluster.names...),
			}
			injectFault(t, e)
			if took := cluster.waitForEqualViews(cluster.names...); took > maxConvergence {
				t.Errorf("views were equal %v after the end of the fault, want at most %v", took, maxConvergence)
			}
			e.backends.requireAllListed()
		})
	}
}

// cutOneWayBetweenTwo cuts the link from st-1 to st-2 in that direction only: st-1 suspects st-2, and no
// server sees st-2 or another server as failed.
func cutOneWayBetweenTwo(t *testing.T, e *membershipEnvironment) {
	e.mesh.shapeOneWay("st-1", "st-2", cutShape)
	e.waitUntil("only st-1 suspects st-2", func() bool {
		first, firstOK := e.view("st-1")
		third, thirdOK := e.view("st-3")
		differences := member.CompareViews([]member.View{first, third, e.viewOrEmpty("st-4"), e.viewOrEmpty("st-5")})
		return firstOK && thirdOK && len(differences) > 0 &&
			differences[0].Name == "st-2" && differences[0].Dissenter == "st-1" &&
			ownObservation(&first, "st-2") == member.Suspect && first.State("st-2") == member.Present
	})
	holdFault(t, 4*time.Second)
	e.mesh.shapeOneWay("st-1", "st-2", link.Shape{})
	e.requireNeverFailed(t, e.names...)
}

// cutOffMinority cuts two servers off from the three others, which see the two as failed.
func cutOffMinority(t *testing.T, e *membershipEnvironment) {
	minority, majority := e.names[:2], e.names[2:]
	// The leader will be in the majority and not receive the renewals of the first two backends.
	e.backends.splitRenewals(minority, majority)
	e.mesh.shapeBetween(minority, majority, cutShape)
	e.waitForLeaderAmong(majority)
	for _, observer := range majority {
		e.waitForState(observer, member.Failed, minority...)
	}
	holdFault(t, 5*time.Second) // longer than a lease
	e.mesh.shapeBetween(minority, majority, link.Shape{})
}

// loseAndDelayDatagrams loses a fifth of the datagrams on all links and delays the others. No server is
// seen as failed.
func loseAndDelayDatagrams(t *testing.T, e *membershipEnvironment) {
	e.shapeAll(link.Shape{LossProbability: 0.2, Delay: 5 * time.Millisecond, Jitter: 100 * time.Millisecond})
	holdFault(t, 8*time.Second)
	e.shapeAll(link.Shape{})
	e.requireNeverFailed(t, e.names...)
}

// loseManyDatagrams loses two fifths of the datagrams on all links. At this loss a running server may be
// seen as failed for a while.
func loseManyDatagrams(t *testing.T, e *membershipEnvironment) {
	e.shapeAll(link.Shape{LossProbability: 0.4, Jitter: 200 * time.Millisecond})
	holdFault(t, 8*time.Second)
	e.shapeAll(link.Shape{})
}

// duplicateDatagrams sends half of the datagrams twice, and all out of order. No server is seen as failed.
func duplicateDatagrams(t *testing.T, e *membershipEnvironment) {
	e.shapeAll(link.Shape{DuplicateProbability: 0.5, Jitter: 60 * time.Millisecond})
	holdFault(t, 6*time.Second)
	e.shapeAll(link.Shape{})
	e.requireNeverFailed(t, e.names...)
}

// delayOneServer delays all messages between st-5 and the others by ten seconds, so that the others see st-5
// as failed. No server sees st-2, st-3 or st-4 as failed.
func delayOneServer(t *testing.T, e *membershipEnvironment) {
	delayed, others := e.names[4:], e.names[:4]
	e.mesh.shapeBetween(delayed, others, link.Shape{Delay: 10 * time.Second})
	e.waitForState("st-1", member.Failed, delayed...)
	holdFault(t, 2*time.Second)
	e.mesh.shapeBetween(delayed, others, link.Shape{})
	e.requireNeverFailed(t, e.names[1:4]...)
}

// connectNeighborsOnly cuts all links except those between servers with consecutive numbers: st-1 observes
// only st-2.
func connectNeighborsOnly(t *testing.T, e *membershipEnvironment) {
	for _, pair := range []serverPair{{"st-1", "st-3"}, {"st-1", "st-4"}, {"st-2", "st-4"}, {"st-1", "st-5"}, {"st-2", "st-5"}, {"st-3", "st-5"}} {
		e.mesh.shapeBetween(pair[:1], pair[1:], cutShape)
	}
	e.waitUntil("st-1 observes st-2, and not st-5, as present", func() bool {
		view, ok := e.view("st-1")
		return ok && ownObservation(&view, "st-5") != member.Present && ownObservation(&view, "st-2") == member.Present
	})
	holdFault(t, 3*time.Second)
	e.shapeAll(link.Shape{})
}

// flapLink cuts and restores the links between two servers repeatedly. No server is seen as failed.
func flapLink(t *testing.T, e *membershipEnvironment) {
	const flapInterval = time.Second // how long the links stay cut, and then restored
	first, second := []string{"st-1"}, []string{"st-2"}
	for end := time.Now().Add(faultDuration(t, 9*time.Second)); time.Now().Before(end); {
		e.mesh.shapeBetween(first, second, cutShape)
		time.Sleep(flapInterval)
		e.mesh.shapeBetween(first, second, link.Shape{})
		time.Sleep(flapInterval)
	}
	e.requireNeverFailed(t, e.names...)
}

// suspendOneServer suspends a follower twice. No server sees the follower as failed after the short
// suspension, none sees another server as failed after either, and the resumed follower suspects no other
// server.
func suspendOneServer(t *testing.T, e *membershipEnvironment) {
	const (
		shortSuspension = time.Second // too short to be detected as a failure
		longSuspension  = 5 * time.Second
	)
	suspended := e.others(e.waitForLeader())[0]
	for _, duration := range []time.Duration{shortSuspension, faultDuration(t, longSuspension)} {
		e.suspend(suspended)
		time.Sleep(duration)
		if duration == shortSuspension {
			e.watcher.requireNever(t, member.Failed, e.names...)
		}
		e.resume(suspended)
		e.requireNoSuspicionBy(t, suspended, duration)
		e.waitForEqualViews(e.names...)
	}
	e.requireNeverFailed(t, e.others(suspended)...)
}

// requireNoSuspicionBy reads the view of a server that has just been resumed viewReads times, and requires
// that the server itself observes all others as present in each view that it returns. It received nothing
// while it was suspended, which is no evidence against the others.
func (e *membershipEnvironment) requireNoSuspicionBy(t *testing.T, resumed string, after time.Duration) {
	t.Helper()
	const viewReads = 20 // over a second
	for range viewReads {
		if view, ok := e.view(resumed); ok {
			for _, other := range e.others(resumed) {
				if state := ownObservation(&view, other); state != member.Present {
					t.Errorf("%s, resumed after %v, observes %s as %s", resumed, after, other, state)
				}
			}
		}
		time.Sleep(viewPollInterval)
	}
}

// restartOneByOne shuts down and starts each server in turn. Each leaves, returns with a later incarnation
// and is never seen as failed.
func restartOneByOne(t *testing.T, e *membershipEnvironment) {
	for _, name := range e.names {
		observer := e.others(name)[0]
		before := e.waitForIncarnation(observer, name)
		waitForEnd := beginShutDown(t, e.servers[name].proc)
		e.waitForState(observer, member.Left, name)
		waitForEnd()
		e.start(name)
		e.waitForState(observer, member.Present, name)
		e.waitUntil(name+" is present with a later incarnation", func() bool {
			view, ok := e.view(observer)
			return ok && incarnation(&view, name) > before
		})
	}
	e.requireNeverFailed(t, e.names...)
}

// restartWithoutData kills a follower, erases its data, restarts it at once, and waits until it is a voter
// again.
func restartWithoutData(t *testing.T, e *membershipEnvironment) {
	name := e.others(e.waitForLeader())[0]
	e.kill(name)
	e.eraseData(name)
	e.start(name)
	e.waitUntil(name+" is a voter again", func() bool {
		status, err := e.status(name)
		leader, leaderErr := e.status(e.waitForLeader())
		return err == nil && leaderErr == nil && status.Applied > 0 && len(leader.Voters) == len(e.names)
	})
}

// restartBeforeDetection kills a follower and restarts it at once, before another server sees it as failed.
// It returns with a later incarnation, and a second kill is detected within maxFailureDetection.
func restartBeforeDetection(t *testing.T, e *membershipEnvironment) {
	name := e.others(e.waitForLeader())[0]
	observer := e.others(name)[0]
	before := e.waitForIncarnation(observer, name)
	e.kill(name)
	e.start(name)
	e.waitUntil(name+" is present with a later incarnation", func() bool {
		view, ok := e.view(observer)
		return ok && view.State(name) == member.Present && incarnation(&view, name) > before
	})
	e.kill(name)
	if took := e.waitForState(observer, member.Failed, name); took > maxFailureDetection {
		t.Errorf("the kill was detected after %v, want at most %v", took, maxFailureDetection)
	}
	e.start(name)
}
