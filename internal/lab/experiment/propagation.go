package experiment

import (
	"bufio"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/control"
	"knotrouter/internal/member"
)

// maxVersionsPerEvent bounds the number of list versions for which one watch event is recorded.
const maxVersionsPerEvent = 1000

// recordPropagation records the propagation delays of the changes from version from (exclusive) to version
// to (inclusive), which a watch has just received. It does nothing for a watch's first list.
func (cp *controlPlane) recordPropagation(from, to int64) {
	if from == 0 {
		return
	}
	now := cp.fleet.clock()
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for version := from + 1; version <= to && version <= from+maxVersionsPerEvent; version++ {
		if sentAt, ok := cp.sentAt[version]; ok {
			recordLatency(cp.propagation, now-sentAt)
			cp.lastWatchDelay[version] = max(cp.lastWatchDelay[version], now-sentAt)
		}
	}
}

// listAppliedLine matches the line that an agent logs when it applies a list.
var listAppliedLine = regexp.MustCompile(`^time=(\S+) level=DEBUG msg="list taken" .*version=(\d+)`)

// listApplied is the event of an agent applying a list version.
type listApplied struct {
	at      time.Time
	version int64
}

// parseListApplied parses a line of an agent's log. It returns false for a line about another event.
func parseListApplied(line []byte) (listApplied, bool) {
	match := listAppliedLine.FindSubmatch(line)
	if match == nil {
		return listApplied{}, false
	}
	at, timeErr := time.Parse(time.RFC3339Nano, string(match[1]))
	version, versionErr := strconv.ParseInt(string(match[2]), 10, 64)
	return listApplied{at, version}, timeErr == nil && versionErr == nil
}

// agentPropagation reads from the agents' logs when each agent applied each change after the warm-up. It
// returns the delays of every agent for every change, and for each change the delay of the last agent.
func (cp *controlPlane) agentPropagation() (each, last *hdrhistogram.Histogram) {
	each, last = newLatencyHistogram(), newLatencyHistogram()
	cp.mu.Lock()
	defer cp.mu.Unlock()
	versions := slices.Sorted(maps.Keys(cp.sentAt))
	slowest := make([]time.Duration, len(versions))
	for _, agent := range cp.fleet.agents {
		cp.readAgentLog(agent.process.Log, versions, func(i int, delay time.Duration) {
			recordLatency(each, delay)
			slowest[i] = max(slowest[i], delay)
		})
	}
	for _, delay := range slowest {
		if delay > 0 {
			recordLatency(last, delay)
		}
	}
	return each, last
}

// readAgentLog calls record with the index and the delay of each version that the agent applied according
// to its log. A log that can't be read counts as empty. The caller holds cp.mu.
func (cp *controlPlane) readAgentLog(path string, versions []int64, record func(i int, delay time.Duration)) {
	f, err := os.Open(path)
	if err != nil {
		return
	}
	defer f.Close()
	next := 0
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		applied, ok := parseListApplied(lines.Bytes())
		if !ok {
			continue
		}
		appliedAt := applied.at.Sub(cp.fleet.epoch)
		for ; next < len(versions) && versions[next] <= applied.version; next++ {
			if sentAt := cp.sentAt[versions[next]]; sentAt > cp.fleet.config.Warmup {
				record(next, appliedAt-sentAt)
			}
		}
	}
}

// addTotals fills in the propagation delays of changes to watches and agents.
func (cp *controlPlane) addTotals(t *Total) {
	eachAgent, lastAgent := cp.agentPropagation()
	cp.mu.Lock()
	defer cp.mu.Unlock()
	lastWatch := newLatencyHistogram()
	for _, delay := range cp.lastWatchDelay {
		recordLatency(lastWatch, delay)
	}
	t.PropagationSamples = cp.propagation.TotalCount()
	t.PropagationP50Ms, t.PropagationP99Ms = millisAt(cp.propagation, 50), millisAt(cp.propagation, 99)
	t.LastWatchP99Ms = millisAt(lastWatch, 99)
	t.AgentPropagationP50Ms, t.AgentPropagationP99Ms = millisAt(eachAgent, 50), millisAt(eachAgent, 99)
	t.LastAgentP50Ms, t.LastAgentP99Ms = millisAt(lastAgent, 50), millisAt(lastAgent, 99)
	t.Changes = lastAgent.TotalCount()
	if !cp.fleet.config.ControlPlane.Gossip {
		return
	}
	views, _ := control.ReadMemberViews(cp.ctx, cp.addresses, controlPlaneRequestTimeout)
	for i := range views { // report the count of the view with the fewest agents
		if n := views[i].Count(member.RoleAgent, member.Present); i == 0 || n < t.AgentsPresent {
			t.AgentsPresent = n
		}
	}
}

// maxLatency is the largest latency that a histogram holds.
const maxLatency = 2 * time.Minute

// newLatencyHistogram returns a histogram of latencies in µs.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// recordLatency adds a latency. Latencies above maxLatency are dropped.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(max(latency.Microseconds(), 1))
}

// millisAt returns a quantile, from 0 to 100, of a histogram of latencies, in milliseconds.
func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
