package experiment

import (
	"knotrouter/internal/lab/link"
)

// The kinds of links, by the processes at their two ends.
const (
	linkAgentToServer = iota
	linkAgentToDiscovery
	linkWorkerToControlPlane
	linkControlPlanePeers
)

// discoveryIndex stands for the emulated list service as the far end of a link.
const discoveryIndex = -1

// linkKey identifies a link by its kind and the indexes of the processes at its ends.
type linkKey struct{ kind, from, to int }

// controllableLink is a link that faults can be injected into. One linkKey may have several, for streams
// and datagrams.
type controllableLink interface {
	// Set shapes the traffic in both directions from now on.
	Set(forward, back link.Shape) error
	// Refuse refuses new connections.
	Refuse() error
	Close()
}

// udpLink adapts a link for datagrams to controllableLink.
type udpLink struct{ *link.UDP }

// Set shapes the datagrams in both directions. It always returns nil.
func (d udpLink) Set(forward, back link.Shape) error {
	d.UDP.Set(forward, back)
	return nil
}

// Refuse drops all datagrams, because there are no connections to refuse.
func (d udpLink) Refuse() error { return d.Set(link.Shape{Cut: true}, link.Shape{Cut: true}) }

// createLinks creates the links from agents to servers and discovery that a fault of the timeline applies
// to. The links to control-plane servers are created together with the control plane. A baseline runs
// within the lab and has no links.
func (fl *fleet) createLinks() error {
	if fl.policy != "" {
		return nil
	}
	for i := range fl.config.Faults {
		f := &fl.config.Faults[i]
		for _, key := range fl.linkKeys(f) {
			if fl.links[key] != nil || key.kind > linkAgentToDiscovery {
				continue
			}
			target := fl.linkTarget(key)
			l, err := link.New(fl.addresses.IP()+":0", target, fl.seed^uint64(key.from*1000+key.to+1))
			if err != nil {
				return err
			}
			fl.links[key] = l
		}
	}
	return nil
}

// linkTarget returns the address that an agent's link forwards to.
func (fl *fleet) linkTarget(key linkKey) string {
	if key.to == discoveryIndex {
		return fl.discovery.Addr(key.from)
	}
	return fl.servers[key.to].Addr()
}

// linkKeys returns the keys of the links that a fault applies to, or none for a fault of another target.
func (fl *fleet) linkKeys(f *Fault) []linkKey {
	if targetKind, err := fl.config.faultTargetKind(f); err != nil || targetKind != targetLink {
		return nil
	}
	rng := f.rng(fl.seed)
	var keys []linkKey
	from := fl.config.selectTargets(f.Target, rng)
	if targetKind, _ := fl.config.selectorKind(f.To); targetKind == targetDiscovery {
		for _, fromIndex := range from {
			keys = append(keys, linkKey{linkAgentToDiscovery, fromIndex, discoveryIndex})
		}
		return keys
	}
	to := fl.config.selectTargets(f.To, rng)
	kind := linkAgentToServer
	switch targetKind, _ := fl.config.selectorKind(f.Target); targetKind {
	case targetWorkers:
		kind = linkWorkerToControlPlane
	case targetControlPlane:
		kind = linkControlPlanePeers
	}
	for _, fromIndex := range from {
		for _, toIndex := range to {
			if key := (linkKey{kind, fromIndex, toIndex}); kind != linkControlPlanePeers || fromIndex != toIndex {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// serverDialAddr returns the address at which an agent reaches a server: the address of the link between
// them, or the server's own if there is no link.
func (fl *fleet) serverDialAddr(agent, server int) string {
	if l := fl.links[linkKey{linkAgentToServer, agent, server}]; l != nil {
		return l.Addr()
	}
	return fl.servers[server].Addr()
}

// linkIsClear reports whether the lab can't have delayed the current traffic between an agent and a server:
// there is no link between them, or the link has not shaped traffic for at least twice the longest request
// duration.
func (fl *fleet) linkIsClear(agent, server int) bool {
	l := fl.links[linkKey{linkAgentToServer, agent, server}]
	return l == nil || l.UnshapedFor(2*fl.maxRequestDuration())
}

// linkedAddress returns the address at which a process reaches a control-plane server: the address of a
// new link if a fault of the timeline applies to the pair, or else target itself. With datagrams, the
// link also forwards UDP at the same address.
func (cp *controlPlane) linkedAddress(key linkKey, target string, datagrams bool) (string, error) {
	if !cp.faultyLinks[key] {
		return target, nil
	}
	seed := cp.fleet.seed ^ uint64(key.kind*1_000_000+key.from*1000+key.to+1)
	stream, err := link.New(cp.fleet.addresses.IP()+":0", target, seed)
	if err != nil {
		return "", err
	}
	cp.links[key] = append(cp.links[key], stream)
	if datagrams {
		udp, err := link.NewUDP(stream.Addr(), target, seed+7)
		if err != nil {
			return "", err
		}
		cp.links[key] = append(cp.links[key], udpLink{udp})
	}
	return stream.Addr(), nil
}

// controlledLinks returns the existing links with the given keys.
func (fl *fleet) controlledLinks(keys []linkKey) (links []controllableLink) {
	for _, key := range keys {
		if l := fl.links[key]; l != nil {
			links = append(links, l)
		}
		if fl.controlPlane != nil {
			links = append(links, fl.controlPlane.links[key]...)
		}
	}
	return links
}
