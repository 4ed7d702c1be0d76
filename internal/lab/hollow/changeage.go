package hollow

import (
	"math"
	"time"

	"knotrouter/internal/endpoints"
)

// Each change of a server encodes the time at which it was sent, so that a reader of the list can compute the
// age of the change on receipt. A restart encodes the time in the start time of the new process (born_ms in
// the list). A configuration change encodes the time in the server's weight (share in the list), which is
// baseWeight plus the time in milliseconds modulo weightWindow, in units of weightUnit. Both encodings have a
// resolution of 1 ms and use the machine's wall clock, which all processes of a run share.
const (
	baseWeight   = 1.0
	weightUnit   = 1e-9
	weightWindow = 1_000_000 // window in ms; the computed age of an older change is too low
)

// weightForTime returns the weight of a configuration change that is sent at the given time.
func weightForTime(at time.Time) float64 {
	return baseWeight + float64(max(at.UnixMilli()%weightWindow, 1))*weightUnit
}

// ageFromWeight returns how long ago a weight was sent. ok is false if the weight does not encode a time.
func ageFromWeight(weight float64, now time.Time) (age time.Duration, ok bool) {
	sentMs := int64(math.Round((weight - baseWeight) / weightUnit))
	if sentMs <= 0 || sentMs >= weightWindow {
		return 0, false
	}
	elapsedMs := (now.UnixMilli()%weightWindow - sentMs + weightWindow) % weightWindow
	return time.Duration(elapsedMs) * time.Millisecond, true
}

// changeAges returns the ages of the changes between a server's entry before and after an update. A server
// that was unknown has an empty entry before; its start also counts as a change, unless it is at least
// maxAge ago and thus older than any change of a run. Only a server that is ready after the update has ages.
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
