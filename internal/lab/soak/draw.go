// Package soak draws experiments at random: a fleet, its settings and a schedule of faults. A seed
// always draws the same experiment, to the byte, on any machine.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// MinDuration is the shortest experiment that can be drawn: shorter ones have no time for a restart.
	MinDuration = 15 * time.Second
	// controlPlaneShare and quietShare are the parts of the seeds with real control-plane servers, and
	// with a long quiet time before the first fault.
	controlPlaneShare, quietShare = 0.25, 0.25
	// hangShare is the part of the series of signals during which servers hang, so that requests are in
	// flight for long.
	hangShare = 0.7
	// idleClientsShare is the part of the series of signals during which idle connections fill the agent's
	// descriptors.
	idleClientsShare = 0.3
	// firstFaultAt is when faults begin in other seeds, at the earliest.
	firstFaultAt = 2 * time.Second
	// processFaultPeriod is the time from one fault of an agent's process to the next: a termination and
	// the start after it take about 5 s.
	processFaultPeriod = 6 * time.Second
	// environmentFaultPeriod is the mean time between other faults.
	environmentFaultPeriod = 4 * time.Second
	// repeatedFactor is how much longer than other faults answers are repeated: only one whose connection
	// is used again within some milliseconds can do harm.
	repeatedFactor = 4
)

// Fault is one fault of a drawn experiment, as the lines of its table.
type Fault struct {
	Name  string
	lines []string
}

// Experiment is a drawn experiment.
type Experiment struct {
	Name   string
	header string
	Faults []Fault
}

// Text returns the experiment as an experiment file.
func (e *Experiment) Text() string {
	var text strings.Builder
	text.WriteString(e.header)
	for _, fault := range e.Faults {
		fmt.Fprintf(&text, "[[fault]]\nname = %q\n%s\n", fault.Name, strings.Join(fault.lines, "\n"))
	}
	return text.String()
}

// Without returns the experiment without one of its faults.
func (e *Experiment) Without(fault int) *Experiment {
	smaller := &Experiment{Name: e.Name, header: e.header}
	smaller.Faults = append(append(smaller.Faults, e.Faults[:fault]...), e.Faults[fault+1:]...)
	return smaller
}

// drawing is one experiment while it is drawn. The order of its draws is part of what a seed means.
type drawing struct {
	rng      *rand.Rand
	duration time.Duration
	agents   int
	sockets  int // that an agent may have open
	servers  int
	stewards int // control-plane servers; 0: the emulated list service
	first    time.Duration
	faults   []Fault
}

// Draw returns the experiment of a seed and a duration of at least MinDuration.
func Draw(seed uint64, duration time.Duration) *Experiment {
	d := &drawing{rng: rand.New(rand.NewPCG(seed, 0)), duration: duration}
	d.agents, d.servers = 2+d.rng.IntN(3), 6+d.rng.IntN(9)
	d.sockets = pick(d.rng, 160, 256, 512, 1024)
	if d.rng.Float64() < controlPlaneShare {
		d.stewards = 3
	}
	d.first = firstFaultAt
	if d.rng.Float64() < quietShare {
		d.first = duration / 2
	}
	e := &Experiment{Name: fmt.Sprint("soak-", seed)}
	e.header = d.drawHeader(e.Name, seed)
	d.drawProcessFaults()
	d.drawEnvironmentFaults()
	e.Faults = d.faults
	return e
}

// drawHeader draws the fleet, the load and the rules.
func (d *drawing) drawHeader(name string, seed uint64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nabout = \"drawn by lab soak\"\nseed = %d\nduration = %q\nwarmup = \"1s\"\nlateness = \"30ms\"\n", name, max(seed, 1), d.duration)
	fmt.Fprintf(&text, "[agents]\ncount = %d\nsockets = %d\nknown = %q\n", d.agents, d.sockets, pick(d.rng, "now", "now", "empty"))
	fmt.Fprintf(&text, "[servers]\ncount = %d\n", d.servers)
	if d.stewards > 0 {
		fmt.Fprintf(&text, "[stewards]\ncount = %d\nlease_ttl = %q\n", d.stewards, pick(d.rng, "3s", "6s"))
		fmt.Fprintf(&text, "[duties]\ncount = %d\nworkers = %d\n", 2+d.rng.IntN(6), 2+d.rng.IntN(2))
	}
	fmt.Fprintf(&text, "[rules]\nmax_attempts = %d\nparallel_tries = %v\ncancelling = %v\nprobing = %v\ndrain_grace = %q\nconnect_timeout = %q\nkeepalive = %q\n",
		2+d.rng.IntN(4), d.draw(0.5), d.draw(0.7), d.draw(0.5), pick(d.rng, "250ms", "500ms", "1s"), pick(d.rng, "150ms", "250ms", "400ms"), pick(d.rng, "5s", "30s"))
	fmt.Fprintf(&text, "[load]\nrate = %d\nimpatient = %.2f\nretries = %d\nbackoff = %q\nbody = %d\n", d.servers*(3+d.rng.IntN(5)), 0.1*d.rng.Float64(),
		d.rng.IntN(3), pick(d.rng, "none", "fixed", "exp"), pick(d.rng, 20, 200, 4000))
	text.WriteString(pick(d.rng, classes...))
	return text.String()
}

