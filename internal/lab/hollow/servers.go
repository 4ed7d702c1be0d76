package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
)

const (
	// writerCount is the number of goroutines that register and renew servers. Each has its own client, and
	// successive clients start with successive control-plane servers.
	writerCount = 64
	// callTimeout limits one call to the control plane.
	callTimeout = 2 * time.Second
)

// server is one hollow server.
type server struct {
	endpoint endpoints.Endpoint
	renewing bool // the server is registered and renews its lease; false after removal or StopRenewing
}

// ref returns the reference to the server's current process.
func (s *server) ref() catalog.InstanceRef {
	return catalog.InstanceRef{Name: s.endpoint.Name, StartedMs: s.endpoint.StartedMs}
}

// Servers runs the hollow servers of one process.
type Servers struct {
	config    ServersConfig
	log       *slog.Logger
	meter     *meteredTransport
	clients   []*control.Client // by writer
	listeners []net.Listener    // of the emulated servers, in the order of the zones
	reachable [Zones]atomic.Bool
	counts    struct {
		renewals, renewalsFailed, registrations, configurations, restarts, changesFailed, leasesLost, served atomic.Int64
	}

	mu             sync.Mutex
	servers        []server
	renewingInZone [Zones]int
	rates          Rates
}

// NewServers creates hollow servers, which are not registered yet. Its error names the flag of the first
// invalid value in the configuration, or reports that an emulated server can't listen.
func NewServers(config ServersConfig, log *slog.Logger) (*Servers, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	p := &Servers{config: config, log: log}
	p.meter = newMeteredTransport(&http.Transport{MaxIdleConnsPerHost: writerCount, DisableCompression: true}, nil)
	for writer := range writerCount {
		client := control.NewClient(rotate(config.ControlPlane, writer), callTimeout)
		client.HTTP.Transport = p.meter
		p.clients = append(p.clients, client)
	}
	addresses, err := p.listenEmulated()
	if err != nil {
		return nil, err
	}
	for i := range config.Count {
		p.servers = append(p.servers, server{endpoint: endpoints.Endpoint{
			Name:    fmt.Sprintf("hollow-%05d", i),
			Dial:    addresses[p.emulatedIndex(i)],
			Site:    ZoneName(zoneOf(i, config.Count)),
			Class:   ServerClass,
			Block:   i / rackServers,
			Health:  endpoints.Ready,
			Weight:  baseWeight,
			Service: ServiceName(i % config.Services),
		}})
	}
	return p, nil
}

// rotate returns the addresses rotated so that the one at index first, modulo their number, comes first.
func rotate(addresses []string, first int) []string {
	rotated := make([]string, len(addresses))
	for i := range addresses {
		rotated[i] = addresses[(i+first)%len(addresses)]
	}
	return rotated
}

// Run serves requests and renews and changes servers until the context ends.
func (p *Servers) Run(ctx context.Context) {
	p.serveEmulated(ctx)
	var running sync.WaitGroup
	for writer := range writerCount {
		running.Go(func() { p.renewPartition(ctx, writer) })
	}
	running.Go(func() { p.generateChanges(ctx) })
	p.log.Info("hollow servers start", "count", p.config.Count, "control_plane", p.config.ControlPlane)
	running.Wait()
	state := p.State()
	p.log.Info("hollow servers end", "renewals", state.Renewals, "calls", state.Total.Calls)
}

// endpointOf returns the endpoint that a server registers, and whether it renews its lease.
func (p *Servers) endpointOf(index int) (endpoint endpoints.Endpoint, renewing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.servers[index]
	return s.endpoint, s.renewing
}

// setRenewing sets whether a server renews its lease. The caller holds p.mu.
func (p *Servers) setRenewing(index int, renewing bool) {
	s, zone := &p.servers[index], zoneOf(index, p.config.Count)
	switch {
	case renewing && !s.renewing:
		p.renewingInZone[zone]++
	case !renewing && s.renewing:
		p.renewingInZone[zone]--
	}
	s.renewing = renewing
	p.reachable[zone].Store(p.renewingInZone[zone] > 0)
}

// ServersState is the state and the totals of the hollow servers of a process, as sent to the process of a
// scale run.
type ServersState struct {
	Servers        int                `json:"servers"`
	Renewing       int                `json:"renewed"` // servers that are registered and renew their leases
	Renewals       int64              `json:"renewals"`
	RenewalsFailed int64              `json:"renewals_failed"` // failed calls, each of which renews a batch of servers
	Registrations  int64              `json:"registrations"`
	LeasesLost     int64              `json:"lapsed"` // renewals of servers that the control plane did not know
	Configurations int64              `json:"configurations"`
	Restarts       int64              `json:"restarts"`
	ChangesFailed  int64              `json:"changes_failed"`
	Served         int64              `json:"served"` // requests that the emulated servers answered
	Total          Traffic            `json:"total"`
	ByAddress      map[string]Traffic `json:"by_address"`
}

// State returns the state and the totals of the servers.
func (p *Servers) State() ServersState {
	state := ServersState{
		Servers:        p.config.Count,
		Renewals:       p.counts.renewals.Load(),
		RenewalsFailed: p.counts.renewalsFailed.Load(),
		Registrations:  p.counts.registrations.Load(),
		LeasesLost:     p.counts.leasesLost.Load(),
		Configurations: p.counts.configurations.Load(),
		Restarts:       p.counts.restarts.Load(),
		ChangesFailed:  p.counts.changesFailed.Load(),
		Served:         p.counts.served.Load(),
	}
	state.ByAddress, state.Total = p.meter.traffic()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.servers {
		if p.servers[i].renewing {
			state.Renewing++
		}
	}
	return state
}
