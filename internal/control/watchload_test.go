package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// From any distribution, repeated rebalancing in small steps evens out the watches among the servers
// and then stops; few watches migrate more often than needed.
func TestRebalancingConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 5).Draw(rt, "stewards")
		loads := make([]watchLoad, servers)
		sum, steps := 0, 0
		for i := range loads {
			loads[i].watches = rapid.IntRange(0, 2000).Draw(rt, "watches")
			loads[i].movable = rapid.IntRange(0, loads[i].watches).Draw(rt, "movable")
			if rapid.Bool().Draw(rt, "all can move") {
				loads[i].movable = loads[i].watches
			}
			sum += loads[i].watches
		}
		share := (sum + servers - 1) / servers
		excess := 0 // what must migrate at least
		for i := range loads {
			excess += max(loads[i].watches-share, 0)
		}
		ended := 0
		for {
			ending := make([]int, servers)
			total := 0
			for i := range loads {
				var others []watchLoad
				for j := range loads {
					if j != i {
						others = append(others, loads[j])
					}
				}
				ending[i] = excessWatches(loads[i], others)
				if ending[i] < 0 || ending[i] > loads[i].movable || ending[i] > max(loads[i].watches/20, 1) {
					rt.Fatalf("ends %d of %+v", ending[i], loads[i])
				}
				total += ending[i]
			}
			if total == 0 {
				break
			}
			ended += total
			if steps++; steps > 3000 {
				rt.Fatalf("never stops: %+v", loads)
			}
			// Each reader goes to any other server.
			for i := range loads {
				loads[i].watches, loads[i].movable = loads[i].watches-ending[i], loads[i].movable-ending[i]
				for range ending[i] {
					j := rapid.IntRange(0, max(servers-2, 0)).Draw(rt, "to")
					if j >= i {
						j++
					}
					loads[j].watches, loads[j].movable = loads[j].watches+1, loads[j].movable+1
				}
			}
		}
		for i := range loads {
			if over := loads[i].watches - share - loadTolerance(share); over > 0 && loads[i].movable > 0 && servers > 1 {
				rt.Fatalf("stopped with %+v, the share is %d", loads, share)
			}
		}
		// With two other servers to choose from, every other reader goes where it can stay.
		if ended > 8*excess+8*servers {
			rt.Fatalf("%d watches ended where %d had to be", ended, excess)
		}
	})
}

// The lag is the age of the oldest entry that the leader had committed and is not applied.
func TestLagIsAgeOfOldestUnappliedEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p commitProgress
		type seen struct {
			at        time.Duration
			committed uint64
		}
		var all []seen
		var now time.Duration
		var committed, applied uint64
		for range rapid.IntRange(1, maxCommitSamples-1).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
			committed += uint64(rapid.IntRange(0, 3).Draw(rt, "committed"))
			applied = min(committed, applied+uint64(rapid.IntRange(0, 4).Draw(rt, "applied")))
			p.record(now, committed)
			all = append(all, seen{now, committed})
			want := time.Duration(0)
			for _, s := range all {
				if s.committed > applied {
					want = now - s.at
					break
				}
			}
			if got := p.lag(now, applied); got != want {
				rt.Fatalf("lags by %v, reported as %v", want, got)
			}
		}
	})
}
