package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"knotrouter/internal/control"
)

// Kinds of operations on a server's weight, beside reads.
const (
	writeOperation         = "write"
	compareAndSetOperation = "cas" // a write on condition that the entry has a given version
)

const (
	overrideHistoryFaults   = 7
	overrideHistoryMaxPause = 550 * time.Millisecond // before each fault
	overrideHistoryClients  = 4
	overrideHistoryKeys     = 3
	pauseAfterRejection     = 5 * time.Millisecond
	pauseAfterUnknownResult = 2 * time.Millisecond
)

// overrideInput is an operation on the weight of one server.
type overrideInput struct {
	key       string
	kind      string
	weight    float64
	ifVersion int64
}

type overrideOutput struct {
	weight   float64
	version  int64 // 0 if unknown, as the answer was lost
	rejected bool  // of a compare-and-set: the entry has another version
	// rejectedByUnseenWrite is set if the entry may have the version of a write whose answer was lost and
	// whose weight no read returned.
	rejectedByUnseenWrite bool
}

// overrideState is a weight and the version of its write, which is 0 as long as it is not known.
type overrideState struct {
	weight  float64
	version int64
}

// overrideModel specifies a register for each server.
var overrideModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(input any) string { return input.(overrideInput).key })
	},
	Init: func() any { return overrideState{weight: 1} },
	Step: func(state, input, output any) (bool, any) {
		return stepOverride(state.(overrideState), input.(overrideInput), output.(overrideOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// stepOverride reports whether an operation can have its output in a state, and returns the state after
// the operation.
func stepOverride(s overrideState, in overrideInput, out overrideOutput) (bool, any) {
	switch in.kind {
	case readOperation:
		sameVersion := s.version == 0 || s.version == out.version
		return out.weight == s.weight && sameVersion, overrideState{s.weight, out.version}
	case compareAndSetOperation:
		fits := s.version == 0 || s.version == in.ifVersion
		switch {
		case out.version == 0 && fits: // the write may have taken effect
			return true, overrideState{in.weight, 0}
		case out.version == 0:
			return true, s
		case out.rejected:
			return s.version != in.ifVersion || s.version == 0 || out.rejectedByUnseenWrite, s
		}
		return fits && out.version > s.version, overrideState{in.weight, out.version}
	}
	return out.version == 0 || out.version > s.version, overrideState{in.weight, out.version}
}

// resolveUnknownOutcomes completes the operations whose answers were lost with what reads show about them.
// Weights are unique: a write whose weight a read returned took effect, under the version of the read. A write
// that no read saw matters only to a compare-and-set that was rejected because of the write. The write is left
// out, as the checker would have to try it at every position in the history.
func resolveUnknownOutcomes(operations []porcupine.Operation) (resolved []porcupine.Operation) {
	seenVersions := map[float64]int64{} // by weight
	for _, operation := range operations {
		if operation.Input.(overrideInput).kind == readOperation {
			output := operation.Output.(overrideOutput)
			seenVersions[output.weight] = output.version
		}
	}
	firstUnseen := map[string]int64{} // by key, the time of the call of the first write that no read saw
	for _, operation := range operations {
		input, output := operation.Input.(overrideInput), operation.Output.(overrideOutput)
		if output.version == 0 && seenVersions[input.weight] == 0 {
			if called, known := firstUnseen[input.key]; !known || operation.Call < called {
				firstUnseen[input.key] = operation.Call
			}
		}
	}
	for _, operation := range operations {
		input, output := operation.Input.(overrideInput), operation.Output.(overrideOutput)
		if output.version == 0 {
			if output.version = seenVersions[input.weight]; output.version == 0 {
				continue
			}
		}
		called, known := firstUnseen[input.key]
		output.rejectedByUnseenWrite = output.rejected && known && called < operation.Return
		operation.Output = output
		resolved = append(resolved, operation)
	}
	return resolved
}

// overrideHistory records the operations of all clients.
type overrideHistory struct {
	began time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	counts     map[string]int // by kind
}

// add appends an operation.
func (h *overrideHistory) add(client int, input overrideInput, output overrideOutput, called, returned time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: int64(called), Return: int64(returned)})
	h.counts[input.kind]++
}

// isLongEnough reports whether the history has enough operations of each kind for a verdict.
func (h *overrideHistory) isLongEnough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[readOperation] >= 20 && h.counts[writeOperation] >= 20 && h.counts[compareAndSetOperation] >= 5
}

