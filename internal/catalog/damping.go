package catalog

import "time"

// A server that was removed more than maxUndampedRemovals times within dampingWindow and
// registers again stays unlisted for minDampingDuration, doubled with each removal beyond
// that, up to maxDampingDuration.
const (
	maxUndampedRemovals = 3
	dampingWindow       = time.Minute
	minDampingDuration  = 5 * time.Second
	maxDampingDuration  = time.Minute

	// maxRemovals is how many removals an entry remembers. With the last of them the damping has
	// its longest duration.
	maxRemovals = maxUndampedRemovals + 5
)

// dampingEnd returns until when a server that registers again stays unlisted, or 0 if it is
// listed at once.
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
