package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// A selector is the target of a fault, parsed from its text:
//
//	servers, agents, stewards, workers, discovery, load
//	servers@ZONE       the servers in a zone
//	servers%0.3        30 % of the servers, drawn from the seed
//	servers#2          two servers, drawn from the seed
//	agents@ZONE%0.5    half of the agents in a zone
//	s-03, n7           a process by its name; several names are separated by commas
type selector struct {
	kind  string   // a key of faultKinds; "" if names are given
	names []string // names of individual processes
	zone  string   // zone of the processes; "": all zones
	share float64  // share of the matching processes, in (0, 1]
	count int      // number of the matching processes; 0: share applies
}

// parseSelector parses the text of a selector. It does not check that the named zone and processes exist.
func parseSelector(text string) (selector, error) {
	s := selector{share: 1}
	rest := text
	var err error
	if head, n, ok := strings.Cut(rest, "#"); ok {
		if s.count, err = strconv.Atoi(n); err != nil || s.count < 1 {
			return s, &selectorError{text, "the number after # must be 1 or above"}
		}
		rest = head
	}
	if head, p, ok := strings.Cut(rest, "%"); ok {
		if s.share, err = strconv.ParseFloat(p, 64); err != nil || !(s.share > 0) || s.share > 1 {
			return s, &selectorError{text, "the share after % must be above 0 and at most 1"}
		}
		rest = head
	}
	rest, s.zone, _ = strings.Cut(rest, "@")
	if _, known := faultKinds[rest]; known && rest != targetLink {
		s.kind = rest
		return s, nil
	}
	s.names = strings.Split(rest, ",")
	return s, nil
}

// serverName returns the name of the server with an index.
func serverName(i int) string { return fmt.Sprintf("s-%02d", i) }

// agentName returns the name of the agent with an index.
func agentName(i int) string { return fmt.Sprintf("n%d", i) }

// agentNames returns the names of the agents, by index.
func (c *Config) agentNames() []string {
	var names []string
	for i := range c.Agents.Count {
		names = append(names, agentName(i))
	}
	return names
}

// selectorKind returns the kind of target that a selector selects, which is a key of faultKinds. It returns
// an error if the text is invalid or names something that the experiment doesn't have.
func (c *Config) selectorKind(text string) (string, error) {
	if text == "" {
		return "", errSelectorMissing
	}
	s, err := parseSelector(text)
	if err != nil {
		return "", err
	}
	if s.kind == targetControlPlane && c.ControlPlane.Count == 0 || s.kind == targetWorkers && c.LeasedTasks.Count == 0 {
		return "", &selectorError{text, "there are none in this experiment"}
	}
	if s.zone != "" && !slices.Contains(c.Zones, s.zone) {
		return "", &selectorError{text, fmt.Sprintf("no zone %q", s.zone)}
	}
	for _, name := range s.names {
		kind := c.processKind(name)
		switch {
		case kind == "":
			return "", fmt.Errorf("%w %q", errUnknownProcess, name)
		case s.kind != "" && s.kind != kind:
			return "", &selectorError{text, "the processes are of different kinds"}
		}
		s.kind = kind
	}
	return s.kind, nil
}

// Errors of selectors.
var (
	errSelectorMissing = errors.New("missing")
	errUnknownProcess  = errors.New("unknown process")
)

// selectorError is the error for a selector that is invalid or selects nothing in its experiment.
type selectorError struct{ text, problem string }

// Error returns the quoted selector and its problem.
func (e *selectorError) Error() string { return fmt.Sprintf("%q: %s", e.text, e.problem) }

// processes returns the number of processes of a kind and the function that names them. Any kind other
// than agents, control-plane servers and workers counts as servers.
func (c *Config) processes(kind string) (count int, name func(index int) string) {
	switch kind {
	case targetAgents:
		return c.Agents.Count, agentName
	case targetControlPlane:
		return c.ControlPlane.Count, controlPlaneName
	case targetWorkers:
		return c.workerCount(), workerName
	}
	return c.Servers.Count, serverName
}

// processKind returns the kind of the process with the given name, or "" if there is none.
func (c *Config) processKind(name string) string {
	for _, kind := range []string{targetServers, targetAgents, targetControlPlane, targetWorkers} {
		count, nameOf := c.processes(kind)
		for i := range count {
			if nameOf(i) == name {
				return kind
			}
		}
	}
	return ""
}

// selectTargets returns the sorted indexes of the processes that a valid selector selects. Random choices
// depend only on rng, so that a seed always selects the same processes.
func (c *Config) selectTargets(text string, rng *rand.Rand) []int {
	s, _ := parseSelector(text)
	kind, _ := c.selectorKind(text)
	count, name := c.processes(kind)
	var chosen []int
	for i := range count {
		if len(s.names) > 0 && !slices.Contains(s.names, name(i)) || s.zone != "" && c.Zones[i%len(c.Zones)] != s.zone {
			continue
		}
		chosen = append(chosen, i)
	}
	rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	if s.count > 0 {
		chosen = chosen[:min(s.count, len(chosen))]
	} else if s.share < 1 {
		chosen = chosen[:max(int(s.share*float64(len(chosen))+0.5), 1)]
	}
	slices.Sort(chosen)
	return chosen
}
