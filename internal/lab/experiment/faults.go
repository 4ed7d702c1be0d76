package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/server"
)

// applyServerFault injects a fault into emulated servers and returns the number of targets.
func (fl *fleet) applyServerFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	interval := time.Duration(0)
	if f.Kind == faultReplace {
		interval = f.Interval
	}
	offsets := drawPerTarget(targets, rng)
	return len(targets), forEachTarget(ctx, targets, interval, func(target int) error {
		return fl.applyFaultToServer(ctx, f, fl.servers[target], offsets[target])
	})
}

// drawPerTarget draws a number in [0, 1) for each target. All are drawn before the goroutines of the
// targets start, so that the numbers don't depend on the order in which the goroutines run.
func drawPerTarget(targets []int, rng *rand.Rand) map[int]float64 {
	draws := map[int]float64{}
	for _, target := range targets {
		draws[target] = rng.Float64()
	}
	return draws
}

// applyFaultToServer injects a fault into one server, waits for its duration and ends it. phase, in
// [0, 1), is the phase of a periodic fault within its interval.
func (fl *fleet) applyFaultToServer(ctx context.Context, f *Fault, srv *server.Server, phase float64) error {
	switch f.Kind {
	case faultKill:
		srv.Kill()
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			return fl.restartServer(srv, f)
		}
	case faultIsolate:
		if err := srv.Isolate(); err != nil {
			return err
		}
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			return srv.Rejoin()
		}
	case faultDrain:
		srv.Drain()
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			srv.Kill()
			return fl.restartServer(srv, f)
		}
	case faultReplace:
		return fl.replaceServer(ctx, f, srv)
	case faultMute:
		fl.muteServer(ctx, f, srv)
	case faultSlow:
		srv.SetSlowdown(f.Size)
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			srv.SetSlowdown(1)
		}
	case faultNeighbour:
		fl.runNeighbour(ctx, f, srv, phase)
	default:
		srv.SetFaults(responseFaults(f))
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			srv.SetFaults(server.Faults{})
		}
	}
	return nil
}

// restartServer starts a server with the version that the fault names, or else with its last version. It
// does nothing if an overlapping fault has already started the server.
func (fl *fleet) restartServer(srv *server.Server, f *Fault) error {
	version := server.Version{Name: srv.VersionName()}
	for _, name := range []string{version.Name, f.Version} {
		if named := fl.config.findVersion(name); named != nil {
			version = *named
		}
	}
	if err := srv.Start(version, true); !errors.Is(err, server.ErrAlreadyRunning) {
		return err
	}
	return nil
}

// replaceServer drains a server for the longest possible request duration, kills it, and starts it again
// after the delay of the fault.
func (fl *fleet) replaceServer(ctx context.Context, f *Fault, srv *server.Server) error {
	srv.Drain()
	if !sleep(ctx, fl.maxRequestDuration()) {
		return nil
	}
	srv.Kill()
	if f.Delay > 0 && !sleep(ctx, f.Delay) {
		return nil
	}
	return fl.restartServer(srv, f)
}

// muteServer suppresses the renewals of a server. In the fleet of a baseline, servers have none.
func (fl *fleet) muteServer(ctx context.Context, f *Fault, srv *server.Server) {
	if fl.controlPlane == nil {
		return
	}
	fl.controlPlane.setMuted(srv.Index, true)
	fl.waitDuration(ctx, f)
	if f.Duration > 0 {
		fl.controlPlane.setMuted(srv.Index, false)
	}
}

// responseFaults returns the server's response faults for a fault of the timeline.
func responseFaults(f *Fault) server.Faults {
	switch f.Kind {
	case faultErrors:
		return server.Faults{ErrorShare: f.Size}
	case faultResets:
		return server.Faults{ResetShare: f.Size}
	case faultLost:
		return server.Faults{LostShare: f.Size}
	case faultTruncated:
		return server.Faults{TruncatedShare: f.Size}
	case faultRepeated:
		return server.Faults{RepeatedShare: f.Size}
	}
	return server.Faults{}
}

