package cost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/process"
)

const (
	// readyTimeout bounds an agent's start and its opening of the watch.
	readyTimeout = 30 * time.Second
	// restAfterStart lets what belongs to the start end before the idle window.
	restAfterStart = time.Second
	// maxLateness is the p99 of the lab's own lateness above which a cell says nothing.
	maxLateness = 10 * time.Millisecond
	pollPeriod  = 10 * time.Millisecond
)

// Cell is one measured agent: a number of known servers under one rate of calls.
type Cell struct {
	Servers int
	Rate    float64
	Broke   []string // what did not hold, a line each

	idleCores float64
	cores     float64
	window    time.Duration
	cpu       time.Duration
	rssMB     float64
	peakRSSMB float64
	counts    counts
	load      *summary
}

// counts is what happened in the window.
type counts struct{ probes, connections, wholeLists, watches int64 }

// counts returns the counts since the fleet was made, without the caller's own connections.
func (f *Fleet) counts(c *caller) counts {
	return counts{probes: f.Counters.Probes.Load(), connections: f.Counters.Connections.Load() - c.directDials.Load(),
		wholeLists: f.Counters.WholeLists.Load(), watches: f.Counters.Watches.Load()}
}

func (c counts) since(before counts) counts {
	return counts{probes: c.probes - before.probes, connections: c.connections - before.connections,
		wholeLists: c.wholeLists - before.wholeLists, watches: c.watches - before.watches}
}

// measure starts an agent of its own for the cell, so that its memory and connections are
// those of this cell alone, and measures it idle and then under load.
func measure(ctx context.Context, o *Options, fleet *Fleet, servers int, rate float64) (*Cell, error) {
	dir, err := os.MkdirTemp("", "agent-cost-")
	if err != nil {
		return nil, fmt.Errorf("folder of the agent: %w", err)
	}
	defer os.RemoveAll(dir)
	supervisor := process.New(nil)
	defer supervisor.Close()
	agent, addr, err := startAgent(ctx, o, fleet, supervisor, dir)
	if err != nil {
		return nil, err
	}
	cell := &Cell{Servers: servers, Rate: rate}
	if cell.idleCores, err = idleCores(ctx, agent, o.idleWindow()); err != nil {
		return nil, err
	}
	caller := newCaller(addr, fleet.Addresses)
	defer caller.close()
	sends, pairs := drawSends(rate, o.warmup(), o.Seed+1)
	if _, err := caller.run(ctx, sends, pairs); err != nil {
		return nil, err
	}
	if err := cell.underLoad(ctx, o, fleet, agent, caller); err != nil {
		return nil, err
	}
	cell.judge()
	return cell, nil
}

// startAgent starts an agent and waits until it is ready and follows the list.
func startAgent(ctx context.Context, o *Options, fleet *Fleet, supervisor *process.Supervisor, dir string) (*process.Process, string, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	text, err := fleet.AgentConfig(addr, o.Seed)
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(dir, "agent.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, "", fmt.Errorf("agent configuration: %w", err)
	}
	agent := supervisor.Add(process.Spec{Name: "agent", Path: o.Agent, Log: filepath.Join(dir, "agent.log"),
		ReadyURL: "http://" + addr + "/ready", Env: []string{"EDGE_CONFIG=" + path}})
	if err := agent.Start(); err != nil {
		return nil, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := agent.WaitReady(ctx); err != nil {
		return nil, "", err
	}
	for fleet.Counters.OpenWatches.Load() == 0 {
		if err := sleep(ctx, pollPeriod); err != nil {
			return nil, "", fmt.Errorf("the agent opened no watch on the list: %w", err)
		}
	}
	return agent, addr, sleep(ctx, restAfterStart)
}

// freeAddress returns an address that nothing listens on at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func idleCores(ctx context.Context, agent *process.Process, window time.Duration) (float64, error) {
	before, began := usage(agent), time.Now()
	if err := sleep(ctx, window); err != nil {
		return 0, err
	}
	return (usage(agent).CPU - before.CPU).Seconds() / time.Since(began).Seconds(), nil
}

func usage(agent *process.Process) process.Usage {
	now, _, _ := agent.SampleUsage()
	return now
}

// underLoad fills in what the cell's window shows. The window ends with the last answer.
func (c *Cell) underLoad(ctx context.Context, o *Options, fleet *Fleet, agent *process.Process, caller *caller) error {
	sends, pairs := drawSends(c.Rate, o.Window, o.Seed)
	countsBefore, before, began := fleet.counts(caller), usage(agent), time.Now()
	outcomes, err := caller.run(ctx, sends, pairs)
	if err != nil {
		return err
	}
	after := usage(agent)
	c.window, c.cpu = time.Since(began), after.CPU-before.CPU
	c.cores = c.cpu.Seconds() / c.window.Seconds()
	c.rssMB = after.RSSMB
	c.counts = fleet.counts(caller).since(countsBefore)
	c.load = summarize(outcomes)
	c.peakRSSMB, err = agent.PeakRSSMB()
	if err != nil && !agent.Runs() {
		c.Broke = append(c.Broke, "the agent ended: "+agent.LastLogLine())
		return nil
	}
	return err
}

