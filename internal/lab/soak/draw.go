// Package soak generates random experiments: a fleet, its settings and a schedule of faults. A seed
// always generates the same experiment, byte for byte, on any machine.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// MinDuration is the shortest duration of an experiment. A shorter experiment has no time for a restart.
	MinDuration = 15 * time.Second
	// controlPlaneProbability is the probability that an experiment has real control-plane servers, and
	// quietStartProbability the probability that its first half has no faults.
	controlPlaneProbability, quietStartProbability = 0.25, 0.25
	// hangProbability is the probability that servers hang while an agent gets a series of signals. Hanging
	// servers keep requests in flight for a long time.
	hangProbability = 0.7
	// idleClientsProbability is the probability that idle connections use up an agent's descriptors while it
	// gets a series of signals.
	idleClientsProbability = 0.3
	// firstFaultAt is the earliest time of a fault in an experiment without a quiet start.
	firstFaultAt = 2 * time.Second
	// processFaultPeriod is the time from one fault of an agent's process to the next. A termination and
	// the subsequent start take about 5 s.
	processFaultPeriod = 6 * time.Second
	// environmentFaultPeriod is the mean time between all other faults.
	environmentFaultPeriod = 4 * time.Second
	// repeatedDurationFactor multiplies the duration of a fault that repeats answers. Such a fault rarely shows
	// an effect, because a repeated answer only does harm if its connection is reused within some milliseconds.
	repeatedDurationFactor = 4
)

// Fault is one fault of a generated experiment, as the lines of its TOML table.
type Fault struct {
	Name  string
	lines []string
}

// Experiment is a generated experiment.
type Experiment struct {
	Name   string
	header string
	Faults []Fault
}

// Text returns the experiment in the format of an experiment file.
func (e *Experiment) Text() string {
	var text strings.Builder
	text.WriteString(e.header)
	for _, fault := range e.Faults {
		fmt.Fprintf(&text, "[[fault]]\nname = %q\n%s\n", fault.Name, strings.Join(fault.lines, "\n"))
	}
	return text.String()
}

// Without returns a copy of the experiment without the fault at an index.
func (e *Experiment) Without(fault int) *Experiment {
	smaller := &Experiment{Name: e.Name, header: e.header}
	smaller.Faults = append(append(smaller.Faults, e.Faults[:fault]...), e.Faults[fault+1:]...)
	return smaller
}

// generator generates one experiment. Changing the order of its random draws changes the experiment of every
// seed.
type generator struct {
	rng                 *rand.Rand
	duration            time.Duration
	agents              int
	maxSockets          int // an agent's limit of open descriptors
	servers             int
	controlPlaneServers int // number of control-plane servers; 0: the emulated list service is used instead
	faultsFrom          time.Duration
	faults              []Fault
}

// Draw generates the experiment of a seed. The duration must be at least MinDuration.
func Draw(seed uint64, duration time.Duration) *Experiment {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0)), duration: duration}
	g.agents, g.servers = 2+g.rng.IntN(3), 6+g.rng.IntN(9)
	g.maxSockets = pick(g.rng, 160, 256, 512, 1024)
	if g.rng.Float64() < controlPlaneProbability {
		g.controlPlaneServers = 3
	}
	g.faultsFrom = firstFaultAt
	if g.rng.Float64() < quietStartProbability {
		g.faultsFrom = duration / 2
	}
	e := &Experiment{Name: fmt.Sprint("soak-", seed)}
	e.header = g.drawHeader(e.Name, seed)
	g.drawProcessFaults()
	g.drawEnvironmentFaults()
	e.Faults = g.faults
	return e
}

// drawHeader draws the fleet, the load and the rules, and returns the file's text up to the faults.
func (g *generator) drawHeader(name string, seed uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nabout = \"drawn by lab soak\"\nseed = %d\nduration = %q\nwarmup = \"1s\"\nlateness = \"30ms\"\n", name, max(seed, 1), g.duration)
	fmt.Fprintf(&text, "[agents]\ncount = %d\nsockets = %d\nknown = %q\n", g.agents, g.maxSockets, pick(g.rng, "now", "now", "empty"))
	fmt.Fprintf(&text, "[servers]\ncount = %d\n", g.servers)
	if g.controlPlaneServers > 0 {
		fmt.Fprintf(&text, "[stewards]\ncount = %d\nlease_ttl = %q\n", g.controlPlaneServers, pick(g.rng, "3s", "6s"))
		fmt.Fprintf(&text, "[duties]\ncount = %d\nworkers = %d\n", 2+g.rng.IntN(6), 2+g.rng.IntN(2))
	}
	fmt.Fprintf(&text, "[rules]\nmax_attempts = %d\nparallel_tries = %v\ncancelling = %v\nprobing = %v\ndrain_grace = %q\nconnect_timeout = %q\nkeepalive = %q\n",
		2+g.rng.IntN(4), g.chance(0.5), g.chance(0.7), g.chance(0.5), pick(g.rng, "250ms", "500ms", "1s"), pick(g.rng, "150ms", "250ms", "400ms"), pick(g.rng, "5s", "30s"))
	fmt.Fprintf(&text, "[load]\nrate = %d\nimpatient = %.2f\nretries = %d\nbackoff = %q\nbody = %d\n", g.servers*(3+g.rng.IntN(5)), 0.1*g.rng.Float64(),
		g.rng.IntN(3), pick(g.rng, "none", "fixed", "exp"), pick(g.rng, 20, 200, 4000))
	text.WriteString(pick(g.rng, classTables...))
	return text.String()
}

