package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/hollow"
)

// waitReaders waits until all readers have open watches and the expected list, at the leader's version.
// It returns the elapsed time, and a *notRunError if the file's RecoveryTimeout expires first.
func (r *sizeRun) waitReaders(ctx context.Context, expected hollow.ExpectedList) (time.Duration, error) {
	var state hollow.AgentsState
	var stateErr error
	elapsed, ok := poll(ctx, r.config.Scale.RecoveryTimeout, func() bool {
		leader := r.fleet.leader(ctx)
		if leader < 0 {
			return false
		}
		status, err := r.fleet.status(ctx, leader)
		if err != nil {
			return false
		}
		if r.config.Scale.Subscribed == 0 {
			expected.Version = status.Seq
		}
		state, stateErr = r.fleet.readersState(ctx, expected, false)
		return stateErr == nil &&
			state.AsExpected == state.Agents && state.WatchesOpen == state.Agents && state.AtVersion == state.Agents
	})
	switch {
	case ctx.Err() != nil:
		return elapsed, ctx.Err()
	case ok:
		return elapsed, nil
	case stateErr != nil:
		return elapsed, stateErr
	}
	return elapsed, &notRunError{fmt.Sprintf("readers: after %v, of %d readers %d had the list, %d were at the last version, %d had an open watch",
		r.config.Scale.RecoveryTimeout, state.Agents, state.AsExpected, state.AtVersion, state.WatchesOpen)}
}

// waitWritable waits until a control-plane server other than the killed one accepts a write, and returns
// the elapsed time. It returns a *notRunError if the file's RecoveryTimeout expires first.
func (r *sizeRun) waitWritable(ctx context.Context, killed int) (time.Duration, error) {
	others := slices.Delete(slices.Clone(r.fleet.controlPlaneAddrs), killed, killed+1)
	client := control.NewClient(others, statusTimeout)
	weight := 1.0
	elapsed, ok := poll(ctx, r.config.Scale.RecoveryTimeout, func() bool {
		_, err := client.SetOverride(ctx, "hollow-00000", control.ServerOverride{Weight: &weight})
		return err == nil
	})
	if !ok {
		return elapsed, errors.Join(ctx.Err(), &notRunError{fmt.Sprintf("no write was taken within %v of the leader's end", r.config.Scale.RecoveryTimeout)})
	}
	return elapsed, nil
}

// waitFailovers waits until the total number of failovers of the readers' watches is at least wanted.
// Until then the readers may still report watches of a killed control-plane server as open. It returns
// a *notRunError if the file's RecoveryTimeout expires first.
func (r *sizeRun) waitFailovers(ctx context.Context, wanted int64) error {
	var state hollow.AgentsState
	var err error
	_, ok := poll(ctx, r.config.Scale.RecoveryTimeout, func() bool {
		state, err = r.fleet.readersState(ctx, hollow.ExpectedList{}, false)
		return err == nil && state.Failovers >= wanted
	})
	if !ok {
		return errors.Join(ctx.Err(), err, &notRunError{fmt.Sprintf("readers left stewards %d times, not %d, after one was gone", state.Failovers, wanted)})
	}
	return nil
}
