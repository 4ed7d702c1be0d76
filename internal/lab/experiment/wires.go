package experiment

import (
	"knotrouter/internal/lab/link"
)

// The sorts of links: whose processes they lead from and to.
const (
	agentToServer = iota
	agentToDiscovery
	workerToSteward
	stewardToSteward
)

// pair is the two ends of a link; to is -1 for discovery.
type pair struct{ kind, agent, to int }

// wire is one way by which two processes talk; a pair may have several.
type wire interface {
	Set(forward, back link.Shape) error
	Refuse() error
	Close()
}

// datagrams is a wire that nobody connects over.
type datagrams struct{ *link.UDP }

func (d datagrams) Set(forward, back link.Shape) error {
	d.UDP.Set(forward, back)
	return nil
}

func (d datagrams) Refuse() error { return d.Set(link.Shape{Cut: true}, link.Shape{Cut: true}) }

// reach is where a process dials a steward: a link, where the timeline has a fault for the
// two. With both, datagrams go the same way.
func (s *stewards) reach(p pair, target string, both bool) (string, error) {
	if !s.faulty[p] {
		return target, nil
	}
	seed := s.l.seed ^ uint64(p.kind*1_000_000+p.agent*1000+p.to+1)
	k, err := link.New(s.l.addrs.IP()+":0", target, seed)
	if err != nil {
		return "", err
	}
	s.wires[p] = append(s.wires[p], k)
	if both {
		u, err := link.NewUDP(k.Addr(), target, seed+7)
		if err != nil {
			return "", err
		}
		s.wires[p] = append(s.wires[p], datagrams{u})
	}
	return k.Addr(), nil
}

// wiresOf gives what a fault of links is done to.
func (l *lane) wiresOf(pairs []pair) (out []wire) {
	for _, p := range pairs {
		if k := l.links[p]; k != nil {
			out = append(out, k)
		}
		if l.list != nil {
			out = append(out, l.list.wires[p]...)
		}
	}
	return out
}
