package member

import (
	"fmt"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// serverCondition is the actual condition of a server, whether or not the observers detect it.
type serverCondition int

const (
	conditionAlive        serverCondition = iota
	conditionProcessEnded                 // the server's machine refuses connections
	conditionMachineDown                  // connections get no answer
	conditionStarting                     // the third voter gets an answer, the others are refused
)

// serverCase describes a server: its condition, which observers have a network path to it, and
// whether its lease has expired or its renewal is only late.
type serverCase struct {
	condition    serverCondition
	reachableBy  [3]bool
	leaseExpired bool
}

// observerCase describes the three voters, of which the first is the leader.
type observerCase struct {
	reachable      [3]bool // the leader can exchange messages with the voter; always true for the leader itself
	slow           [3]bool
	noHealthChecks [3]bool // the voter's version does not support health checks
	// quorum may be false although the other voters answer: the leader has lost the quorum in the
	// meantime.
	quorum bool
}

// answer returns a voter's answer about a server.
func (c *observerCase) answer(voter int, s *serverCase) Answer {
	switch {
	case !c.reachable[voter]:
		return AnswerNone
	case c.noHealthChecks[voter]:
		return AnswerDefersToLease
	case s.condition == conditionAlive && s.reachableBy[voter]:
		return AnswerAlive
	case s.condition == conditionStarting && s.reachableBy[voter] && voter == 2:
		return AnswerAlive
	case (s.condition == conditionProcessEnded || s.condition == conditionStarting) && s.reachableBy[voter]:
		return AnswerRefused
	case c.slow[voter]:
		return AnswerUnsure
	}
	return AnswerSilent
}

// restricted reports whether a voter is slow or does not support health checks.
func (c *observerCase) restricted() bool { return c.slow != [3]bool{} || c.noHealthChecks != [3]bool{} }

func bit(n, i int) bool { return n>>i&1 == 1 }

func threeBits(n, first int) [3]bool {
	return [3]bool{bit(n, first), bit(n, first+1), bit(n, first+2)}
}

// allObserverCases returns all cases of the voters, except those with both slow voters and voters
// without health checks.
func allObserverCases() (all []observerCase) {
	for n := range 512 {
		c := observerCase{reachable: [3]bool{true, bit(n, 0), bit(n, 1)}, slow: threeBits(n, 2), noHealthChecks: threeBits(n, 5), quorum: bit(n, 8)}
		if c.slow == [3]bool{} || c.noHealthChecks == [3]bool{} {
			all = append(all, c)
		}
	}
	return all
}

func allServerCases() (all []serverCase) {
	for n := range 16 {
		for condition := conditionAlive; condition <= conditionStarting; condition++ {
			all = append(all, serverCase{condition, threeBits(n, 0), bit(n, 3)})
		}
	}
	return all
}

const expiryTTL = 6 * time.Second

var threeVoters = []string{"a", "b", "c"}

// expiryCase is one decision about two servers, in a fleet with a number of others that are alive.
type expiryCase struct {
	observers  observerCase
	servers    [2]serverCase
	otherCount int
}

// serverName returns the name of the server with the index i, which must be below 10. serverIndex
// returns the index of the server with a name.
func serverName(i int) string          { return fmt.Sprint("s-", i) }
func serverIndex(name string) int      { return int(name[2] - '0') }
func (c *expiryCase) serverCount() int { return len(c.servers) + c.otherCount }

// answers returns the answers of all voters about each of the two servers.
func (c *expiryCase) answers() (answers [2]map[string]Answer) {
	for i := range c.servers {
		answers[i] = map[string]Answer{}
		for voter, name := range threeVoters {
			answers[i][name] = c.observers.answer(voter, &c.servers[i])
		}
	}
	return answers
}

// decide returns the servers that the leader removes at the time expiryTTL, when the leases that were
// never renewed expire.
func (c *expiryCase) decide(state *catalog.State, answers [2]map[string]Answer) []catalog.InstanceRef {
	config := catalog.LeaseConfig{TTL: expiryTTL, MassFailureShare: 0.5, MassFailureWindow: 10 * time.Second}
	leases := catalog.NewRegistrationLeases(config, state, 0)
	for i := range c.serverCount() {
		switch {
		case i >= len(c.servers):
			leases.Renew(state, catalog.InstanceRef{Name: serverName(i), StartedMs: 1}, expiryTTL)
		case !c.servers[i].leaseExpired: // renewed once, so that the renewal is late at expiryTTL
			leases.Renew(state, catalog.InstanceRef{Name: serverName(i), StartedMs: 1}, expiryTTL/4)
		}
	}
	decision := leases.Decide(state, expiryTTL, func(ref catalog.InstanceRef, leaseExpired bool) catalog.FailureEvidence {
		switch DecideExpiry(ExpiryEvidence{threeVoters, c.observers.quorum, leaseExpired, answers[serverIndex(ref.Name)]}) {
		case DecisionRetain:
			return catalog.Alive
		case DecisionRemove:
			return catalog.Failed
		}
		return catalog.Inconclusive
	})
	return decision.Expire
}

// violation returns the rule that the decision about one server violates, or "".
func (c *expiryCase) violation(i int, answers map[string]Answer, removed [2]bool) string {
	s := c.servers[i]
	alive, against, refused := 0, 0, 0
	for _, answer := range answers {
		switch answer {
		case AnswerAlive:
			alive++
		case AnswerSilent, AnswerDefersToLease:
			against++
		case AnswerRefused:
			against++
			refused++
		}
	}
	massFailure := c.otherCount == 0 // the two servers are the whole fleet
	mustRemove := c.observers.quorum && alive == 0 && (s.leaseExpired && against >= 2 || refused >= 2)
	switch {
	case !removed[i] && mustRemove && !massFailure:
		return "a failed server was not removed"
	case !removed[i]:
		return ""
	case !c.observers.quorum:
		return "removed without a quorum"
	case against < 2:
		return "removed by a single observer"
	case alive >= 2:
		return "removed although most voters see it alive"
	case !s.leaseExpired && (refused < 2 || alive > 0 || s.condition == conditionAlive):
		return "removed before its lease expired, without refused connections from most voters"
	case massFailure && removed[1-i]:
		return "all servers removed at once"
	}
	return ""
}

// newRegistrations returns a state with n registered servers.
func newRegistrations(n int) *catalog.State {
	state := catalog.New()
	for i := range n {
		e := endpoints.Endpoint{Name: serverName(i), Dial: "127.0.0.1:9", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
		state.Apply(&catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &e})
	}
	return state
}

// allExpiryCases calls yield for all cases of two servers in a fleet with the given number of others.
func allExpiryCases(otherCount int, yield func(c *expiryCase)) {
	servers := allServerCases()
	for _, observers := range allObserverCases() {
		for _, a := range servers {
			for _, b := range servers {
				if (otherCount == 0 || b.condition == conditionStarting) && observers.restricted() {
					continue // restricted voters are tested only with others, and not while server b is starting
				}
				yield(&expiryCase{observers, [2]serverCase{a, b}, otherCount})
			}
		}
	}
}

// TestExpiryNeedsAMajorityOfVoters checks the decisions for each state of three observers and two
// servers, with and without the guard against mass failures. A server that most voters see alive
// stays. A single observer can remove no server, and no server is removed without a quorum. A failed
// server is removed when the evidence suffices, whether its lease has expired or its renewal is late.
func TestExpiryNeedsAMajorityOfVoters(t *testing.T) {
	cases, removals, retained := 0, 0, 0
	for _, otherCount := range []int{0, 4} { // without others, removing both servers at once is a mass failure
		state := newRegistrations(2 + otherCount)
		allExpiryCases(otherCount, func(c *expiryCase) {
			cases++
			answers := c.answers()
			expired := c.decide(state, answers)
			var removed [2]bool
			for _, ref := range expired {
				removed[serverIndex(ref.Name)] = true
			}
			for i := range c.servers {
				if violation := c.violation(i, answers[i], removed); violation != "" {
					t.Fatalf("after %d cases: %s: %+v: removed %v", cases, violation, *c, expired)
				}
				if removed[i] {
					removals++
				} else {
					retained++
				}
			}
		})
	}
	if cases < 300_000 || removals < 10_000 || retained < 10_000 {
		t.Errorf("%d cases, %d removed, %d retained: too few for a meaningful test", cases, removals, retained)
	}
	t.Logf("%d cases, %d removed, %d retained", cases, removals, retained)
}