// run makes random operations, each at a random server, until the context ends. A started
// call is completed, so that its outcome is known.
func (h *overrideHistory) run(ctx context.Context, cluster *testCluster, client int, rng *rand.Rand) {
	versions := map[string]int64{} // by key, that the client saw last
	for n := 0; ctx.Err() == nil; n++ {
		server := cluster.servers[cluster.names[rng.IntN(len(cluster.names))]]
		input := overrideInput{
			key:    fmt.Sprint("k-", rng.IntN(overrideHistoryKeys)),
			kind:   []string{readOperation, writeOperation, compareAndSetOperation}[rng.IntN(3)],
			weight: float64(client*100_000 + n),
		}
		if input.kind == compareAndSetOperation {
			if input.ifVersion = versions[input.key]; input.ifVersion == 0 {
				continue
			}
		}
		called := time.Since(h.began)
		output, err := operateOverride(server.http, input)
		returned := time.Since(h.began)
		if err == nil {
			versions[input.key] = output.version
			h.add(client, input, output, called, returned)
			continue
		}
		h.recordFailure(client, input, err, called, returned)
	}
}

// operateOverride performs one operation at a server.
func operateOverride(addr string, input overrideInput) (overrideOutput, error) {
	ctx, cancel := context.WithTimeout(context.Background(), historyCallTimeout)
	defer cancel()
	client := control.NewClient([]string{addr}, historyCallTimeout)
	if input.kind == readOperation {
		entry, err := client.Server(ctx, input.key, true)
		if err != nil {
			return overrideOutput{}, err
		}
		return overrideOutput{version: entry.Version, weight: entry.Listed().Weight}, nil
	}
	result, err := client.SetOverride(ctx, input.key, control.ServerOverride{Weight: &input.weight, IfVersion: input.ifVersion})
	return overrideOutput{version: result.Seq}, err
}

// recordFailure adds a failed operation unless it certainly had no effect. It pauses after a write that the
// server answers not to have applied, and after a call without an answer.
func (h *overrideHistory) recordFailure(client int, input overrideInput, err error, called, returned time.Duration) {
	var rejected *control.HTTPError
	isRejected := errors.As(err, &rejected)
	switch {
	case input.kind == readOperation:
	case isRejected && rejected.Status == http.StatusPreconditionFailed:
		h.add(client, input, overrideOutput{version: 1, rejected: true}, called, returned)
	case isRejected && rejected.NotApplied:
		time.Sleep(pauseAfterRejection)
	default: // the operation may take effect at any time after its call
		h.add(client, input, overrideOutput{}, called, math.MaxInt64)
	}
	if !isRejected {
		time.Sleep(pauseAfterUnknownResult)
	}
}

// Writes and consistent reads of servers' weights are linearizable under random faults of the control plane: the
// results are those of one register for each server. LINEAR_SEEDS is the number of histories.
func TestOverridesLinearizable(t *testing.T) {
	for seed := range countFromEnvironment(t, "LINEAR_SEEDS", 10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkOverrideHistory(t, uint64(seed))
		})
	}
}

// checkOverrideHistory records a history under random faults that the seed determines, and requires that it
// is linearizable.
func checkOverrideHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := newSeededRand(t, seed)
	cluster := newCluster(t, 3)
	for i := range overrideHistoryKeys {
		cluster.register(fmt.Sprint("k-", i), 1)
	}
	history := &overrideHistory{began: time.Now(), counts: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for client := range overrideHistoryClients {
		clients.Go(func() {
			history.run(ctx, cluster, client+1, rand.New(rand.NewPCG(seed, uint64(client))))
		})
	}
	cluster.injectFaults(rng, overrideHistoryFaults, overrideHistoryMaxPause, history.isLongEnough)
	cancel()
	clients.Wait()
	if !history.isLongEnough() {
		t.Errorf("too few operations for a verdict: %v", history.counts)
	}
	switch result, _ := porcupine.CheckOperationsVerbose(overrideModel, resolveUnknownOutcomes(history.operations), waitTimeout); result {
	case porcupine.Illegal:
		t.Errorf("seed %d: %d operations are not linearizable: no sequential use of a register has these results", seed, len(history.operations))
	case porcupine.Unknown:
		t.Errorf("seed %d: the check of %d operations did not end within %v", seed, len(history.operations), waitTimeout)
	}
}
