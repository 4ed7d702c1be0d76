package hollow

import (
	"math"
	"time"

	"knotrouter/internal/endpoints"
)

// A change carries the time at which it was sent, so that each reader can compute its age on
// receipt. A restart carries it in the start of the new process (born_ms of the list). A
// configuration change carries it in the server's weight (share of the list), which is baseWeight
// plus the time in milliseconds modulo weightWindow, in units of weightUnit. Both have a
// resolution of 1 ms and use the machine's wall clock, which all processes of a run share.
const (
	baseWeight   = 1.0
	weightUnit   = 1e-9
	weightWindow = 1_000_000 // ms; an older change is dated wrongly
)

// weightForTime returns the weight of a configuration change that is sent at a time.
func weightForTime(at time.Time) float64 {
	return baseWeight + float64(max(at.UnixMilli()%weightWindow, 1))*weightUnit
}

// ageFromWeight returns how long ago a weight was sent; ok is false if it carries no time.
func ageFromWeight(weight float64, now time.Time) (age time.Duration, ok bool) {
	sent := int64(math.Round((weight - baseWeight) / weightUnit))
	if sent <= 0 || sent >= weightWindow {
		return 0, false
	}
	elapsed := (now.UnixMilli()%weightWindow - sent + weightWindow) % weightWindow
	return time.Duration(elapsed) * time.Millisecond, true
}

// changeAges returns the ages of the changes from the entry known before to the one after. A server
// that was not known has no entry before; its start is a change too, unless it was longer ago than
// any change of a run. Only an entry that is ready after the change has ages.
func changeAges(before, after *endpoints.Endpoint, now time.Time) []time.Duration {
	if after.Health != endpoints.Ready {
		return nil
	}
	var ages []time.Duration
	if before.StartedMs != after.StartedMs && after.StartedMs > 0 {
		age := max(time.Duration(now.UnixMilli()-int64(after.StartedMs))*time.Millisecond, 0)
		if age < maxAge {
			ages = append(ages, age)
		}
	}
	if before.Name != "" && before.Weight != after.Weight {
		if age, ok := ageFromWeight(after.Weight, now); ok {
			ages = append(ages, age)
		}
	}
	return ages
}
