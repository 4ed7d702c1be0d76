package endpoints

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testAddresses returns n addresses.
func testAddresses(n int) []string {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return addresses
}

// selectorModel drives an AddressSelector with random steps and checks its invariants after each of them.
type selectorModel struct {
	rt           *rapid.T
	selector     *AddressSelector
	fleetSize    int
	allAddresses []string // the addresses that a step may set

	now               time.Duration
	roundStarted      bool
	firstCall         bool
	budgetedCalls     int                      // calls that were not the first of their round
	callsSinceList    int                      // of the current round
	avoidUntil        map[string]time.Duration // by address
	lastCalledAddress string
}

// In any sequence of steps, a selector returns only its own addresses, makes no more calls in a round
// than it has addresses unless a list is received, charges all but the first call of a round to its
// budget, never waits longer than its bounds, and prefers the first address in its order that need not
// be avoided.
func TestAddressSelectorKeepsBudgetAndOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		allAddresses := testAddresses(8)
		addresses := allAddresses[:rapid.IntRange(1, 5).Draw(rt, "addresses")]
		fleetSize := rapid.IntRange(1, 2000).Draw(rt, "fleet")
		m := &selectorModel{rt: rt, fleetSize: fleetSize, allAddresses: allAddresses, avoidUntil: map[string]time.Duration{}}
		m.selector = NewAddressSelector(addresses, rapid.Uint64().Draw(rt, "order"), fleetSize)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			m.step()
			m.checkBudget()
		}
	})
}

func (m *selectorModel) step() {
	switch rapid.SampledFrom([]string{"begin", "next", "next", "list", "end", "wait", "set"}).Draw(m.rt, "step") {
	case "begin":
		m.selector.BeginRound()
		m.firstCall, m.roundStarted, m.callsSinceList = true, true, 0
	case "next":
		m.next()
	case "list":
		if m.lastCalledAddress != "" {
			m.selector.ListReceived(m.lastCalledAddress)
			m.callsSinceList = 0
			delete(m.avoidUntil, m.lastCalledAddress)
		}
	case "end":
		m.endCall()
	case "wait":
		m.now += time.Duration(rapid.IntRange(0, 20_000).Draw(m.rt, "ms")) * time.Millisecond
	case "set":
		m.selector.SetAddresses(m.allAddresses[:rapid.IntRange(1, 8).Draw(m.rt, "addresses")])
	}
}

// next asks for the next address and checks it.
func (m *selectorModel) next() {
	if !m.roundStarted {
		return
	}
	addr, wait, ok := m.selector.Next(m.now, rapid.Float64Range(0, 0.999).Draw(m.rt, "random"))
	if !ok {
		if m.firstCall {
			m.rt.Fatal("Next denied the first call of a round")
		}
		return
	}
	if !m.selector.Has(addr) {
		m.rt.Fatalf("Next returned %s, which is not one of the addresses", addr)
	}
	if wait < 0 || wait > max(maxBackoff, maxRetryAfter) {
		m.rt.Fatalf("Next returned a wait of %v", wait)
	}
	candidates := m.selector.candidates
	if !m.firstCall {
		if m.budgetedCalls++; len(candidates) == 1 {
			m.rt.Fatal("Next returned the only address twice in a round")
		}
	}
	if m.callsSinceList++; m.callsSinceList > max(len(candidates), 1) {
		m.rt.Fatalf("%d calls in a round with %d addresses, without a list", m.callsSinceList, len(candidates))
	}
	for i := range candidates {
		preferred := candidates[i].addr
		if preferred == addr {
			break
		}
		if m.avoidUntil[preferred] <= m.now && candidates[i].busyUntil <= m.now {
			m.rt.Fatalf("Next returned %s although %s comes before it and need not be avoided", addr, preferred)
		}
	}
	m.firstCall, m.lastCalledAddress = false, addr
}

// endCall ends the last call with a random outcome and checks how long its address is avoided.
func (m *selectorModel) endCall() {
	addr := m.lastCalledAddress
	if addr == "" || !m.selector.Has(addr) {
		return
	}
	outcome := rapid.SampledFrom([]CallOutcome{OutcomeFailed, OutcomeStale, OutcomeRedirected, OutcomeBusy}).Draw(m.rt, "outcome")
	retryAfter := time.Duration(rapid.IntRange(-1000, 100_000).Draw(m.rt, "retry after")) * time.Millisecond
	m.selector.CallEnded(m.now, addr, outcome, retryAfter)
	until := m.selector.candidates[m.selector.index(addr)].avoidUntil
	m.avoidUntil[addr] = until
	if outcome != OutcomeBusy && until <= m.now || until > m.now+redirectAvoidance {
		m.rt.Fatalf("outcome %d: address avoided for %v", outcome, until-m.now)
	}
}

// Limits of the calls, in calls per second. rateRounding allows for the division by the number of readers.
const (
	readerRateLimit = 0.5
	fleetRateLimit  = 100
	rateRounding    = 0.01
)

// checkBudget checks the number of charged calls so far, and the rate of the whole fleet. The budget allows
// the burst, which is one more than the number of addresses, and the refill since the start.
func (m *selectorModel) checkBudget() {
	maxBurst := float64(len(m.allAddresses) + 1)
	rate := m.selector.budget.Rate
	if limit := maxBurst + rate*m.now.Seconds(); float64(m.budgetedCalls) > limit {
		m.rt.Fatalf("%d calls after the first ones of their rounds within %v, want at most %.1f", m.budgetedCalls, m.now, limit)
	}
	if rate > readerRateLimit {
		m.rt.Fatalf("a reader may make %v calls per second", rate)
	}
	if float64(m.fleetSize)*rate > fleetRateLimit+rateRounding {
		m.rt.Fatalf("%d readers may make %v calls per second each", m.fleetSize, rate)
	}
}

// Readers spread over the addresses. When one address is lost, its readers spread over the others, and
// all other readers keep their address.
func TestReadersSpreadOverAddresses(t *testing.T) {
	const readers = 3000
	addresses := testAddresses(3)
	firstChoices, secondChoices := map[string]int{}, map[string]int{}
	for i := range readers {
		selector := NewAddressSelector(addresses, uint64(i), readers)
		selector.BeginRound()
		first, _, _ := selector.Next(0, 0)
		firstChoices[first]++
		if first == addresses[0] {
			selector.CallEnded(0, first, OutcomeFailed, 0)
			selector.BeginRound()
			second, _, _ := selector.Next(0, 0)
			secondChoices[second]++
		}
		remaining := NewAddressSelector(addresses[1:], uint64(i), readers)
		remaining.BeginRound()
		if addr, _, _ := remaining.Next(0, 0); first != addresses[0] && addr != first {
			t.Fatalf("reader %d moves from %s to %s although only a third address is lost", i, first, addr)
		}
	}
	// Allows four standard deviations of a uniform distribution.
	for addr, n := range firstChoices {
		if n < readers/3-104 || n > readers/3+104 {
			t.Errorf("%d of %d readers prefer %s", n, readers, addr)
		}
	}
	lost := firstChoices[addresses[0]]
	if n := secondChoices[addresses[1]]; n < lost/2-66 || n > lost/2+66 || secondChoices[addresses[0]] > 0 {
		t.Errorf("%d readers of a lost address spread to %v", lost, secondChoices)
	}
}