// classes are the request classes of deployments: the operators' own, one with a class that must not be
// repeated and one that is keyed within a cell, one with short deadlines, and one of a single class.
var classes = []string{
	"",
	class("reading", "free", "all", "700ms", "2500ms", "1s") + class("booking", "single_shot", "all", "900ms", "3s", "1s") +
		class("filing", "guarded", "cell", "800ms", "2500ms", "1500ms"),
	class("look", "free", "all", "300ms", "700ms", "1s") + class("keep", "guarded", "zone", "400ms", "900ms", "2s"),
	class("ask", "free", "all", "500ms", "1500ms", "1s"),
}

// class returns the table of a class of requests.
func class(name, effect, group, aim, giveUp, keyTime string) string {
	return fmt.Sprintf("[[load.class]]\nname = %q\nshare = 0.5\nwork = 15.0\naim = %q\ngive_up = %q\neffect = %q\ngroup = %q\nkey_ttl = %q\n",
		name, aim, giveUp, effect, group, keyTime)
}

// pick returns one of the values.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// draw returns true with a probability.
func (d *drawing) draw(probability float64) bool { return d.rng.Float64() < probability }

// add adds a fault.
func (d *drawing) add(kind, target string, at time.Duration, lines ...string) {
	name := fmt.Sprintf("%s-%d", kind, len(d.faults))
	d.faults = append(d.faults, Fault{Name: name, lines: append([]string{fmt.Sprintf("kind = %q\ntarget = %q\nat = %q", kind, target, at)}, lines...)})
}

// key returns a line of a fault's table whose value is a duration.
func key(name string, value time.Duration) string { return fmt.Sprintf("%s = %q", name, value) }

// series are the series of signals that agents get.
var series = []string{
	`["hup", "hup"]`, `["hup", "hup", "hup", "hup", "hup"]`, `["hup", "term"]`, `["term"]`, `["term"]`, `["term", "term"]`,
	`["term", "hup"]`, `["hup", "hup", "term", "term"]`, `["term", "kill"]`, `["kill"]`, `["hup", "kill"]`,
}

// terminations are those of them that an agent gets whose control-plane servers can't be reloaded.
var terminations = []string{`["term"]`, `["term", "term"]`, `["term", "kill"]`, `["kill"]`}

// drawProcessFaults draws faults of the agents' processes and clients, one agent at a time.
func (d *drawing) drawProcessFaults() {
	for at := d.first; at+processFaultPeriod < d.duration; at += processFaultPeriod + d.millis(0, 1500) {
		target := fmt.Sprintf("n%d", d.rng.IntN(d.agents))
		switch d.rng.IntN(8) {
		case 0:
			d.add("stop", target, at, key("for", d.millis(100, 900)))
		case 1:
			d.add("flood", target, at, key("for", d.millis(1000, 4000)), fmt.Sprintf("size = %d.0\nshare = %.1f", 50+d.rng.IntN(500), d.rng.Float64()))
		case 2:
			d.add("pipeline", target, at, key("for", d.millis(500, 3000)), key("every", d.millis(200, 800)), fmt.Sprintf("size = %d.0", 2+d.rng.IntN(80)))
		case 3:
			d.add("descriptors", target, at, key("for", d.millis(30, 250)))
		default:
			from := series
			if d.stewards > 0 {
				from = terminations
			}
			if d.draw(idleClientsShare) {
				d.add("flood", target, at-d.millis(100, 800), key("for", d.millis(1000, 5000)), fmt.Sprintf("size = %d.0", d.sockets))
			}
			d.add("signals", target, at, key("every", d.millis(0, 400)), "signals = "+pick(d.rng, from...))
			if d.draw(hangShare) {
				d.drawHangingServers(at)
			}
		}
	}
}

