package gossip

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"knotrouter/internal/member"
)

// pingServers pings the other control-plane servers until the Node is closed.
func (n *Node) pingServers() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	var pings callGroup
	defer pings.wait()
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		servers := n.otherServers()
		n.WithTracker(func(now time.Duration, t *member.Tracker) {
			for _, name := range servers {
				t.ExpectPeer(now, name)
			}
		})
		pings.start(servers, n.ping)
	}
}

// ping pings one member. The transport looks up the address by name; the address passed here is ignored.
func (n *Node) ping(name string) {
	if _, err := n.memberlist.Ping(name, &net.UDPAddr{IP: net.IPv4zero}); err == nil {
		n.WithTracker(func(now time.Duration, t *member.Tracker) { t.PeerAnswered(now, name) })
	}
}

// sendFullReports sends a full report to each of the other control-plane servers in each interval,
// until the Node is closed. The library's push/pull exchange, with one randomly chosen member at a
// time, reaches each server too rarely.
func (n *Node) sendFullReports() {
	ticker := time.NewTicker(fullReportInterval)
	defer ticker.Stop()
	var sends callGroup
	defer sends.wait()
	for {
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
		report := n.fullReport()
		sends.start(n.otherServers(), func(name string) { n.sendReport(name, report) })
	}
}

// sendReport sends a report to one member, if it is alive, over a stream.
func (n *Node) sendReport(name string, report []byte) {
	if _, alive := n.aliveNames.Load(name); !alive {
		return
	}
	// The transport looks up the address by name; the address passed here is ignored.
	to := &memberlist.Node{Name: name, Addr: net.IPv4zero}
	if err := n.memberlist.SendReliable(to, report); err != nil {
		n.log.Debug("full gossip report not sent", "member", name, "err", err)
	}
}

// otherServers returns the other control-plane servers that have not left: all of them, or a random
// selection of maxContactedServers.
func (n *Node) otherServers() (names []string) {
	v := n.View()
	for i := range v.Members {
		e := &v.Members[i]
		if e.Role == member.RoleControlPlane && e.Name != n.config.Self.Name && e.State != member.Left {
			names = append(names, e.Name)
		}
	}
	if len(names) > maxContactedServers {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:maxContactedServers]
	}
	return names
}

// callGroup runs each call in its own goroutine, with at most one call per name at a time.
type callGroup struct {
	inProgress sync.Map // names whose call is in progress
	goroutines sync.WaitGroup
}

// start starts call for each name, except for names whose earlier call is still in progress.
func (g *callGroup) start(names []string, call func(name string)) {
	for _, name := range names {
		if _, busy := g.inProgress.LoadOrStore(name, true); busy {
			continue
		}
		g.goroutines.Go(func() {
			defer g.inProgress.Delete(name)
			call(name)
		})
	}
}

// wait returns once all calls have returned.
func (g *callGroup) wait() { g.goroutines.Wait() }
