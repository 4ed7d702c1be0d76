package endpoints

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testAddresses(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return out
}

// Whatever happens, a chooser asks only addresses of its set, at most once each in a round
// after one served, pays for all but the first call of a round from its budget, never waits
// longer than its bounds, and prefers the first in its order that gave no cause to avoid it.
func TestAddressSelectorKeepsBudgetAndOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := testAddresses(8)
		set := all[:rapid.IntRange(1, 5).Draw(rt, "addresses")]
		fleet := rapid.IntRange(1, 2000).Draw(rt, "fleet")
		c := NewAddressSelector(set, rapid.Uint64().Draw(rt, "order"), fleet)
		bucket := &c.budget
		var now time.Duration
		paid, sinceServed := 0, 0
		fresh, began := false, false
		avoid := map[string]time.Duration{}
		last := ""
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"begin", "next", "next", "served", "end", "wait", "set"}).Draw(rt, "step") {
			case "begin":
				c.BeginRound()
				fresh, began, sinceServed = true, true, 0
			case "next":
				if !began {
					continue
				}
				addr, wait, ok := c.Next(now, rapid.Float64Range(0, 0.999).Draw(rt, "random"))
				if !ok {
					if fresh {
						rt.Fatal("the first call of a round was held back")
					}
					continue
				}
				if !c.Has(addr) {
					rt.Fatalf("asks %s, which is not of the set", addr)
				}
				if wait < 0 || wait > max(maxBackoff, maxRetryAfter) {
					rt.Fatalf("waits %v", wait)
				}
				if !fresh {
					if paid++; len(c.candidates) == 1 {
						rt.Fatal("a second call in a round to the only address")
					}
				}
				if sinceServed++; sinceServed > max(len(c.candidates), 1) {
					rt.Fatalf("%d calls to %d addresses in one round with none served", sinceServed, len(c.candidates))
				}
				for i := range c.candidates {
					p := c.candidates[i].addr
					if p == addr {
						break
					}
					if avoid[p] <= now && c.candidates[i].busyUntil <= now {
						rt.Fatalf("asks %s though %s stands before it and gave no cause", addr, p)
					}
				}
				fresh, last = false, addr
			case "served":
				if last != "" {
					c.ListReceived(last)
					sinceServed = 0
					delete(avoid, last)
				}
			case "end":
				if last != "" && c.Has(last) {
					how := rapid.SampledFrom([]CallOutcome{OutcomeFailed, OutcomeStale, OutcomeRedirected, OutcomeBusy}).Draw(rt, "how")
					c.CallEnded(now, last, how, time.Duration(rapid.IntRange(-1000, 100_000).Draw(rt, "retry"))*time.Millisecond)
					avoid[last] = c.candidates[c.index(last)].avoidUntil
					if how != OutcomeBusy && avoid[last] <= now || avoid[last] > now+redirectAvoidance {
						rt.Fatalf("%d is avoided for %v", how, avoid[last]-now)
					}
				}
			case "wait":
				now += time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond
			case "set":
				c.SetAddresses(all[:rapid.IntRange(1, 8).Draw(rt, "addresses")])
			}
			if most := 9 + bucket.Rate*now.Seconds(); float64(paid) > most {
				rt.Fatalf("%d calls beyond the rounds' first within %v, at most %.1f", paid, now, most)
			}
		}
		if float64(fleet)*bucket.Rate > 100+0.01 && bucket.Rate > 0.5 {
			rt.Fatalf("a fleet of %d may make %v calls a second each", fleet, bucket.Rate)
		}
	})
}

// Readers spread over the addresses, and when one is lost its readers spread over the rest
// while all others stay.
func TestReadersSpreadOverAddresses(t *testing.T) {
	const readers = 3000
	set := testAddresses(3)
	first, second := map[string]int{}, map[string]int{}
	for i := range readers {
		c := NewAddressSelector(set, uint64(i), readers)
		c.BeginRound()
		at, _, _ := c.Next(0, 0)
		first[at]++
		if at == set[0] {
			c.CallEnded(0, at, OutcomeFailed, 0)
			c.BeginRound()
			next, _, _ := c.Next(0, 0)
			second[next]++
		}
		without := NewAddressSelector(set[1:], uint64(i), readers)
		without.BeginRound()
		if stays, _, _ := without.Next(0, 0); at != set[0] && stays != at {
			t.Fatalf("reader %d leaves %s for %s because a third is lost", i, at, stays)
		}
	}
	// Four standard deviations of a fair draw.
	for at, n := range first {
		if n < readers/3-104 || n > readers/3+104 {
			t.Errorf("%d of %d readers begin at %s", n, readers, at)
		}
	}
	if n := second[set[1]]; n < first[set[0]]/2-66 || n > first[set[0]]/2+66 || second[set[0]] > 0 {
		t.Errorf("of %d readers of a lost address: %v", first[set[0]], second)
	}
}
