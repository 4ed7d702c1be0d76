package agent

import (
	"hash/fnv"
	"io"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

var policyHealth = map[string]policy.Health{
	endpoints.Ready: policy.Ready, endpoints.Draining: policy.Draining, endpoints.Removed: policy.Gone,
}

// policyEntry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *nameIndex) policyEntry(h *endpoints.Endpoint) policy.Entry {
	at := func(m map[string]int, name string) int {
		if i, ok := m[name]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: policyAddr(h.Name), Zone: at(n.zones, h.Site), Cell: h.Block,
		Kind: at(n.kinds, h.Class), StartedMs: h.StartedMs, Health: policyHealth[h.Health], Weight: h.Weight}
}

// policyAddr gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func policyAddr(host string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

// affinityKey gives what a request is about its number, the same at every agent; 0 is none.
func affinityKey(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
