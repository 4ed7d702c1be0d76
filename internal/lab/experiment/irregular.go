package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/client"
)

// The signals of a series. The values are fixed by the format of experiment files.
const (
	signalReload    = "hup"
	signalTerminate = "term"
	signalKill      = "kill"
)

var signalNames = []string{signalReload, signalTerminate, signalKill}

const (
	// A terminated agent that has not exited gets SIGKILL. The time from SIGTERM to SIGKILL is the longest
	// deadline, but at most maxCountedDeadline, plus killDelay.
	killDelay          = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
	// maxRestartTime is how long a restarted agent may take to become ready.
	maxRestartTime = 10 * time.Second
	// splitPause is the pause between the two halves of a request that is half sent when SIGTERM arrives.
	splitPause = 120 * time.Millisecond
	// When an agent is terminated, it has irregularConnections clients that pipeline pipelineDepth requests
	// each, and as many clients that have sent half a request.
	irregularConnections = 3
	pipelineDepth        = 6
	// After a flood of connections, an agent has floodSettleTime to close descriptors. Then it may have at
	// most floodDescriptorSlack more open descriptors than before the flood.
	floodSettleTime      = 6 * time.Second
	floodDescriptorSlack = 64
)

// signalAgent sends a series of signals to an agent at the fault's interval. After the first SIGTERM, the
// clients continue to use open connections until the agent exits or is killed. SIGKILL comes at the earliest
// time at which the platform that hosts agents may send it (see killDelay). An agent that was terminated or
// killed is started again.
func (fl *fleet) signalAgent(ctx context.Context, f *Fault, agent *agentProcess, rng *rand.Rand) error {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	ended := agent.process.Ended()
	var terminatedAt time.Time
	for i, name := range f.Signals {
		if i > 0 && !sleep(ctx, f.Interval) {
			return ctx.Err()
		}
		switch name {
		case signalReload:
			if err := fl.moveDiscovery(agent); err != nil {
				return err
			}
			_ = agent.process.Signal(syscall.SIGHUP) // the process may have exited already
		case signalTerminate:
			if terminatedAt.IsZero() {
				fl.startIrregularClients(agent, rng)
				sleep(ctx, splitPause/2)
				terminatedAt = time.Now()
			}
			_ = agent.process.Signal(syscall.SIGTERM)
		case signalKill:
			fl.killAgent(agent)
			<-ended
			return fl.startWithinLimit(ctx, agent)
		}
	}
	if terminatedAt.IsZero() {
		return nil
	}
	return fl.awaitTermination(ctx, agent, terminatedAt, ended, rng)
}

// awaitTermination waits until a terminated agent exits, and starts it again. Shortly after SIGTERM, the
// agent's clients stop opening connections and use only open ones. An agent that has not exited by the time of SIGKILL (see killDelay) is killed.
func (fl *fleet) awaitTermination(ctx context.Context, agent *agentProcess, terminatedAt time.Time, ended <-chan struct{}, rng *rand.Rand) error {
	leaveAfter := time.Duration((minClientLeaveDelay + clientLeaveJitter*rng.Float64()) * float64(time.Second))
	sleep(ctx, time.Until(terminatedAt.Add(leaveAfter)))
	fl.clients[agent.index].UseOpenConnectionsOnly()
	kill := time.NewTimer(time.Until(terminatedAt.Add(min(fl.maxRequestDuration(), maxCountedDeadline) + killDelay)))
	defer kill.Stop()
	select {
	case <-ended:
	case <-kill.C:
		fl.killAgent(agent)
		<-ended
	case <-ctx.Done():
		return ctx.Err()
	}
	fl.clients[agent.index].StopSending()
	return fl.startWithinLimit(ctx, agent)
}

// startWithinLimit starts an agent. It reports a breach if the agent takes longer than maxRestartTime to
// become ready.
func (fl *fleet) startWithinLimit(ctx context.Context, agent *agentProcess) error {
	startedAt := time.Now()
	if err := fl.startAgent(ctx, agent); err != nil {
		return err
	}
	if took := time.Since(startedAt); took > maxRestartTime {
		fl.checker.ReportBreach(check.RuleLimit, agent.index, fmt.Sprintf("ready %v after its start", took))
	}
	return nil
}

