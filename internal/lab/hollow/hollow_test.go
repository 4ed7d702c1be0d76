package hollow

import (
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func validAgentsConfig() AgentsConfig {
	return AgentsConfig{ControlPlane: []string{"127.0.0.1:1"}, Count: 3, Services: 10, Subscribed: 4, Seed: 7}
}

func validServersConfig() ServersConfig {
	return ServersConfig{ControlPlane: []string{"127.0.0.1:1"}, Count: 100, Services: 10, RenewInterval: time.Second, RenewBatch: 1}
}

// The error for an invalid value is one line that begins with the flag.
func TestValidateNamesTheFlag(t *testing.T) {
	agents := func(change func(*AgentsConfig)) error {
		c := validAgentsConfig()
		change(&c)
		return c.Validate()
	}
	servers := func(change func(*ServersConfig)) error {
		c := validServersConfig()
		change(&c)
		return c.Validate()
	}
	for flag, err := range map[string]error{
		"--stewards":   agents(func(c *AgentsConfig) { c.ControlPlane = nil }),
		"--stewards:":  agents(func(c *AgentsConfig) { c.ControlPlane = []string{"nowhere"} }),
		"--count":      agents(func(c *AgentsConfig) { c.Count = MaxAgents + 1 }),
		"--first":      agents(func(c *AgentsConfig) { c.First = -1 }),
		"--fleet":      agents(func(c *AgentsConfig) { c.Fleet = -1 }),
		"--spread":     agents(func(c *AgentsConfig) { c.StartSpread = -1 }),
		"--subscribed": agents(func(c *AgentsConfig) { c.Subscribed = 11 }),
		"--source":     agents(func(c *AgentsConfig) { c.Sources = []string{"10.0.0.1"} }),

		"--services":     servers(func(c *ServersConfig) { c.Services = 101 }),
		"--renew:":       servers(func(c *ServersConfig) { c.RenewInterval = 0 }),
		"--renew-batch":  servers(func(c *ServersConfig) { c.RenewBatch = 0 }),
		"--emulated":     servers(func(c *ServersConfig) { c.EmulatedPerZone = maxEmulatedPerZone + 1 }),
		"--service-time": servers(func(c *ServersConfig) { c.ServiceTime = -1 }),
	} {
		if err == nil || !strings.HasPrefix(err.Error(), flag) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", flag, err)
		}
	}
	if err := agents(func(*AgentsConfig) {}); err != nil {
		t.Error(err)
	}
	if err := servers(func(*ServersConfig) {}); err != nil {
		t.Error(err)
	}
}

// Subscriptions are determined by the seed, have the configured number of services and no duplicates.
func TestSubscriptionsAreDrawnFromTheSeed(t *testing.T) {
	first, err := NewAgents(validAgentsConfig(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	again, err := NewAgents(validAgentsConfig(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for i, agent := range first.agents {
		if !slices.Equal(agent.services, again.agents[i].services) {
			t.Errorf("agent %d subscribes to %v and, with the same seed, to %v", i, agent.services, again.agents[i].services)
		}
		if unique := slices.Compact(slices.Clone(agent.services)); len(unique) != 4 {
			t.Errorf("agent %d subscribes to %v, want 4 different services", i, agent.services)
		}
	}
	if slices.Equal(first.agents[0].services, first.agents[1].services) {
		t.Errorf("two agents subscribe to the same services %v", first.agents[0].services)
	}
}

// The zones are ranges of servers, and each server is in exactly one zone.
func TestZonesHoldEachServerOnce(t *testing.T) {
	for _, count := range []int{22, 100, 220, 1000, 39_000} {
		next := 0
		for zone := range Zones {
			r := ZoneRange(zone, count)
			if r.First != next || r.Count < count/Zones || r.Count > count/Zones+1 {
				t.Errorf("with %d servers zone %d is %+v, want it to start at %d", count, zone, r, next)
			}
			for i := r.First; i < r.First+r.Count; i++ {
				if zoneOf(i, count) != zone {
					t.Errorf("with %d servers, server %d is in zone %d, want %d", count, i, zoneOf(i, count), zone)
				}
			}
			next = r.First + r.Count
		}
		if next != count {
			t.Errorf("the zones contain %d of %d servers", next, count)
		}
	}
}

// A full list replaces the table; a change is merged into it.
func TestListsAreMergedIntoTheTable(t *testing.T) {
	a := &Agent{table: map[string]endpoints.Endpoint{}}
	merge := func(full bool, entries ...endpoints.Endpoint) {
		a.merge(&endpoints.List{Full: full, Endpoints: entries}, time.Now())
	}
	ready := func(name string) endpoints.Endpoint { return endpoints.Endpoint{Name: name, Health: endpoints.Ready} }
	merge(true, ready("a"), ready("b"), ready("c"))
	merge(false, endpoints.Endpoint{Name: "a", Health: endpoints.Removed}, endpoints.Endpoint{Name: "b", Health: endpoints.Draining}, ready("d"))
	if len(a.table) != 3 || a.table["b"].Health != endpoints.Draining || a.table["d"].Name == "" || a.table["a"].Name != "" {
		t.Errorf("after a change the table is %v", a.table)
	}
	merge(true, ready("d"), ready("e"))
	if len(a.table) != 2 || a.table["d"].Name == "" || a.table["e"].Name == "" {
		t.Errorf("after a full list the table is %v", a.table)
	}
}
