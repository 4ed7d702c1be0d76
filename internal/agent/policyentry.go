package agent

import (
	"hash/fnv"
	"io"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// policyHealth maps the health of a listed server to the balancer's.
var policyHealth = map[string]policy.Health{
	endpoints.Ready: policy.Ready, endpoints.Draining: policy.Draining, endpoints.Removed: policy.Gone,
}

// policyEntry converts a listed server for the balancer. A zone or kind that the settings don't
// name becomes -1.
func (n *nameIndex) policyEntry(ep *endpoints.Endpoint) policy.Entry {
	indexOf := func(m map[string]int, name string) int {
		if i, ok := m[name]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: policyAddr(ep.Name), Zone: indexOf(n.zones, ep.Site), Cell: ep.Block,
		Kind: indexOf(n.kinds, ep.Class), StartedMs: ep.StartedMs, Health: policyHealth[ep.Health], Weight: ep.Weight}
}

// policyAddr returns the address that stands for a server in the balancer. It is derived from the
// name alone, so that it is the same at every agent and does not change with the address to dial.
func policyAddr(name string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, name)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

// affinityKey hashes the last segment of a request's path, with the same result at every agent. It
// is never 0, which means no key.
func affinityKey(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