// classTables are the alternative sets of request classes: the defaults, a set with a non-idempotent class and
// a class that is deduplicated within a cell, a set with short deadlines, and a set of a single class.
var classTables = []string{
	"",
	classTable("reading", "free", "all", "700ms", "2500ms", "1s") + classTable("booking", "single_shot", "all", "900ms", "3s", "1s") +
		classTable("filing", "guarded", "cell", "800ms", "2500ms", "1500ms"),
	classTable("look", "free", "all", "300ms", "700ms", "1s") + classTable("keep", "guarded", "zone", "400ms", "900ms", "2s"),
	classTable("ask", "free", "all", "500ms", "1500ms", "1s"),
}

// classTable returns the TOML table of a request class.
func classTable(name, effect, group, targetLatency, deadline, dedupWindow string) string {
	return fmt.Sprintf("[[load.class]]\nname = %q\nshare = 0.5\nwork = 15.0\naim = %q\ngive_up = %q\neffect = %q\ngroup = %q\nkey_ttl = %q\n",
		name, targetLatency, deadline, effect, group, dedupWindow)
}

// pick returns one of the values.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// chance returns true with the given probability.
func (g *generator) chance(probability float64) bool { return g.rng.Float64() < probability }

// add adds a fault.
func (g *generator) add(kind, target string, at time.Duration, lines ...string) {
	name := fmt.Sprintf("%s-%d", kind, len(g.faults))
	g.faults = append(g.faults, Fault{Name: name, lines: append([]string{fmt.Sprintf("kind = %q\ntarget = %q\nat = %q", kind, target, at)}, lines...)})
}

// durationLine returns a line of a fault's table that sets a key to a duration.
func durationLine(key string, value time.Duration) string {
	return fmt.Sprintf("%s = %q", key, value)
}

// signalSeries are the series of signals that can be sent to an agent.
var signalSeries = []string{
	`["hup", "hup"]`, `["hup", "hup", "hup", "hup", "hup"]`, `["hup", "term"]`, `["term"]`, `["term"]`, `["term", "term"]`,
	`["term", "hup"]`, `["hup", "hup", "term", "term"]`, `["term", "kill"]`, `["kill"]`, `["hup", "kill"]`,
}

// terminationSeries are the series of signals for experiments with control-plane servers. They contain no
// reload, because the agents of these experiments cannot reload their control-plane servers.
var terminationSeries = []string{`["term"]`, `["term", "term"]`, `["term", "kill"]`, `["kill"]`}

// drawProcessFaults draws faults of the agents' processes and clients, for one agent at a time.
func (g *generator) drawProcessFaults() {
	for at := g.faultsFrom; at+processFaultPeriod < g.duration; at += processFaultPeriod + g.randomMillis(0, 1500) {
		target := fmt.Sprintf("n%d", g.rng.IntN(g.agents))
		switch g.rng.IntN(8) {
		case 0:
			g.add("stop", target, at, durationLine("for", g.randomMillis(100, 900)))
		case 1:
			g.add("flood", target, at, durationLine("for", g.randomMillis(1000, 4000)), fmt.Sprintf("size = %d.0\nshare = %.1f", 50+g.rng.IntN(500), g.rng.Float64()))
		case 2:
			g.add("pipeline", target, at, durationLine("for", g.randomMillis(500, 3000)), durationLine("every", g.randomMillis(200, 800)), fmt.Sprintf("size = %d.0", 2+g.rng.IntN(80)))
		case 3:
			g.add("descriptors", target, at, durationLine("for", g.randomMillis(30, 250)))
		default:
			series := signalSeries
			if g.controlPlaneServers > 0 {
				series = terminationSeries
			}
			if g.chance(idleClientsProbability) {
				g.add("flood", target, at-g.randomMillis(100, 800), durationLine("for", g.randomMillis(1000, 5000)), fmt.Sprintf("size = %d.0", g.maxSockets))
			}
			g.add("signals", target, at, durationLine("every", g.randomMillis(0, 400)), "signals = "+pick(g.rng, series...))
			if g.chance(hangProbability) {
				g.drawHangingServers(at)
			}
		}
	}
}

