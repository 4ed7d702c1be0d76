package main

import (
	"fmt"
	"sync"
	"testing"

	"knotrouter/internal/lab/link"
)

// cutShape is the shape of a link that lets nothing through.
var cutShape = link.Shape{Cut: true}

// gossipMesh holds the links, other than those for replication, over which the servers of a cluster gossip and call
// each other: for each ordered pair, one for datagrams and one for each address that the first server dials.
type gossipMesh struct {
	cluster   *testCluster
	streams   map[serverPair]map[string]*link.Link // by the address that they lead to
	datagrams map[serverPair]*link.UDP
	shapes    map[serverPair]link.Shape
	nonVoters map[string]bool
}

// newGossipCluster returns a cluster of servers that gossip. They are configured but not started.
func newGossipCluster(t testing.TB, n int, extraConfig string, nonVoters ...string) *testCluster {
	t.Helper()
	cluster := newUnstartedCluster(t, n)
	cluster.mesh = &gossipMesh{
		cluster:   cluster,
		streams:   map[serverPair]map[string]*link.Link{},
		datagrams: map[serverPair]*link.UDP{},
		shapes:    map[serverPair]link.Shape{},
		nonVoters: map[string]bool{},
	}
	for _, name := range nonVoters {
		cluster.mesh.nonVoters[name] = true
	}
	cluster.extraConfig = "heartbeat = \"500ms\"\nlease_ttl = \"3s\"\nsnapshot_every = 64\nsnapshot_check = \"500ms\"\n" + extraConfig
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
	}
	return cluster
}

// startAll starts all servers and waits until one leads and their views of the members are equal.
func (cluster *testCluster) startAll() {
	cluster.t.Helper()
	cluster.startServers(cluster.names)
	cluster.waitForLeader()
	cluster.waitForEqualViews(cluster.names...)
}

// close closes all links.
func (m *gossipMesh) close() {
	for _, links := range m.streams {
		for _, l := range links {
			l.Close()
		}
	}
	for _, u := range m.datagrams {
		u.Close()
	}
}

// streamAddr returns the address of the link over which one server dials target, an address of another. It creates
// the link at the first use.
func (m *gossipMesh) streamAddr(from, to, target string) string {
	m.cluster.t.Helper()
	key := serverPair{from, to}
	if m.streams[key] == nil {
		m.streams[key] = map[string]*link.Link{}
	}
	if m.streams[key][target] == nil {
		l, err := link.New(m.cluster.addrs.IP()+":0", target, 1)
		if err != nil {
			m.cluster.t.Fatal(err)
		}
		m.streams[key][target] = l
	}
	return m.streams[key][target].Addr()
}

// peerConfig returns the gossip settings of a peer, or of the server itself, in the server's configuration.
func (m *gossipMesh) peerConfig(from, to string) string {
	m.cluster.t.Helper()
	addr := m.cluster.servers[to].gossip
	if from != to {
		addr = m.streamAddr(from, to, addr)
		if key := (serverPair{from, to}); m.datagrams[key] == nil {
			u, err := link.NewUDP(addr, m.cluster.servers[to].gossip, uint64(len(m.datagrams)))
			if err != nil {
				m.cluster.t.Fatal(err)
			}
			m.datagrams[key] = u
		}
	}
	text := fmt.Sprintf("gossip = %q\n", addr)
	if m.nonVoters[to] {
		text += "spare = true\n"
	}
	return text
}

// shapeOneWay shapes what one server sends to another, whichever of the two has opened the connection.
func (m *gossipMesh) shapeOneWay(from, to string, shape link.Shape) {
	m.cluster.t.Helper()
	m.applyShape(shape, serverPair{from, to})
}

// shapeBetween shapes the traffic between two groups of servers in both directions.
func (m *gossipMesh) shapeBetween(group, otherGroup []string, shape link.Shape) {
	m.cluster.t.Helper()
	var pairs []serverPair
	for _, a := range group {
		for _, b := range otherGroup {
			if a != b {
				pairs = append(pairs, serverPair{a, b}, serverPair{b, a})
			}
		}
	}
	m.applyShape(shape, pairs...)
}

// applyShape shapes what the first server of each pair sends to the second, and keeps the shapes of the opposite
// directions. The servers must be configured, as all links exist only then.
func (m *gossipMesh) applyShape(shape link.Shape, pairs ...serverPair) {
	m.cluster.t.Helper()
	changed := map[serverPair]bool{}
	for _, pair := range pairs {
		m.shapes[pair] = shape
		changed[pair], changed[reverse(pair)] = true, true
	}
	// In parallel, as Set on a link that is cut returns only after it has filled a queue.
	var setting sync.WaitGroup
	for pair := range changed {
		forward, back := m.shapes[pair], m.shapes[reverse(pair)]
		m.datagrams[pair].Set(forward, back)
		streams := []*link.Link{m.cluster.links[pair]}
		for _, l := range m.streams[pair] {
			streams = append(streams, l)
		}
		for _, l := range streams {
			setting.Go(func() {
				if err := l.Set(forward, back); err != nil {
					m.cluster.t.Error(err)
				}
			})
		}
	}
	setting.Wait()
}

// reverse returns the pair of the opposite direction.
func reverse(pair serverPair) serverPair { return serverPair{pair[1], pair[0]} }