// drawHangingServers has a part of the servers hang around a time, until after the earliest SIGKILL.
func (d *drawing) drawHangingServers(at time.Duration) {
	target := fmt.Sprintf("servers%%%.1f", 0.2+0.4*d.rng.Float64())
	from, lasts := at-d.millis(0, 300), d.millis(1500, 4500)
	switch d.rng.IntN(3) {
	case 0:
		d.add("lost", target, from, key("for", lasts), fmt.Sprintf("size = %.1f", 0.3+0.7*d.rng.Float64()))
	case 1:
		d.add("slow", target, from, key("for", lasts), fmt.Sprintf("size = %d.0", 10+d.rng.IntN(40)))
	default:
		d.add("vanish", target, from, key("for", lasts))
	}
}

// millis draws a time of from to to milliseconds.
func (d *drawing) millis(from, to int) time.Duration {
	return time.Duration(from+d.rng.IntN(to-from+1)) * time.Millisecond
}

// drawEnvironmentFaults draws faults of servers, links, discovery and the load, which overlap each
// other and the faults of processes.
func (d *drawing) drawEnvironmentFaults() {
	for at := d.first; ; {
		at += time.Duration(d.rng.ExpFloat64() * float64(environmentFaultPeriod)).Round(time.Millisecond)
		lasts := d.millis(300, 4000)
		if at+lasts >= d.duration {
			return
		}
		switch {
		case d.draw(0.6):
			d.drawServerFault(at, lasts)
		case d.draw(0.2):
			d.add("burst", "load", at, key("for", lasts), "size = 1.5")
		case d.stewards > 0:
			d.drawControlPlaneFault(at, lasts)
		default:
			d.drawNetworkFault(at, lasts)
		}
	}
}

// drawServerFault draws a fault of one or two servers, or of more where few would show nothing.
func (d *drawing) drawServerFault(at, lasts time.Duration) {
	target := fmt.Sprintf("servers#%d", 1+d.rng.IntN(2))
	kind := pick(d.rng, "kill", "vanish", "drain", "drain", "replace", "errors", "resets", "lost", "spoilt", "slow", "mute",
		"repeated", "repeated", "repeated")
	switch kind {
	case "mute":
		if d.stewards > 0 {
			d.add(kind, target, at, key("for", lasts))
		}
	case "errors", "resets", "lost", "spoilt":
		d.add(kind, target, at, key("for", lasts), fmt.Sprintf("size = %.1f", 0.1+0.8*d.rng.Float64()))
	case "slow":
		d.add(kind, target, at, key("for", lasts), fmt.Sprintf("size = %d.0", 2+d.rng.IntN(8)))
	case "repeated":
		target = fmt.Sprintf("servers%%%.1f", 0.3+0.7*d.rng.Float64())
		d.add(kind, target, at, key("for", min(repeatedFactor*lasts, d.duration-at)), fmt.Sprintf("size = %.1f", 0.2+0.8*d.rng.Float64()))
	case "replace":
		d.add(kind, target, at, key("every", 500*time.Millisecond))
	default:
		d.add(kind, target, at, key("for", lasts))
	}
}

// drawControlPlaneFault draws a fault of a control-plane server, a worker or a link between them.
func (d *drawing) drawControlPlaneFault(at, lasts time.Duration) {
	switch target := pick(d.rng, "stewards#1", "stewards#1", "workers#1"); d.rng.IntN(4) {
	case 0:
		d.add("kill", target, at, key("for", lasts))
	case 1:
		d.add("stop", target, at, key("for", lasts))
	case 2:
		d.add("restart", target, at)
	default:
		d.add("cut", target, at, key("for", lasts), `to = "stewards"`)
	}
}

// drawNetworkFault draws a fault of discovery, or of the links to it and to servers.
func (d *drawing) drawNetworkFault(at, lasts time.Duration) {
	agent := fmt.Sprintf("n%d", d.rng.IntN(d.agents))
	to := fmt.Sprintf("to = \"s-%02d\"", d.rng.IntN(d.servers))
	switch d.rng.IntN(6) {
	case 0, 1:
		d.add("down", "discovery", at, key("for", lasts))
	case 2:
		d.add("cut", agent, at, key("for", lasts), `to = "discovery"`)
	case 3:
		d.add("cut", agent, at, key("for", lasts), to, fmt.Sprintf("way = %q", pick(d.rng, "both", "back", "forward")))
	case 4:
		d.add("reset", agent, at, key("for", lasts), to, fmt.Sprintf("size = %d.0", 500+d.rng.IntN(5000)))
	default:
		d.add("refuse", agent, at, key("for", lasts), to)
	}
}
