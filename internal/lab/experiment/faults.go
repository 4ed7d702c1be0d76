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

// applyServerFault injects a fault into emulated servers and returns how many.
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

// drawPerTarget draws a number in [0, 1) for each target. All are drawn before the targets'
// goroutines start, so that they don't depend on which goroutine runs first.
func drawPerTarget(targets []int, rng *rand.Rand) map[int]float64 {
	draws := map[int]float64{}
	for _, target := range targets {
		draws[target] = rng.Float64()
	}
	return draws
}

// applyFaultToServer injects a fault into one server, waits for its duration and ends it. offset, in
// [0, 1), is where in its interval a periodic fault begins.
func (fl *fleet) applyFaultToServer(ctx context.Context, f *Fault, srv *server.Server, offset float64) error {
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
		fl.runNeighbour(ctx, f, srv, offset)
	default:
		srv.SetFaults(responseFaults(f))
		fl.waitDuration(ctx, f)
		if f.Duration > 0 {
			srv.SetFaults(server.Faults{})
		}
	}
	return nil
}

// restartServer starts a server with the version that the fault names, or else its last one. If another
// fault that overlaps this one has started it already, it stays as it is.
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

// replaceServer drains a server for as long as a request may take, ends it, and starts it again.
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

// muteServer suppresses the renewals of a server. In the fleet of a baseline there are none.
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

// responseFaults returns the faults of responses that a fault of the timeline means.
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

// runNeighbour takes part of a server's machine until the fault ends: all the time, or on and
// off at the fault's interval, beginning at the given part of it.
func (fl *fleet) runNeighbour(ctx context.Context, f *Fault, srv *server.Server, offset float64) {
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
	for wait := time.Duration(offset * float64(f.Interval)); sleep(ctx, wait); wait = f.Interval {
		srv.SetNeighbourShare(f.Size)
		if !sleep(ctx, f.Interval) {
			return
		}
		srv.SetNeighbourShare(0)
	}
}

// applyAgentFault injects a fault into agents under test and returns how many.
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

// applyIrregularFault injects one of the faults of irregular signals and clients into an agent.
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

// killAndRestartAgent kills an agent and, if the fault has a duration, starts it again after it.
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
	// catchUpTime is how long a paused agent's requests are late after it goes on.
	catchUpTime = time.Second
	// endOfRun is later than the end of any run.
	endOfRun = time.Hour
)

// notifyCheckerOfPause has the checker excuse what an agent does late because it is paused.
func (fl *fleet) notifyCheckerOfPause(agent int, f *Fault) {
	from, to := fl.clock(), fl.clock()+f.Duration+catchUpTime
	if f.Duration == 0 {
		to = endOfRun
	}
	fl.checker.AgentPaused(agent, from, to)
}

// pauseProcess stops a process and, if the fault has a duration, lets it go on after it.
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

// applyProcessFault injects a fault into processes that are not agents and returns how many.
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

// applyLinkFault injects a fault into links and returns how many. The links of a baseline's fleet
// don't exist, so there it does nothing.
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

// linkShapes returns what a fault does to a link in each direction.
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
	case faultLoss: // of datagrams; a stream is delayed by its retransmissions instead
		shape.LossShare, shape.Delay, shape.Jitter = f.Size, f.Delay, f.Jitter
	}
	if f.Direction != directionBack {
		forward = shape
	}
	if f.Direction != directionForward {
		back = shape
	}
	return forward, back
}

// forEachLink runs do for all links at once: to fill the queue of one takes some time, and there
// may be thousands. It returns the first error.
func forEachLink(ctx context.Context, links []controllableLink, do func(controllableLink) error) error {
	indexes := make([]int, len(links))
	for i := range indexes {
		indexes[i] = i
	}
	return forEachTarget(ctx, indexes, 0, func(i int) error { return do(links[i]) })
}

// notifyCheckerOfDiscoveryCut notifies the checker of agents that a fault cuts off from discovery, or of
// the end of that.
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
