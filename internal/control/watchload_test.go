package control

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxRebalanceSteps bounds the steps of a rebalancing. Every generated distribution takes far fewer.
const maxRebalanceSteps = 3000

// drawLoads generates the loads of up to five servers. On about half of the servers, all watches can
// migrate.
func drawLoads(rt *rapid.T) []watchLoad {
	loads := make([]watchLoad, rapid.IntRange(1, 5).Draw(rt, "servers"))
	for i := range loads {
		loads[i].watches = rapid.IntRange(0, 2000).Draw(rt, "watches")
		loads[i].movable = rapid.IntRange(0, loads[i].watches).Draw(rt, "movable")
		if rapid.Bool().Draw(rt, "all are movable") {
			loads[i].movable = loads[i].watches
		}
	}
	return loads
}

// fairShare returns the number of watches per server in an even distribution, rounded up, and the number
// of watches beyond this share on their servers, which have to migrate.
func fairShare(loads []watchLoad) (share, excess int) {
	sum := 0
	for _, load := range loads {
		sum += load.watches
	}
	share = (sum + len(loads) - 1) / len(loads)
	for _, load := range loads {
		excess += max(load.watches-share, 0)
	}
	return share, excess
}

// endingWatches returns how many watches each server ends in one step, and the total. It fails the test if
// a server ends more than it is allowed to.
func endingWatches(rt *rapid.T, loads []watchLoad) (ending []int, total int) {
	for i, load := range loads {
		others := slices.Delete(slices.Clone(loads), i, i+1)
		count := excessWatches(load, others)
		if count < 0 || count > load.movable || count > max(load.watches/20, 1) {
			rt.Fatalf("ends %d watches of a server with %+v", count, load)
		}
		ending = append(ending, count)
		total += count
	}
	return ending, total
}

// migrateWatches moves the reader of each ended watch to a random other server.
func migrateWatches(rt *rapid.T, loads []watchLoad, ending []int) {
	for i := range loads {
		loads[i].watches, loads[i].movable = loads[i].watches-ending[i], loads[i].movable-ending[i]
		for range ending[i] {
			to := rapid.IntRange(0, max(len(loads)-2, 0)).Draw(rt, "to")
			if to >= i {
				to++
			}
			loads[to].watches, loads[to].movable = loads[to].watches+1, loads[to].movable+1
		}
	}
}

// From any distribution, repeated rebalancing in small steps evens out the watches among the servers and
// then stops. Few watches migrate more often than necessary.
func TestRebalancingConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loads := drawLoads(rt)
		share, excess := fairShare(loads)
		ended, steps := 0, 0
		for ending, total := endingWatches(rt, loads); total > 0; ending, total = endingWatches(rt, loads) {
			ended += total
			if steps++; steps > maxRebalanceSteps {
				rt.Fatalf("rebalancing doesn't stop: %+v", loads)
			}
			migrateWatches(rt, loads, ending)
		}
		for i := range loads {
			if over := loads[i].watches - share - loadTolerance(share); over > 0 && loads[i].movable > 0 && len(loads) > 1 {
				rt.Fatalf("rebalancing stopped with %+v, the fair share is %d", loads, share)
			}
		}
		// With two other servers to choose from, about half of the readers reconnect to a server on which they stay.
		if ended > 8*excess+8*len(loads) {
			rt.Fatalf("%d watches were ended, with an excess of %d", ended, excess)
		}
	})
}

// The lag is the age of the oldest entry that the leader has committed and this server has not applied.
func TestLagIsAgeOfOldestUnappliedEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p commitHistory
		type sample struct {
			at        time.Duration
			committed uint64
		}
		var samples []sample
		var now time.Duration
		var committed, applied uint64
		for range rapid.IntRange(1, maxCommitSamples-1).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
			committed += uint64(rapid.IntRange(0, 3).Draw(rt, "committed"))
			applied = min(committed, applied+uint64(rapid.IntRange(0, 4).Draw(rt, "applied")))
			p.record(now, committed)
			samples = append(samples, sample{now, committed})
			want := time.Duration(0)
			for _, s := range samples {
				if s.committed > applied {
					want = now - s.at
					break
				}
			}
			if got := p.lag(now, applied); got != want {
				rt.Fatalf("lag is %v, reported as %v", want, got)
			}
		}
	})
}
