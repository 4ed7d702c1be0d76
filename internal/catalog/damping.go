package catalog

import "time"

// Damping limits list changes by servers that restart in a loop. A server that was removed more
// than maxUndampedRemovals times within dampingWindow stays unlisted for minDampingDuration when it
// registers again. The duration doubles with each further removal, up to maxDampingDuration.
const (
	maxUndampedRemovals = 3
	dampingWindow       = time.Minute
	minDampingDuration  = 5 * time.Second
	maxDampingDuration  = time.Minute

	// maxRemovals is the number of removals that an entry remembers, enough to reach
	// maxDampingDuration.
	maxRemovals = maxUndampedRemovals + 5
)

// dampingEnd returns the time until which a server that registers again stays unlisted, or 0 if it
// is listed at once.
func (s *State) dampingEnd(entry *Entry) time.Duration {
	recent := 0
	for _, removedAt := range entry.Removals {
		if s.Clock-removedAt <= dampingWindow {
			recent++
		}
	}
	if recent <= maxUndampedRemovals {
		return 0
	}
	doublings := recent - maxUndampedRemovals - 1
	return s.Clock + min(minDampingDuration<<doublings, maxDampingDuration)
}
