package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"knotrouter/internal/lab/hollow"
)

// firstStart registers all servers, starts all readers and real agents at the same time, and then
// begins to send requests to the real agents.
func (r *sizeRun) firstStart(ctx context.Context) error {
	f := r.fleet
	var registered hollow.RegistrationResult
	if err := f.sendCommand(ctx, "/v1/register", hollow.Range{Count: r.size.Servers}, &registered); err != nil {
		return err
	}
	r.result.Add(roleServer, FirstStart, "registrations_per_second", float64(registered.Servers)/registered.Seconds)
	if registered.RefusalReason != "" {
		return &notRunError{fmt.Sprintf("registration refused: %s; %d of %d servers were registered", registered.RefusalReason, registered.Servers, r.size.Servers)}
	}
	r.progress(fmt.Sprintf("%s: registered in %.1f s", r.name, registered.Seconds))
	if err := f.addRealAgents(); err != nil {
		return err
	}
	var elapsed time.Duration
	m, err := r.measure(ctx, FirstStart, func() error {
		if err := f.startRealAgents(); err != nil {
			return err
		}
		if err := f.startReaders(ctx); err != nil {
			return err
		}
		var err error
		elapsed, err = r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers})
		return err
	})
	if m != nil {
		if err := m.addPayloadSizes(ctx, f.leader(ctx)); err != nil {
			return err
		}
	}
	if err != nil {
		return r.explainMissingList(ctx, err)
	}
	m.add(roleReaders, "recovered_s", elapsed.Seconds())
	if err := f.waitRealAgents(ctx, r.config.Scale.RecoveryTimeout); err != nil {
		return &notRunError{"real agents: " + err.Error()}
	}
	if len(f.agents) > 0 {
		f.loadGenerator = newLoadGenerator(f.agentAddrs, r.config.Scale.RequestRate)
	}
	return nil
}

// maxListBytes is the size of the largest list that a reader accepts (internal/endpoints).
const maxListBytes = 4 << 20

// explainMissingList returns the error for readers that did not get the list: a *notRunError with the
// size of the list if the list is too large for them, else err.
func (r *sizeRun) explainMissingList(ctx context.Context, err error) error {
	var notRun *notRunError
	leader := r.fleet.leader(ctx)
	if !errors.As(err, &notRun) || leader < 0 || r.config.Scale.Subscribed > 0 {
		return err
	}
	text, readErr := r.fleet.getWithRetry(ctx, leader, "/v1/endpoints")
	if readErr == nil && len(text) > maxListBytes {
		return &notRunError{fmt.Sprintf("whole list of %d bytes is over %d: readers refuse it", len(text), maxListBytes)}
	}
	return err
}

// steady measures a fleet in which servers change at a multiple of the file's rates.
func (r *sizeRun) steady(ctx context.Context, load string, multiple float64) error {
	if err := r.fleet.setChangeRates(ctx, multiple); err != nil {
		return err
	}
	_, err := r.measure(ctx, load, func() error {
		hollow.Sleep(ctx, r.config.Scale.SteadyDuration)
		return nil
	})
	if err != nil {
		return err
	}
	return r.fleet.setChangeRates(ctx, 1)
}

// leaderKilled kills the leader of the control plane and restarts it once another server accepts writes.
func (r *sizeRun) leaderKilled(ctx context.Context) error {
	f := r.fleet
	leader := f.leader(ctx)
	if leader < 0 {
		return &notRunError{"no steward leads"}
	}
	var writable, recovered time.Duration
	m, err := r.measure(ctx, LeaderKilled, func() error {
		began := time.Now()
		f.controlPlane[leader].Kill()
		<-f.controlPlane[leader].Ended()
		var err error
		if writable, err = r.waitWritable(ctx, leader); err != nil {
			return err
		}
		if err := f.controlPlane[leader].Start(); err != nil {
			return err
		}
		_, err = r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers})
		recovered = time.Since(began)
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleLeader, "recovered_s", writable.Seconds())
	m.add(roleReaders, "recovered_s", recovered.Seconds())
	return nil
}

// zonesPerRegion is the number of zones of a region: 22 zones in 6 regions, rounded up.
const zonesPerRegion = 4

// serversLost stops the renewals of the servers of one or more zones, waits until the readers' lists no
// longer contain them, and registers them again.
func (r *sizeRun) serversLost(ctx context.Context, load string, lost hollow.Range) error {
	f := r.fleet
	var removed, recovered time.Duration
	m, err := r.measure(ctx, load, func() error {
		if err := f.sendCommand(ctx, "/v1/silence", lost, &lost); err != nil {
			return err
		}
		var err error
		if removed, err = r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers, Absent: lost.Count}); err != nil {
			return err
		}
		began := time.Now()
		var registered hollow.RegistrationResult
		if err := f.sendCommand(ctx, "/v1/register", lost, &registered); err != nil {
			return err
		}
		if registered.RefusalReason != "" {
			return &notRunError{"their return was refused: " + registered.RefusalReason}
		}
		_, err = r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers})
		recovered = time.Since(began)
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "gone_s", removed.Seconds())
	m.add(roleReaders, "recovered_s", recovered.Seconds())
	return nil
}

// Rate and length of a burst of configuration changes.
const (
	burstChangesPerSecond = 200
	burstDuration         = 2 * time.Second
)

// configBurst makes configuration changes at a high rate and waits until all readers have the last one.
func (r *sizeRun) configBurst(ctx context.Context) error {
	var elapsed time.Duration
	m, err := r.measure(ctx, ConfigBurst, func() error {
		rates := hollow.Rates{ConfigurationsPerSecond: burstChangesPerSecond}
		if err := r.fleet.sendCommand(ctx, "/v1/rates", rates, &rates); err != nil {
			return err
		}
		hollow.Sleep(ctx, burstDuration)
		if err := r.fleet.setChangeRates(ctx, 1); err != nil {
			return err
		}
		var err error
		elapsed, err = r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers})
		return err
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "recovered_s", elapsed.Seconds())
	return nil
}

// followerKilled kills a follower of the control plane and restarts it once its watches have moved to
// other servers.
func (r *sizeRun) followerKilled(ctx context.Context) error {
	f := r.fleet
	killed := (f.leader(ctx) + 1) % len(f.controlPlane)
	status, err := f.status(ctx, killed)
	if err != nil {
		return err
	}
	before, err := f.readersState(ctx, hollow.ExpectedList{}, false)
	if err != nil {
		return err
	}
	hollowWatches := status.Watches - len(f.agents) // a lower bound: each real agent has at most one watch on it
	var moved time.Duration
	m, err := r.measure(ctx, FollowerKilled, func() error {
		began := time.Now()
		f.controlPlane[killed].Kill()
		<-f.controlPlane[killed].Ended()
		if err := r.waitFailovers(ctx, before.Failovers+int64(hollowWatches)); err != nil {
			return err
		}
		_, err := r.waitReaders(ctx, hollow.ExpectedList{Servers: r.size.Servers})
		moved = time.Since(began)
		return errors.Join(err, f.controlPlane[killed].Start())
	})
	if err != nil {
		return err
	}
	m.add(roleReaders, "recovered_s", moved.Seconds())
	return nil
}
