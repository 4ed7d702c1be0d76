package cost

import (
	"fmt"

	"knotrouter/internal/lab/capacity"
)

// Roles of capacity.Measurement.Role.
const (
	agentRole = "agent"
	labRole   = "lab"
)

// loadName returns the name of a rate of calls in the results.
func loadName(rate float64) string { return fmt.Sprintf("%g calls/s", rate) }

// addTo adds the cell's figures to the run with the cell's number of servers.
func (c *Cell) addTo(run *capacity.Run) {
	load := loadName(c.Rate)
	add := func(metric string, value float64) { run.Add(agentRole, load, metric, value) }
	add("calls", float64(c.load.pairs))
	add("served_share", c.servedShare())
	add("refused_share", c.load.share(throughAgent, refused))
	add("failed_share", c.load.share(throughAgent, failed))
	add("unanswered_share", c.load.share(throughAgent, unanswered))
	add("cpu_ms_per_call", c.perCall(milliseconds(c.cpu)))
	if servedCalls := c.load.outcomes[throughAgent][served]; servedCalls > 0 {
		add("cpu_ms_per_served_call", milliseconds(c.cpu)/float64(servedCalls))
	}
	add("cpu_cores", c.cores)
	add("idle_cpu_cores", c.idleCores)
	add("rss_mb", c.rssMB)
	add("peak_rss_mb", c.peakRSSMB)
	c.addLatencies(add)
	add("connections_per_call", c.perCall(float64(c.counts.connections)))
	add("probes_per_call", c.perCall(float64(c.counts.probes)))
	add("whole_lists", float64(c.counts.fullLists))
	add("watches_opened", float64(c.counts.watches))
	run.Add(labRole, load, "late_p99_ms", quantileMs(c.load.lateness, 99))
}

// addLatencies adds quantiles of the latencies of served calls. It adds none if there is no pair with
// both calls served, as 0 would be a wrong latency.
func (c *Cell) addLatencies(add func(metric string, value float64)) {
	if len(c.load.addedMs) == 0 {
		return
	}
	for _, quantile := range []struct {
		suffix  string
		percent float64
	}{{"p50_ms", 50}, {"p99_ms", 99}} {
		directMs := quantileMs(c.load.latency[direct], quantile.percent)
		agentMs := quantileMs(c.load.latency[throughAgent], quantile.percent)
		add("direct_"+quantile.suffix, directMs)
		add("agent_"+quantile.suffix, agentMs)
		add("added_"+quantile.suffix, agentMs-directMs)
		add("added_paired_"+quantile.suffix, sortedQuantile(c.load.addedMs, quantile.percent))
	}
}

// addedQuantileMs returns the difference between a latency quantile of the calls through the agent
// and the same quantile of the direct calls.
func (s *summary) addedQuantileMs(percent float64) float64 {
	return quantileMs(s.latency[throughAgent], percent) - quantileMs(s.latency[direct], percent)
}

// String returns the progress line of the cell.
func (c *Cell) String() string {
	added := "nothing served"
	if len(c.load.addedMs) > 0 {
		added = fmt.Sprintf("added %.2f ms p50 %.2f ms p99", c.load.addedQuantileMs(50), c.load.addedQuantileMs(99))
	}
	return fmt.Sprintf("%6d servers %6g calls/s: %6.3f ms CPU a call, %.3f cores (idle %.3f), %.0f MB (peak %.0f), %s, served %.4f",
		c.Servers, c.Rate, c.perCall(milliseconds(c.cpu)), c.cores, c.idleCores, c.rssMB, c.peakRSSMB, added, c.servedShare())
}