// drawIrregularRequests draws the requests of one irregular connection. All have the same class, because
// answers on a connection keep the order of the requests: one with a shorter deadline would have to wait for
// the requests ahead of it.
func (fl *fleet) drawIrregularRequests(rng *rand.Rand, count int) []client.Arrival {
	arrivals := make([]client.Arrival, count)
	class := rng.IntN(len(fl.config.Load.Classes))
	for i := range arrivals {
		arrivals[i] = client.Arrival{Class: class, Key: 1 + rng.Uint64N(1000), Seed: rng.Uint64(),
			Work: fl.config.Load.Classes[class].Work * rng.Float64()}
	}
	return arrivals
}

// startIrregularClients starts clients that pipeline requests to an agent, and clients that send half a
// request now and the rest after splitPause. It does not wait for their requests, which end on their own.
func (fl *fleet) startIrregularClients(agent *agentProcess, rng *rand.Rand) {
	for range irregularConnections {
		pipelined := client.Pipeline{Arrivals: fl.drawIrregularRequests(rng, pipelineDepth)}
		split := client.Pipeline{Arrivals: fl.drawIrregularRequests(rng, 1), SplitPause: splitPause}
		go fl.clients[agent.index].SendPipelined(pipelined)
		go fl.clients[agent.index].SendPipelined(split)
	}
}

// pipelineRequests makes a client pipeline f.Size requests at the fault's interval while the fault lasts.
func (fl *fleet) pipelineRequests(ctx context.Context, f *Fault, agent *agentProcess, rng *rand.Rand) error {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		irregular := client.Pipeline{Arrivals: fl.drawIrregularRequests(rng, int(f.Size))}
		running.Go(func() { fl.clients[agent.index].SendPipelined(irregular) })
		if !sleep(ctx, f.Interval) {
			return nil
		}
	}
}

// floodAgent opens f.Size connections to an agent and keeps them idle while the fault lasts. The fraction
// f.Share of the connections sends part of a request first. Afterwards, the agent must release the
// descriptors of all the connections.
func (fl *fleet) floodAgent(ctx context.Context, f *Fault, agent *agentProcess) error {
	before, _, _ := agent.process.SampleUsage()
	partial := int(f.Size * f.Share)
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { fl.clients[agent.index].HoldConnections(int(f.Size)-partial, "", done) })
	running.Go(func() {
		fl.clients[agent.index].HoldConnections(partial, "GET /"+strings.Repeat("x", 40)+" HTTP/1.1\r\nHost: ", done)
	})
	sleep(ctx, f.Duration)
	close(done)
	running.Wait()
	runs := agent.process.StartCount()
	if !sleep(ctx, floodSettleTime) || agent.process.StartCount() != runs || !agent.process.Running() {
		return nil
	}
	if after, _, _ := agent.process.SampleUsage(); after.Descriptors > before.Descriptors+floodDescriptorSlack {
		fl.checker.ReportBreach(check.RuleLimit, agent.index, fmt.Sprintf("%d descriptors %v after a flood of connections has ended, %d before it came",
			after.Descriptors, floodSettleTime, before.Descriptors))
	}
	return nil
}

// blockNewDescriptors prevents an agent from opening descriptors while the fault lasts, so that accept,
// socket and open fail with EMFILE.
func (fl *fleet) blockNewDescriptors(ctx context.Context, f *Fault, agent *agentProcess) error {
	pid := agent.process.PID()
	if pid == 0 {
		return nil
	}
	var previous unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &previous); err != nil {
		return err
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 0, Max: previous.Max}, nil); err != nil {
		return err
	}
	sleep(ctx, f.Duration)
	if agent.process.PID() != pid {
		return nil // the agent was restarted during the fault
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &previous, nil)
}