// runNeighbour emulates another process that takes a part of the server's machine until the fault ends.
// Without an interval, the process runs continuously; with one, it alternates between running and pausing
// for one interval each. phase, in [0, 1), is the fraction of the interval before the process first runs.
func (fl *fleet) runNeighbour(ctx context.Context, f *Fault, srv *server.Server, phase float64) {
	defer srv.SetNeighbourShare(0)
	if f.Interval <= 0 {
		srv.SetNeighbourShare(f.Size)
		if f.Duration > 0 {
			sleep(ctx, f.Duration)
		} else {
			<-ctx.Done()
		}
		return
	}
	if f.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.Duration)
		defer cancel()
	}
	for wait := time.Duration(phase * float64(f.Interval)); sleep(ctx, wait); wait = f.Interval {
		srv.SetNeighbourShare(f.Size)
		if !sleep(ctx, f.Interval) {
			return
		}
		srv.SetNeighbourShare(0)
	}
}

// applyAgentFault injects a fault into agents under test and returns the number of targets.
func (fl *fleet) applyAgentFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	draws := drawPerTarget(targets, rng)
	interval := time.Duration(0)
	if f.Kind == faultRestart || f.Kind == faultReload {
		interval = f.Interval
	}
	return len(targets), forEachTarget(ctx, targets, interval, func(target int) error {
		agent := fl.agents[target]
		switch f.Kind {
		case faultKill:
			return fl.killAndRestartAgent(ctx, f, agent)
		case faultStop:
			fl.notifyCheckerOfPause(target, f)
			return fl.pauseProcess(ctx, f, agent.process)
		case faultReload:
			return fl.reloadAgent(agent)
		case faultSignals, faultFlood, faultPipeline, faultNoDescriptors:
			return fl.applyIrregularFault(ctx, f, agent, rand.New(rand.NewPCG(fl.seed, uint64(draws[target]*float64(1<<53)))))
		}
		return fl.restartAgent(ctx, agent, draws[target])
	})
}

// applyIrregularFault injects a fault into an agent: a series of signals, irregular client connections or a
// lack of descriptors.
func (fl *fleet) applyIrregularFault(ctx context.Context, f *Fault, agent *agentProcess, rng *rand.Rand) error {
	switch f.Kind {
	case faultSignals:
		return fl.signalAgent(ctx, f, agent, rng)
	case faultFlood:
		return fl.floodAgent(ctx, f, agent)
	case faultPipeline:
		return fl.pipelineRequests(ctx, f, agent, rng)
	}
	return fl.blockNewDescriptors(ctx, f, agent)
}

// killAndRestartAgent kills an agent and, if the fault has a duration, starts the agent again afterwards.
func (fl *fleet) killAndRestartAgent(ctx context.Context, f *Fault, agent *agentProcess) error {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	ended := agent.process.Ended()
	fl.killAgent(agent)
	fl.waitDuration(ctx, f)
	if f.Duration == 0 || ctx.Err() != nil {
		return nil
	}
	<-ended
	return fl.startAgent(ctx, agent)
}

const (
	// catchUpTime is how long an agent's requests may still be late after the agent is resumed.
	catchUpTime = time.Second
	// endOfRun is later than the end of any run.
	endOfRun = time.Hour
)

// notifyCheckerOfPause makes the checker tolerate delays that are caused by the pause of an agent.
func (fl *fleet) notifyCheckerOfPause(agent int, f *Fault) {
	from, to := fl.clock(), fl.clock()+f.Duration+catchUpTime
	if f.Duration == 0 {
		to = endOfRun
	}
	fl.checker.AgentPaused(agent, from, to)
}