// drawHangingServers draws a fault that makes some servers hang from shortly before the given time until after
// the earliest SIGKILL.
func (g *generator) drawHangingServers(at time.Duration) {
	target := fmt.Sprintf("servers%%%.1f", 0.2+0.4*g.rng.Float64())
	from, duration := at-g.randomMillis(0, 300), g.randomMillis(1500, 4500)
	switch g.rng.IntN(3) {
	case 0:
		g.add("lost", target, from, durationLine("for", duration), fmt.Sprintf("size = %.1f", 0.3+0.7*g.rng.Float64()))
	case 1:
		g.add("slow", target, from, durationLine("for", duration), fmt.Sprintf("size = %d.0", 10+g.rng.IntN(40)))
	default:
		g.add("vanish", target, from, durationLine("for", duration))
	}
}

// randomMillis draws a duration between from and to milliseconds, both included.
func (g *generator) randomMillis(from, to int) time.Duration {
	return time.Duration(from+g.rng.IntN(to-from+1)) * time.Millisecond
}

// drawEnvironmentFaults draws faults of servers, links, discovery and the load. They may overlap each
// other and the faults of processes.
func (g *generator) drawEnvironmentFaults() {
	for at := g.faultsFrom; ; {
		at += time.Duration(g.rng.ExpFloat64() * float64(environmentFaultPeriod)).Round(time.Millisecond)
		faultDuration := g.randomMillis(300, 4000)
		if at+faultDuration >= g.duration {
			return
		}
		switch {
		case g.chance(0.6):
			g.drawServerFault(at, faultDuration)
		case g.chance(0.2):
			g.add("burst", "load", at, durationLine("for", faultDuration), "size = 1.5")
		case g.controlPlaneServers > 0:
			g.drawControlPlaneFault(at, faultDuration)
		default:
			g.drawNetworkFault(at, faultDuration)
		}
	}
}

// drawServerFault draws a fault of one or two servers. A fault that repeats answers affects a larger share of
// the servers, because it rarely shows an effect.
func (g *generator) drawServerFault(at, faultDuration time.Duration) {
	target := fmt.Sprintf("servers#%d", 1+g.rng.IntN(2))
	kind := pick(g.rng, "kill", "vanish", "drain", "drain", "replace", "errors", "resets", "lost", "spoilt", "slow", "mute",
		"repeated", "repeated", "repeated")
	switch kind {
	case "mute":
		if g.controlPlaneServers > 0 {
			g.add(kind, target, at, durationLine("for", faultDuration))
		}
	case "errors", "resets", "lost", "spoilt":
		g.add(kind, target, at, durationLine("for", faultDuration), fmt.Sprintf("size = %.1f", 0.1+0.8*g.rng.Float64()))
	case "slow":
		g.add(kind, target, at, durationLine("for", faultDuration), fmt.Sprintf("size = %d.0", 2+g.rng.IntN(8)))
	case "repeated":
		target = fmt.Sprintf("servers%%%.1f", 0.3+0.7*g.rng.Float64())
		g.add(kind, target, at, durationLine("for", min(repeatedDurationFactor*faultDuration, g.duration-at)), fmt.Sprintf("size = %.1f", 0.2+0.8*g.rng.Float64()))
	case "replace":
		g.add(kind, target, at, durationLine("every", 500*time.Millisecond))
	default:
		g.add(kind, target, at, durationLine("for", faultDuration))
	}
}

// drawControlPlaneFault draws a fault of a control-plane server, a worker or a link between them.
func (g *generator) drawControlPlaneFault(at, duration time.Duration) {
	switch target := pick(g.rng, "stewards#1", "stewards#1", "workers#1"); g.rng.IntN(4) {
	case 0:
		g.add("kill", target, at, durationLine("for", duration))
	case 1:
		g.add("stop", target, at, durationLine("for", duration))
	case 2:
		g.add("restart", target, at)
	default:
		g.add("cut", target, at, durationLine("for", duration), `to = "stewards"`)
	}
}

// drawNetworkFault draws an outage of discovery, or a fault of an agent's link to discovery or to a server.
func (g *generator) drawNetworkFault(at, duration time.Duration) {
	agent := fmt.Sprintf("n%d", g.rng.IntN(g.agents))
	to := fmt.Sprintf("to = \"s-%02d\"", g.rng.IntN(g.servers))
	switch g.rng.IntN(6) {
	case 0, 1:
		g.add("down", "discovery", at, durationLine("for", duration))
	case 2:
		g.add("cut", agent, at, durationLine("for", duration), `to = "discovery"`)
	case 3:
		g.add("cut", agent, at, durationLine("for", duration), to, fmt.Sprintf("way = %q", pick(g.rng, "both", "back", "forward")))
	case 4:
		g.add("reset", agent, at, durationLine("for", duration), to, fmt.Sprintf("size = %d.0", 500+g.rng.IntN(5000)))
	default:
		g.add("refuse", agent, at, durationLine("for", duration), to)
	}
}
