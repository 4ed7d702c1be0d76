package hollow

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// The layout of a hollow fleet.
const (
	// Zones is the number of zones that servers are spread over, as in the design's target.
	Zones = 22
	// ServerClass is the class of all hollow servers.
	ServerClass = "standard"

	rackServers = 40 // servers of one rack

	seedStride = 1_000_003 // between the agents' seeds of two runs with successive seeds
)

// Range is a range of servers, by index.
type Range struct {
	First int `json:"first"`
	Count int `json:"count"`
}

// ZoneName names the zone with an index. Servers of a zone have successive indexes.
func ZoneName(index int) string { return fmt.Sprintf("zone-%02d", index) }

// zoneOf returns the zone of the server with an index, of count servers.
func zoneOf(index, count int) int { return index * Zones / count }

// ZoneRange returns the servers of a zone, of count servers.
func ZoneRange(zone, count int) Range {
	first := (zone*count + Zones - 1) / Zones
	return Range{First: first, Count: ((zone+1)*count+Zones-1)/Zones - first}
}

// ServiceName names the service with an index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// AgentSeed returns the seed of the agent with an index, hollow or real, in a run with a seed.
func AgentSeed(seed uint64, index int) uint64 { return seed*seedStride + uint64(index) }

// DrawServices draws the services that the reader with an index subscribes to, in order, from
// the seed. It returns nil, the full list, if subscribed is 0.
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