// pauseProcess stops a process and, if the fault has a duration, resumes it afterwards.
func (fl *fleet) pauseProcess(ctx context.Context, f *Fault, p *process.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	fl.waitDuration(ctx, f)
	if f.Duration == 0 {
		return nil
	}
	return p.Signal(syscall.SIGCONT)
}

// applyProcessFault injects a fault into processes other than agents and returns the number of targets.
func (fl *fleet) applyProcessFault(ctx context.Context, processes []*process.Process, f *Fault, rng *rand.Rand) (int, error) {
	targets := fl.config.selectTargets(f.Target, rng)
	interval := time.Duration(0)
	if f.Kind == faultRestart {
		interval = f.Interval
	}
	return len(targets), forEachTarget(ctx, targets, interval, func(target int) error {
		p := processes[target]
		ended := p.Ended()
		switch f.Kind {
		case faultStop:
			return fl.pauseProcess(ctx, f, p)
		case faultKill:
			p.Kill()
			<-ended
			fl.waitDuration(ctx, f)
			if f.Duration == 0 || ctx.Err() != nil {
				return nil
			}
		default:
			if err := p.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			<-ended
		}
		return p.Start()
	})
}

// applyLinkFault injects a fault into links and returns the number of links. In the fleet of a baseline,
// which has no links, it does nothing.
func (fl *fleet) applyLinkFault(ctx context.Context, f *Fault) (int, error) {
	keys := fl.linkKeys(f)
	if fl.policy != "" || len(keys) == 0 {
		return 0, nil
	}
	links := fl.controlledLinks(keys)
	forward, back := linkShapes(f)
	fl.notifyCheckerOfDiscoveryCut(keys, f, true)
	err := forEachLink(ctx, links, func(l controllableLink) error {
		if f.Kind == faultRefuse {
			return l.Refuse()
		}
		return l.Set(forward, back)
	})
	fl.waitDuration(ctx, f)
	if f.Duration > 0 {
		restoreErr := forEachLink(ctx, links, func(l controllableLink) error { return l.Set(link.Shape{}, link.Shape{}) })
		if err == nil {
			err = restoreErr
		}
		fl.notifyCheckerOfDiscoveryCut(keys, f, false)
	}
	return len(keys), err
}

// linkShapes returns the traffic shapes that a fault applies to the two directions of a link.
func linkShapes(f *Fault) (forward, back link.Shape) {
	shape := link.Shape{}
	switch f.Kind {
	case faultCut:
		shape.Cut = true
	case faultDelay:
		shape.Delay, shape.Jitter = f.Delay, f.Jitter
	case faultSlow:
		shape.Rate = f.Size
	case faultReset:
		shape.ResetAfter = int64(f.Size)
	case faultLoss: // drops datagrams; a stream is delayed by retransmissions instead
		shape.LossProbability, shape.Delay, shape.Jitter = f.Size, f.Delay, f.Jitter
	}
	if f.Direction != directionBack {
		forward = shape
	}
	if f.Direction != directionForward {
		back = shape
	}
	return forward, back
}

// forEachLink calls do concurrently for all links, because filling the queue of a link takes some time
// and there may be thousands of links. It returns the first error.
func forEachLink(ctx context.Context, links []controllableLink, do func(controllableLink) error) error {
	indexes := make([]int, len(links))
	for i := range indexes {
		indexes[i] = i
	}
	return forEachTarget(ctx, indexes, 0, func(i int) error { return do(links[i]) })
}

// notifyCheckerOfDiscoveryCut notifies the checker of the agents that a fault cuts off from discovery or,
// if cut is false, of the agents that are reconnected.
func (fl *fleet) notifyCheckerOfDiscoveryCut(keys []linkKey, f *Fault, cut bool) {
	if f.Kind != faultCut && f.Kind != faultRefuse {
		return
	}
	for _, key := range keys {
		if key.to == discoveryIndex {
			fl.checker.SetDiscoveryCut(key.from, cut)
		}
	}
}
