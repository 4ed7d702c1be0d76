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
	sort  string
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
		s.sort = rest
		return s, nil
	}
	s.names = strings.Split(rest, ",")
	return s, nil
}

func serverName(i int) string { return fmt.Sprintf("s-%02d", i) }
func agentName(i int) string  { return fmt.Sprintf("n%d", i) }

// selector checks a selector's text and tells what it selects.
func (c *Config) selector(text string) (string, error) {
	if text == "" {
		return "", fmt.Errorf("missing")
	}
	s, err := parseSelector(text)
	if err != nil {
		return "", err
	}
	if s.sort == "stewards" && c.Stewards.Count == 0 {
		return "", fmt.Errorf("%q: there are none in this experiment", text)
	}
	if s.sort == "workers" && c.Duties.Count == 0 {
		return "", fmt.Errorf("%q: there are none in this experiment", text)
	}
	if s.zone != "" && !slices.Contains(c.Zones, s.zone) {
		return "", fmt.Errorf("%q: no zone %q", text, s.zone)
	}
	for _, name := range s.names {
		sort := ""
		for i := range c.Servers.Count {
			if serverName(i) == name {
				sort = "servers"
			}
		}
		for i := range c.Agents.Count {
			if agentName(i) == name {
				sort = "agents"
			}
		}
		for i := range c.Stewards.Count {
			if stewardName(i) == name {
				sort = "stewards"
			}
		}
		for i := range c.workers() {
			if workerName(i) == name {
				sort = "workers"
			}
		}
		switch {
		case sort == "":
			return "", fmt.Errorf("unknown process %q", name)
		case s.sort != "" && s.sort != sort:
			return "", fmt.Errorf("%q: processes of two sorts", text)
		}
		s.sort = sort
	}
	return s.sort, nil
}

// workers is how many there are.
func (c *Config) workers() int {
	if c.Duties.Count == 0 {
		return 0
	}
	return c.Duties.Workers
}

// choose gives the numbers of the servers or agents that a selector means. What is left
// to chance is drawn from the rng alone, so one seed always means the same ones.
func (c *Config) choose(text string, rng *rand.Rand) []int {
	s, _ := parseSelector(text) // checked by validate
	sort, _ := c.selector(text)
	n, name := c.Servers.Count, serverName
	switch sort {
	case "agents":
		n, name = c.Agents.Count, agentName
	case "stewards":
		n, name = c.Stewards.Count, stewardName
	case "workers":
		n, name = c.workers(), workerName
	}
	var all []int
	for i := range n {
		if len(s.names) > 0 && !slices.Contains(s.names, name(i)) || s.zone != "" && c.Zones[i%len(c.Zones)] != s.zone {
			continue
		}
		all = append(all, i)
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if s.count > 0 {
		all = all[:min(s.count, len(all))]
	} else if s.share < 1 {
		all = all[:max(int(s.share*float64(len(all))+0.5), 1)]
	}
	slices.Sort(all)
	return all
}
