package experiment

import (
	"knotrouter/internal/lab/link"
)

// The sorts of links: whose processes they lead from and to.
const (
	linkAgentToServer = iota
	linkAgentToDiscovery
	linkWorkerToControlPlane
	linkControlPlanePeers
)

// linkKey is the two ends of a link; to is -1 for discovery.
type linkKey struct{ kind, from, to int }

// controllableLink is one way by which two processes talk; a pair may have several.
type controllableLink interface {
	Set(forward, back link.Shape) error
	Refuse() error
	Close()
}

// udpLink is a wire that nobody connects over.
type udpLink struct{ *link.UDP }

func (d udpLink) Set(forward, back link.Shape) error {
	d.UDP.Set(forward, back)
	return nil
}

func (d udpLink) Refuse() error { return d.Set(link.Shape{Cut: true}, link.Shape{Cut: true}) }

// linkedAddress is where a process dials a steward: a link, where the timeline has a fault for the
// two. With both, datagrams go the same way.
func (s *controlPlane) linkedAddress(p linkKey, target string, both bool) (string, error) {
	if !s.faultyLinks[p] {
		return target, nil
	}
	seed := s.fleet.seed ^ uint64(p.kind*1_000_000+p.from*1000+p.to+1)
	k, err := link.New(s.fleet.addresses.IP()+":0", target, seed)
	if err != nil {
		return "", err
	}
	s.links[p] = append(s.links[p], k)
	if both {
		u, err := link.NewUDP(k.Addr(), target, seed+7)
		if err != nil {
			return "", err
		}
		s.links[p] = append(s.links[p], udpLink{u})
	}
	return k.Addr(), nil
}

// controlledLinks gives what a fault of links is done to.
func (fl *fleet) controlledLinks(pairs []linkKey) (out []controllableLink) {
	for _, p := range pairs {
		if k := fl.links[p]; k != nil {
			out = append(out, k)
		}
		if fl.controlPlane != nil {
			out = append(out, fl.controlPlane.links[p]...)
		}
	}
	return out
}