// minServed is the least share of calls through the agent that has to be served.
const minServed = 0.99

// judge tells what did not hold.
func (c *Cell) judge() {
	broke := func(format string, args ...any) { c.Broke = append(c.Broke, fmt.Sprintf(format, args...)) }
	if share := c.servedShare(); share < minServed {
		broke("served share %.4f, at least %.2f (refused %.4f, failed %.4f, unanswered %.4f)", share, minServed,
			c.load.share(throughAgent, refused), c.load.share(throughAgent, failed), c.load.share(throughAgent, unanswered))
	}
	if lost := c.load.pairs - c.load.ended[direct][served]; lost > 0 {
		broke("%d of %d direct calls not served", lost, c.load.pairs)
	}
	if c.peakRSSMB > AgentMemoryMB {
		broke("peak memory %.0f MB, at most %d", c.peakRSSMB, AgentMemoryMB)
	}
	if late := quantileMs(c.load.late, 99); late > milliseconds(maxLateness) {
		broke("the lab sent %.1f ms late at p99, at most %.0f: the machine is too busy", late, milliseconds(maxLateness))
	}
}

func (c *Cell) servedShare() float64 { return c.load.share(throughAgent, served) }

// perCall divides by the calls that were made through the agent.
func (c *Cell) perCall(x float64) float64 { return x / max(float64(c.load.pairs), 1) }

// loadName names a load in the results.
func loadName(rate float64) string { return fmt.Sprintf("%g calls/s", rate) }

// addTo adds the cell's measurements to the run of its number of servers.
func (c *Cell) addTo(run *capacity.Run) {
	load := loadName(c.Rate)
	add := func(metric string, value float64) { run.Add("agent", load, metric, value) }
	add("calls", float64(c.load.pairs))
	add("served_share", c.servedShare())
	add("refused_share", c.load.share(throughAgent, refused))
	add("failed_share", c.load.share(throughAgent, failed))
	add("unanswered_share", c.load.share(throughAgent, unanswered))
	add("cpu_ms_per_call", c.perCall(milliseconds(c.cpu)))
	if n := c.load.ended[throughAgent][served]; n > 0 {
		add("cpu_ms_per_served_call", milliseconds(c.cpu)/float64(n))
	}
	add("cpu_cores", c.cores)
	add("idle_cpu_cores", c.idleCores)
	add("rss_mb", c.rssMB)
	add("peak_rss_mb", c.peakRSSMB)
	c.addLatencies(add)
	add("connections_per_call", c.perCall(float64(c.counts.connections)))
	add("probes_per_call", c.perCall(float64(c.counts.probes)))
	add("whole_lists", float64(c.counts.wholeLists))
	add("watches_opened", float64(c.counts.watches))
	run.Add("lab", load, "late_p99_ms", quantileMs(c.load.late, 99))
}

// addLatencies adds quantiles of the calls that were served. Where there are none, there is
// no latency, and none is added.
func (c *Cell) addLatencies(add func(metric string, value float64)) {
	if len(c.load.added) == 0 {
		return
	}
	agent, plain := c.load.latency[throughAgent], c.load.latency[direct]
	for _, q := range []struct {
		name    string
		percent float64
	}{{"p50_ms", 50}, {"p99_ms", 99}} {
		add("direct_"+q.name, quantileMs(plain, q.percent))
		add("agent_"+q.name, quantileMs(agent, q.percent))
		add("added_"+q.name, quantileMs(agent, q.percent)-quantileMs(plain, q.percent))
		add("added_paired_"+q.name, quantile(c.load.added, q.percent))
	}
}

// String is the cell's line of progress.
func (c *Cell) String() string {
	added := "nothing served"
	if len(c.load.added) > 0 {
		agent, plain := c.load.latency[throughAgent], c.load.latency[direct]
		added = fmt.Sprintf("added %.2f ms p50 %.2f ms p99", quantileMs(agent, 50)-quantileMs(plain, 50), quantileMs(agent, 99)-quantileMs(plain, 99))
	}
	return fmt.Sprintf("%6d servers %6g calls/s: %6.3f ms CPU a call, %.3f cores (idle %.3f), %.0f MB (peak %.0f), %s, served %.4f",
		c.Servers, c.Rate, c.perCall(milliseconds(c.cpu)), c.cores, c.idleCores, c.rssMB, c.peakRSSMB, added, c.servedShare())
}

// sleep waits, or returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Interrupted reports whether a measurement ended because its context did.
func Interrupted(ctx context.Context, err error) bool {
	return ctx.Err() != nil && errors.Is(err, ctx.Err())
}
