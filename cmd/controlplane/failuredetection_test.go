package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/member"
)

const (
	// gossipSettleTime is how long a gossipGroup has to start before a benchmark begins to measure.
	gossipSettleTime = 8 * time.Second
	// detectionWindow is how long after a kill a detection counts. The process is started again afterwards.
	detectionWindow = 6 * time.Second
	// restartSettleTime is how long a restarted process is not killed again.
	restartSettleTime = 4 * time.Second
	// The pause between two kills is killSpacing over the number of processes, but at least minKillPause, so
	// that few processes are down at any time.
	killSpacing  = 24 * time.Second
	minKillPause = time.Second
	// statesPollInterval is how often waitForStates reads the logs of a group.
	statesPollInterval = 100 * time.Millisecond
)

// gossipKill is the kill of a process.
type gossipKill struct {
	name string
	at   time.Time
}

// BenchmarkFailureDetection kills gossiping processes, one after the other, and measures from the logs of the
// others when the first and the last of them mark each as failed. It also measures what an idle process sends and
// uses.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{5, 20, 50, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			group := newGossipGroup(b, n, 0)
			time.Sleep(gossipSettleTime)
			reportIdleUsage(b, group)
			kills := killAndRestart(group, 100)
			failed := group.stateTimes(member.Failed)
			var first, spread []time.Duration
			missed := 0
			for _, kill := range kills {
				earliest, latest := detectionTimes(failed, kill)
				if latest == 0 {
					missed++
					continue
				}
				first, spread = append(first, earliest), append(spread, latest-earliest)
			}
			reportPercentiles(b, "first", first)
			reportPercentiles(b, "spread", spread)
			b.ReportMetric(float64(missed), "missed")
		})
	}
}

// reportIdleUsage reports what each process sends and uses while nothing happens.
func reportIdleUsage(b *testing.B, group *gossipGroup) {
	b.Helper()
	const idleTime = 10 * time.Second
	totalCPU := func() (cpu time.Duration) {
		for _, p := range group.processes {
			sample, _, _ := p.SampleUsage()
			cpu += sample.CPU
		}
		return cpu
	}
	n := float64(len(group.names))
	cpuBefore, bytesBefore, began := totalCPU(), group.bytesSent(), time.Now()
	time.Sleep(idleTime)
	b.ReportMetric(float64(group.bytesSent()-bytesBefore)/n/time.Since(began).Seconds(), "bytes/s/process")
	b.ReportMetric(float64(totalCPU()-cpuBefore)/n/float64(idleTime)*1000, "millicores/process")
}

// killAndRestart kills random processes, count in all. Each is started again after detectionWindow, and not killed
// again until restartSettleTime has passed.
func killAndRestart(group *gossipGroup, count int) (kills []gossipKill) {
	n := len(group.names)
	var restarting sync.WaitGroup
	rng := rand.New(rand.NewPCG(9, uint64(n)))
	var mu sync.Mutex
	recentlyKilled := map[string]bool{} // down, or started within restartSettleTime
	for range count {
		mu.Lock()
		name := group.names[rng.IntN(n)]
		for recentlyKilled[name] {
			name = group.names[rng.IntN(n)]
		}
		recentlyKilled[name] = true
		kill := gossipKill{name, time.Now()}
		mu.Unlock()
		group.processes[name].Kill()
		kills = append(kills, kill)
		restarting.Go(func() {
			time.Sleep(detectionWindow)
			mu.Lock()
			defer mu.Unlock()
			group.start(name)
			time.AfterFunc(restartSettleTime, func() { mu.Lock(); delete(recentlyKilled, name); mu.Unlock() })
		})
		time.Sleep(max(minKillPause, killSpacing/time.Duration(n)))
	}
	restarting.Wait()
	return kills
}

