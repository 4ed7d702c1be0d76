package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// A selector names the parties of a fault:
//
//	servers, agents, stewards, workers, discovery, load
//	servers@ZONE       those of a zone
//	servers%0.3        three in ten of them, drawn from the seed
//	servers#2          two of them, drawn from the seed
//	agents@ZONE%0.5    both
//	s-03, n7           one by its name; several with commas
type selector struct {
	kind  string
	names []string
	zone  string
	share float64
	count int
}

func parseSelector(text string) (selector, error) {
	s := selector{share: 1}
	rest := text
	var err error
	if head, n, ok := strings.Cut(rest, "#"); ok {
		if s.count, err = strconv.Atoi(n); err != nil || s.count < 1 {
			return s, fmt.Errorf("%q: no number above 0 behind #", text)
		}
		rest = head
	}
	if head, p, ok := strings.Cut(rest, "%"); ok {
		if s.share, err = strconv.ParseFloat(p, 64); err != nil || !(s.share > 0) || s.share > 1 {
			return s, fmt.Errorf("%q: no share from above 0 to 1 behind %%", text)
		}
		rest = head
	}
	rest, s.zone, _ = strings.Cut(rest, "@")
	if _, known := faultKinds[rest]; known && rest != "link" {
		s.kind = rest
		return s, nil
	}
	s.names = strings.Split(rest, ",")
	return s, nil
}

func serverName(i int) string { return fmt.Sprintf("s-%02d", i) }
func agentName(i int) string  { return fmt.Sprintf("n%d", i) }

// selectorKind checks a selectorKind's text and tells what it selects.
func (c *Config) selectorKind(text string) (string, error) {
	if text == "" {
		return "", fmt.Errorf("missing")
	}
	s, err := parseSelector(text)
	if err != nil {
		return "", err
	}
	if s.kind == "stewards" && c.ControlPlane.Count == 0 {
		return "", fmt.Errorf("%q: there are none in this experiment", text)
	}
	if s.kind == "workers" && c.LeasedTasks.Count == 0 {
		return "", fmt.Errorf("%q: there are none in this experiment", text)
	}
	if s.zone != "" && !slices.Contains(c.Zones, s.zone) {
		return "", fmt.Errorf("%q: no zone %q", text, s.zone)
	}
	for _, name := range s.names {
		kind := ""
		for i := range c.Servers.Count {
			if serverName(i) == name {
				kind = "servers"
			}
		}
		for i := range c.Agents.Count {
			if agentName(i) == name {
				kind = "agents"
			}
		}
		for i := range c.ControlPlane.Count {
			if controlPlaneName(i) == name {
				kind = "stewards"
			}
		}
		for i := range c.workerCount() {
			if workerName(i) == name {
				kind = "workers"
			}
		}
		switch {
		case kind == "":
			return "", fmt.Errorf("unknown process %q", name)
		case s.kind != "" && s.kind != kind:
			return "", fmt.Errorf("%q: processes of two sorts", text)
		}
		s.kind = kind
	}
	return s.kind, nil
}

// workerCount is how many there are.
func (c *Config) workerCount() int {
	if c.LeasedTasks.Count == 0 {
		return 0
	}
	return c.LeasedTasks.Workers
}

// selectTargets gives the numbers of the servers or agents that a selector means. What is left
// to chance is drawn from the rng alone, so one seed always means the same ones.
func (c *Config) selectTargets(text string, rng *rand.Rand) []int {
	s, _ := parseSelector(text) // checked by validate
	kind, _ := c.selectorKind(text)
	count, name := c.Servers.Count, serverName
	switch kind {
	case "agents":
		count, name = c.Agents.Count, agentName
	case "stewards":
		count, name = c.ControlPlane.Count, controlPlaneName
	case "workers":
		count, name = c.workerCount(), workerName
	}
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
