package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Wherever watches begin, and whichever stewards join, they end up spread, in steps that are
// small, and then stay; a watch that was sent away is not sent to and fro.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "stewards")
		at := make([]watchLoad, n)
		sum, steps := 0, 0
		for i := range at {
			at[i].watches = rapid.IntRange(0, 2000).Draw(rt, "watches")
			at[i].movable = rapid.IntRange(0, at[i].watches).Draw(rt, "movable")
			if rapid.Bool().Draw(rt, "all can move") {
				at[i].movable = at[i].watches
			}
			sum += at[i].watches
		}
		part := (sum + n - 1) / n
		above := 0 // what has to move at least
		for i := range at {
			above += max(at[i].watches-part, 0)
		}
		moves := 0
		for {
			out := make([]int, n)
			total := 0
			for i := range at {
				var others []watchLoad
				for j := range at {
					if j != i {
						others = append(others, at[j])
					}
				}
				out[i] = excessWatches(at[i], others)
				if out[i] < 0 || out[i] > at[i].movable || out[i] > max(at[i].watches/20, 1) {
					rt.Fatalf("ends %d of %+v", out[i], at[i])
				}
				total += out[i]
			}
			if total == 0 {
				break
			}
			moves += total
			if steps++; steps > 3000 {
				rt.Fatalf("never at rest: %+v", at)
			}
			// Each that was sent away goes to any other, as its order has it.
			for i := range at {
				at[i].watches, at[i].movable = at[i].watches-out[i], at[i].movable-out[i]
				for range out[i] {
					j := rapid.IntRange(0, max(n-2, 0)).Draw(rt, "to")
					if j >= i {
						j++
					}
					at[j].watches, at[j].movable = at[j].watches+1, at[j].movable+1
				}
			}
		}
		for i := range at {
			if over := at[i].watches - part - loadTolerance(part); over > 0 && at[i].movable > 0 && n > 1 {
				rt.Fatalf("at rest with %+v, a part is %d", at, part)
			}
		}
		// With two others to choose from, one in two goes where it can stay.
		if moves > 8*above+8*n {
			rt.Fatalf("%d moves where %d had to be", moves, above)
		}
	})
}

// A lag is as old as the oldest thing that the leader had committed and is not applied.
func TestProgress(t *testing.T) {
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
				rt.Fatalf("lags by %v, told as %v", want, got)
			}
		}
	})
}
