package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

const (
	// historyCallTimeout is how long a client of a recorded history waits for an answer.
	historyCallTimeout = 1500 * time.Millisecond

	sessionRenewInterval = 200 * time.Millisecond
	sessionRenewTimeout  = 500 * time.Millisecond
	// sessionExpiryWait is longer than the control plane keeps a session without tasks that is not renewed.
	sessionExpiryWait = 4 * time.Second

	// maxRepeatedCalls bounds the calls that are sent twice, as the checker has to try each second call both
	// with and without an effect.
	maxRepeatedCalls = 10

	// A session pauses after each recorded operation, for minClaimPause and up to claimPauseSpreadMs more, and
	// for failedClaimPause after any other operation. The pauses bound the length of the history that the
	// checker has to search.
	minClaimPause      = 5 * time.Millisecond
	claimPauseSpreadMs = 10
	failedClaimPause   = 10 * time.Millisecond

	claimHistoryFaults   = 4
	claimHistoryMaxPause = 450 * time.Millisecond // before each fault
)

// Kinds of operations on a task.
const (
	claimOperation   = "claim"
	releaseOperation = "give up"
	readOperation    = "read"
)

// claimInput is an operation on one task by one session.
type claimInput struct {
	task, kind, session string
	fence               int64 // of the term that is released
}

type claimOutput struct {
	ok             bool
	unknownOutcome bool   // the answer was lost
	session        string // of the holder that a read returned; empty if the task has none
	fence          int64
}

// termState is the session that holds a task, under a fencing token. The token is 0 if it is not known
// yet; it is then higher than fenceAbove.
type termState struct {
	session           string
	fence, fenceAbove int64
}

// matches reports whether the session holds the task under the fencing token, as far as it is known.
func (s termState) matches(session string, fence int64) bool {
	return s.session == session && (s.fence == fence || s.fence == 0 && fence > s.fenceAbove)
}

