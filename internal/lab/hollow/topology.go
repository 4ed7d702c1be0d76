package hollow

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Layout of a hollow fleet.
const (
	// Zones is the number of zones that the servers are spread over. It is the number in the design target.
	Zones = 22
	// ServerClass is the class (machine type) of all hollow servers.
	ServerClass = "standard"

	rackServers = 40 // servers per rack

	seedStride = 1_000_003 // distance between the agents' seeds of runs with successive seeds
)

// Range is a range of servers, by index.
type Range struct {
	First int `json:"first"`
	Count int `json:"count"`
}

// ZoneName returns the name of the zone with the index. The servers of a zone have successive indexes.
func ZoneName(index int) string { return fmt.Sprintf("zone-%02d", index) }

// zoneOf returns the zone of the server with the index in a fleet of count servers.
func zoneOf(index, count int) int { return index * Zones / count }

// ZoneRange returns the servers of a zone in a fleet of count servers.
func ZoneRange(zone, count int) Range {
	first := (zone*count + Zones - 1) / Zones
	return Range{First: first, Count: ((zone+1)*count+Zones-1)/Zones - first}
}

// ServiceName returns the name of the service with the index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// AgentSeed returns the seed of the hollow or real agent with the index, in a run with the given seed.
func AgentSeed(seed uint64, index int) uint64 { return seed*seedStride + uint64(index) }

// DrawServices draws from the seed the services that the agent with the index subscribes to, and returns
// them sorted. If subscribed is 0 it returns nil, which stands for the full list.
func DrawServices(seed uint64, index, services, subscribed int) []string {
	if subscribed == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	drawn := random.Perm(services)[:subscribed]
	slices.Sort(drawn)
	names := make([]string, len(drawn))
	for i, service := range drawn {
		names[i] = ServiceName(service)
	}
	return names
}