// detectionTimes returns how long after a kill the first and the last observer marked the process as failed.
// latest is zero if none did.
func detectionTimes(failed map[string]map[string][]time.Time, kill gossipKill) (earliest, latest time.Duration) {
	earliest = detectionWindow
	for _, byMember := range failed {
		for _, at := range byMember[kill.name] {
			if took := at.Sub(kill.at); took > 0 && took < detectionWindow {
				earliest, latest = min(earliest, took), max(latest, took)
			}
		}
	}
	return earliest, latest
}

// BenchmarkFalseFailures runs fifty members that gossip over a network that loses a fifth of the datagrams, while
// random members are suspended for up to 5 s. It counts how often an observer marked a member as failed, though
// none has ended. The environment variable WRONG_FOR sets the duration.
func BenchmarkFalseFailures(b *testing.B) {
	const (
		n               = 50
		maxSuspensionMs = 5000
		recoveryPause   = 3 * time.Second // between two suspensions
	)
	duration, err := time.ParseDuration(os.Getenv("WRONG_FOR"))
	if err != nil {
		duration = 2 * time.Minute
	}
	group := newGossipGroup(b, n, 0.2)
	time.Sleep(gossipSettleTime)
	failures := func() (count int) {
		for _, byMember := range group.stateTimes(member.Failed) {
			for _, times := range byMember {
				count += len(times)
			}
		}
		return count
	}
	before := failures()
	rng := rand.New(rand.NewPCG(10, 1))
	suspensions := 0
	for end := time.Now().Add(duration); time.Now().Before(end); suspensions++ {
		p := group.processes[group.names[rng.IntN(n)]]
		signalProcess(b, p, syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.IntN(maxSuspensionMs)) * time.Millisecond)
		signalProcess(b, p, syscall.SIGCONT)
		time.Sleep(recoveryPause)
	}
	b.ReportMetric(float64(failures()-before)/duration.Hours(), "failed/h-over-50-views")
	b.ReportMetric(float64(suspensions), "pauses")
	b.ReportMetric(0, "ns/op")
}

// waitForStates waits until the last state that each observer has logged of each other member is the given one.
// It fails the test after waitTimeout.
func (group *gossipGroup) waitForStates(description string, observers, members []string, state member.State) {
	group.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(statesPollInterval) {
		missing := group.missingState(observers, members, state)
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			group.t.Fatalf("not within %v: %s: %s", waitTimeout, description, missing)
		}
	}
}

// missingState describes an observer whose last logged state of a member is not the given one. It returns "" if
// all observers have logged the state of all members.
func (group *gossipGroup) missingState(observers, members []string, state member.State) (missing string) {
	group.t.Helper()
	for _, observer := range observers {
		states := group.lastStates(observer)
		for _, name := range members {
			if name != observer && states[name] != state {
				missing = fmt.Sprintf("%s has %s as %q", observer, name, states[name])
			}
		}
	}
	return missing
}

// Many members start at once, of which one in the table of peers ends before it gossips. Then half of the members
// end at once. These are too many for an observer to mark as failed on its own: it does so once most of the
// remaining observers report the same.
func TestMassFailureNeedsMajority(t *testing.T) {
	const n = 24
	group := newGossipGroup(t, n, 0)
	group.processes[group.names[n-1]].Kill() // before it gossips
	running := group.names[:n-1]
	group.waitForStates("all start", running, running, member.Present)
	// Two of the five observers are among the victims.
	victims := append(slices.Clone(group.names[:2]), group.names[12:n-1]...)
	survivors := group.names[2:12]
	for _, name := range victims {
		group.processes[name].Kill()
	}
	group.waitForStates("half end", survivors, victims, member.Failed)
	for observer, byMember := range group.stateTimes(member.Failed) {
		for _, name := range survivors {
			if len(byMember[name]) > 0 && slices.Contains(survivors, observer) {
				t.Errorf("%s had %s, which runs, as failed", observer, name)
			}
		}
	}
	for _, name := range victims {
		group.start(name)
	}
	group.waitForStates("all are back", survivors, victims, member.Present)
}
