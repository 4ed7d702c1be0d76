package hollow

import (
	"math"
	"time"

	"knotrouter/internal/endpoints"
)

// A change carries the time at which it was sent, so that each reader can tell its age on
// receipt: a restart in born_ms, the start of the new process, and a configuration change
// in the share, which is baseShare plus the time in milliseconds modulo shareWindow, in
// units of shareUnit. Both have a resolution of 1 ms and use the machine's wall clock,
// which all processes of a run share.
const (
	baseShare   = 1.0
	shareUnit   = 1e-9
	shareWindow = 1_000_000 // ms; a change older than that is dated wrongly
)

// shareAt is the share that tells of a configuration change sent at a time.
func shareAt(at time.Time) float64 {
	return baseShare + float64(max(at.UnixMilli()%shareWindow, 1))*shareUnit
}

// ageOfShare tells how long ago a share was sent, if it carries a time.
func ageOfShare(share float64, now time.Time) (age time.Duration, ok bool) {
	sent := int64(math.Round((share - baseShare) / shareUnit))
	if sent <= 0 || sent >= shareWindow {
		return 0, false
	}
	elapsed := (now.UnixMilli()%shareWindow - sent + shareWindow) % shareWindow
	return time.Duration(elapsed) * time.Millisecond, true
}

// agesOf tells the age of what an entry changed against the one known before. A server
// that was not known has no earlier entry; its start is a change too, unless it was longer
// ago than any change of a run.
func agesOf(before, after *endpoints.Endpoint, now time.Time) []time.Duration {
	if after.Health != endpoints.Ready {
		return nil
	}
	var ages []time.Duration
	if before.StartedMs != after.StartedMs && after.StartedMs > 0 {
		age := max(time.Duration(now.UnixMilli()-int64(after.StartedMs))*time.Millisecond, 0)
		if age < longestAge {
			ages = append(ages, age)
		}
	}
	if before.Name != "" && before.Weight != after.Weight {
		if age, ok := ageOfShare(after.Weight, now); ok {
			ages = append(ages, age)
		}
	}
	return ages
}