// claimModel specifies a table of the holders of tasks. It doesn't model the end of sessions: they are renewed
// and must not end.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(input any) string { return input.(claimInput).task })
	},
	Init: func() []any { return []any{termState{}} },
	Step: func(state, input, output any) []any {
		return stepTermState(state.(termState), input.(claimInput), output.(claimOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// partition splits a history into one history per key.
func partition(history []porcupine.Operation, key func(input any) string) (parts [][]porcupine.Operation) {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range history {
		k := key(operation.Input)
		byKey[k] = append(byKey[k], operation)
	}
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// stepTermState returns the states that may follow an operation, or none if the operation can't have its output
// in the state before.
func stepTermState(s termState, in claimInput, out claimOutput) []any {
	switch in.kind {
	case readOperation:
		if out.session == "" && s.session == "" {
			return []any{s}
		}
		if out.session != "" && s.matches(out.session, out.fence) {
			return []any{termState{out.session, out.fence, out.fence}}
		}
		return nil
	case claimOperation:
		return stepClaimOperation(s, in, out)
	}
	holds := s.matches(in.session, in.fence)
	released := termState{"", 0, in.fence}
	switch {
	case out.unknownOutcome && holds:
		return []any{s, released}
	case out.unknownOutcome:
		return []any{s}
	case out.ok && holds:
		return []any{released}
	case !out.ok && (s.fence == 0 || !holds):
		return []any{s}
	}
	return nil
}

// stepClaimOperation returns the states that may follow a claim, as stepTermState does.
func stepClaimOperation(s termState, in claimInput, out claimOutput) []any {
	isFree := s.session == ""
	switch {
	case out.unknownOutcome && isFree:
		return []any{s, termState{in.session, 0, s.fenceAbove}}
	case out.unknownOutcome:
		return []any{s}
	case out.ok && (isFree && out.fence > s.fenceAbove || s.matches(in.session, out.fence)):
		return []any{termState{in.session, out.fence, out.fence}}
	case !out.ok && !isFree && s.session != in.session:
		return []any{s}
	}
	return nil
}

// renewSession renews a session at each server until the context ends. A server that doesn't answer
// delays only its own renewals. The returned function waits until all renewals have stopped.
func (cluster *testCluster) renewSession(ctx context.Context, process, id string) (wait func()) {
	var renewals sync.WaitGroup
	for _, name := range cluster.names {
		client := control.NewClient([]string{cluster.servers[name].http}, sessionRenewTimeout)
		renewals.Go(func() {
			ticker := time.NewTicker(sessionRenewInterval)
			defer ticker.Stop()
			for {
				_, _ = client.RenewSession(ctx, process, id, 0)
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return renewals.Wait
}

// claimHistory records the operations of several sessions.
type claimHistory struct {
	cluster *testCluster
	tasks   []string
	began   time.Time
	clients sync.WaitGroup

	mu            sync.Mutex
	operations    []porcupine.Operation
	counts        map[string]int // by kind and success
	repeatedCalls int            // calls that were sent twice
	endedSessions int            // calls that were rejected as their session had ended
}

// claimSession is a session under which a client operates on tasks.
type claimSession struct {
	history     *claimHistory
	number      int
	process, id string
	rng         *rand.Rand
	fences      map[string]int64 // by task, of the last term that was granted
}

// Claims, releases and reads of tasks by several sessions are linearizable under random faults of the servers.
// The sessions are renewed and none may end: the claim of an ended session would be rejected even if the task is
// free, which the model doesn't allow.
func TestClaimsLinearizable(t *testing.T) {
	for seed := range 5 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkClaimHistory(t, uint64(seed))
		})
	}
}

// checkClaimHistory records a history under random faults that the seed determines, and requires that it is
// linearizable.
func checkClaimHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := newSeededRand(t, seed+2000)
	cluster := newCluster(t, 3)
	history := &claimHistory{
		cluster: cluster,
		tasks:   []string{"claim.a", "claim.b", "claim.c", "claim.d", "claim.e", "claim.f"},
		counts:  map[string]int{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sessions := history.openSessions(t, seed)
	history.began = time.Now()
	for _, session := range sessions {
		history.clients.Go(func() { session.run(ctx) })
	}
	cluster.injectFaults(rng, claimHistoryFaults, claimHistoryMaxPause, history.isLongEnough)
	cancel()
	history.clients.Wait()
	history.check(t)
}

// openSessions defines the tasks and opens three sessions that are renewed until the test ends.
func (h *claimHistory) openSessions(t *testing.T, seed uint64) (sessions []*claimSession) {
	t.Helper()
	client := h.cluster.client(h.cluster.names...)
	for _, name := range h.tasks {
		h.cluster.waitUntil(name+" is defined", func() bool {
			return client.DefineTask(t.Context(), name, control.TaskDefinition{TTLMs: 600_000}) == nil
		})
	}
	for number := range 3 {
		session := &claimSession{
			history: h,
			number:  number,
			process: fmt.Sprint("p-", number),
			id:      fmt.Sprint("id-", number),
			rng:     rand.New(rand.NewPCG(seed, uint64(number))),
			fences:  map[string]int64{},
		}
		// A session without capacity is granted only the tasks that it claims.
		h.cluster.waitUntil(session.process+" has a session", func() bool {
			return client.OpenSession(t.Context(), catalog.Session{Process: session.process, ID: session.id}) == nil
		})
		waitForRenewers := h.cluster.renewSession(t.Context(), session.process, session.id)
		t.Cleanup(waitForRenewers)
		sessions = append(sessions, session)
	}
	time.Sleep(sessionExpiryWait) // afterwards each session that is still open is being renewed
	h.cluster.waitUntil("a leader answers", func() bool {
		_, err := client.Task(t.Context(), h.tasks[0])
		return err == nil
	})
	return sessions
}

// isLongEnough reports whether the history has enough operations of each kind for a verdict.
func (h *claimHistory) isLongEnough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.counts
	return counts["claimtrue"] >= 10 && counts["claimfalse"] >= 10 && counts["give uptrue"] >= 5 && counts["readtrue"] >= 10 && h.repeatedCalls >= 5
}

// check requires that the history is long enough and linearizable, and that no session ended.
func (h *claimHistory) check(t *testing.T) {
	t.Helper()
	if !h.isLongEnough() {
		t.Errorf("too few operations for a verdict: %v, %d calls sent twice", h.counts, h.repeatedCalls)
	}
	if h.endedSessions > 0 {
		t.Errorf("%d calls were rejected as their session had ended, though it was renewed", h.endedSessions)
	}
	sort.SliceStable(h.operations, func(i, j int) bool { return h.operations[i].Call < h.operations[j].Call })
	switch result, _ := porcupine.CheckOperationsVerbose(claimModel.ToModel(), h.operations, waitTimeout); result {
	case porcupine.Illegal:
		t.Errorf("%d operations are not linearizable: no sequential use of a table of holders has these results", len(h.operations))
	case porcupine.Unknown:
		t.Errorf("the check of %d operations did not end within %v", len(h.operations), waitTimeout)
	}
}

// run makes random operations, each at a random server, until the context ends. A started
// call is completed, so that its outcome is known.
func (s *claimSession) run(ctx context.Context) {
	for ctx.Err() == nil {
		client := s.randomClient()
		input := claimInput{
			task:    s.history.tasks[s.rng.IntN(len(s.history.tasks))],
			kind:    []string{claimOperation, releaseOperation, readOperation}[s.rng.IntN(3)],
			session: s.id,
		}
		input.fence = s.fences[input.task]
		if input.kind == releaseOperation && input.fence == 0 {
			continue
		}
		call, cancel := context.WithTimeout(context.Background(), historyCallTimeout)
		called := time.Since(s.history.began)
		output, err := s.operate(call, client, input, called)
		cancel()
		if s.record(input, output, err, called) {
			time.Sleep(minClaimPause + time.Duration(s.rng.IntN(claimPauseSpreadMs))*time.Millisecond)
		} else {
			time.Sleep(failedClaimPause)
		}
	}
}

// randomClient returns a client of one random server.
func (s *claimSession) randomClient() *control.Client {
	cluster := s.history.cluster
	return control.NewClient([]string{cluster.servers[cluster.names[s.rng.IntN(3)]].http}, historyCallTimeout)
}

// operate performs one operation. It may send a claim or a release a second time.
func (s *claimSession) operate(ctx context.Context, client *control.Client, input claimInput, called time.Duration) (claimOutput, error) {
	switch input.kind {
	case claimOperation:
		s.maybeRepeat(input, called, func(client *control.Client) {
			_, _ = client.ClaimTask(context.Background(), input.task, s.process, s.id)
		})
		result, err := client.ClaimTask(ctx, input.task, s.process, s.id)
		if err != nil {
			return claimOutput{}, err
		}
		s.fences[input.task] = result.Fence
		return claimOutput{ok: true, fence: result.Fence}, nil
	case releaseOperation:
		term := catalog.TermRef{Name: input.task, Process: s.process, Session: s.id, Fence: input.fence}
		s.maybeRepeat(input, called, func(client *control.Client) { _ = client.ReleaseTerm(context.Background(), term) })
		err := client.ReleaseTerm(ctx, term)
		return claimOutput{ok: err == nil}, err
	}
	task, err := client.Task(ctx, input.task)
	if err != nil {
		return claimOutput{}, err
	}
	return claimOutput{ok: true, session: task.Session, fence: task.Fence}, nil
}

// maybeRepeat sends one call in four a second time, through a random server and after a random delay, so that it
// may arrive before or after later calls. The history records the second call as one whose answer was lost: it
// may take effect or not.
func (s *claimSession) maybeRepeat(input claimInput, called time.Duration, call func(*control.Client)) {
	h := s.history
	h.mu.Lock()
	enough := h.repeatedCalls >= maxRepeatedCalls
	h.mu.Unlock()
	if enough || s.rng.IntN(4) > 0 {
		return
	}
	client, delay := s.randomClient(), time.Duration(s.rng.IntN(150))*time.Millisecond
	h.mu.Lock()
	h.add(s.number, input, claimOutput{unknownOutcome: true}, called, math.MaxInt64)
	h.repeatedCalls++
	h.mu.Unlock()
	h.clients.Go(func() {
		time.Sleep(delay)
		call(client)
	})
}

// add appends an operation. The caller holds mu.
func (h *claimHistory) add(client int, input claimInput, output claimOutput, called, returned time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: int64(called), Return: int64(returned)})
}

// record adds an operation that has returned, unless it has no result and certainly had no effect. It reports
// whether the operation was added.
func (s *claimSession) record(input claimInput, output claimOutput, err error, called time.Duration) bool {
	returned := time.Since(s.history.began)
	var rejected *control.HTTPError
	switch {
	case err == nil:
	case errors.As(err, &rejected) && rejected.Status/100 == 4:
	case input.kind == readOperation || errors.As(err, &rejected) && rejected.NotApplied:
		return false
	default:
		output.unknownOutcome, returned = true, math.MaxInt64
	}
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(s.number, input, output, called, returned)
	h.counts[fmt.Sprint(input.kind, output.ok)]++
	if rejected != nil && rejected.Status == http.StatusNotFound {
		h.endedSessions++
	}
	return true
}
