package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/lab/server"
)

// controlPlaneRequestTimeout bounds one request of the lab to the control plane.
const controlPlaneRequestTimeout = 2 * time.Second

// registerRetryInterval is the time between attempts to register a server.
const registerRetryInterval = 200 * time.Millisecond

// renewalsPerLease is the number of renewals of a registration within the duration of its lease.
const renewalsPerLease = 3

func controlPlaneName(i int) string { return fmt.Sprintf("st-%d", i+1) }

// controlPlane runs the control-plane servers of a fleet, registers the emulated servers with them,
// and watches their endpoint lists. An agent counts as notified of a change once the lab's own watches
// have received it from every control-plane server that the agent may use.
type controlPlane struct {
	fleet      *fleet
	processes  []*process.Process
	addresses  []string // HTTP addresses, by control-plane server
	client     *control.Client
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	views    []watchView                  // latest state received on a watch, by control-plane server
	notified []map[int]endpoints.Endpoint // last state that was reported to the checker, by agent and server
	links    map[linkKey][]controllableLink
	// faultyLinks are the links that a fault of the timeline applies to.
	faultyLinks map[linkKey]bool

	mu             sync.Mutex
	registered     map[int]bool            // by server: whether the server is up, so that its registration is renewed
	muted          map[int]bool            // by server: whether the renewals are suppressed
	sentAt         map[int64]time.Duration // by list version: time at which the change was sent
	propagation    *hdrhistogram.Histogram // delays from sending a change until a watch received it, in µs
	lastWatchDelay map[int64]time.Duration // by list version: delay until the last watch had received the change
}

// watchView is the state that one control-plane server has sent to the lab's watch.
type watchView struct {
	up        bool
	lastUpAt  time.Duration
	endpoints map[int]endpoints.Endpoint // listed servers, by server index
}

// newControlPlane prepares the control-plane servers: addresses, links, configuration files
// and processes. It starts nothing.
func newControlPlane(fl *fleet) (*controlPlane, error) {
	cp := &controlPlane{
		fleet:          fl,
		registered:     map[int]bool{},
		muted:          map[int]bool{},
		sentAt:         map[int64]time.Duration{},
		lastWatchDelay: map[int64]time.Duration{},
		propagation:    newLatencyHistogram(),
		links:          map[linkKey][]controllableLink{},
		faultyLinks:    map[linkKey]bool{},
	}
	for i := range fl.config.Faults {
		for _, key := range fl.linkKeys(&fl.config.Faults[i]) {
			cp.faultyLinks[key] = true
		}
	}
	cp.ctx, cp.cancel = context.WithCancel(context.Background())
	command, err := findProgram("stewards.command", fl.config.ControlPlane.Command)
	if err != nil {
		return nil, err
	}
	addresses, err := cp.reserveAddresses()
	if err != nil {
		return nil, err
	}
	cp.client = control.NewClient(cp.addresses, controlPlaneRequestTimeout)
	cp.views = make([]watchView, len(cp.addresses))
	for i := range cp.views {
		cp.views[i].endpoints = map[int]endpoints.Endpoint{}
	}
	cp.notified = make([]map[int]endpoints.Endpoint, fl.config.Agents.Count)
	for i := range cp.notified {
		cp.notified[i] = map[int]endpoints.Endpoint{}
	}
	for i := range cp.addresses {
		name := controlPlaneName(i)
		configPath, err := cp.writeConfig(i, addresses)
		if err != nil {
			return nil, err
		}
		cp.processes = append(cp.processes, fl.supervisor.Add(process.Spec{Name: name, Path: command, Args: []string{"serve", "--config", configPath},
			Log: filepath.Join(fl.dir, "logs", name+".log")}))
	}
	return cp, nil
}

// controlPlaneAddresses are the addresses that one control-plane server listens on.
type controlPlaneAddresses struct{ http, raft, gossip string }

// reserveAddresses reserves the addresses of each control-plane server.
func (cp *controlPlane) reserveAddresses() ([]controlPlaneAddresses, error) {
	reserved := make([]controlPlaneAddresses, cp.fleet.config.ControlPlane.Count)
	for i := range reserved {
		for _, address := range []*string{&reserved[i].http, &reserved[i].raft, &reserved[i].gossip} {
			var err error
			if *address, err = cp.fleet.addresses.FreePort(); err != nil {
				return nil, err
			}
		}
		cp.addresses = append(cp.addresses, reserved[i].http)
	}
	return reserved, nil
}

// configText returns the configuration file of one control-plane server. It creates the links
// through which the server dials its peers.
func (cp *controlPlane) configText(index int, addresses []controlPlaneAddresses) (string, error) {
	config := cp.fleet.config
	own := addresses[index]
	text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\nlease_ttl = %q\nzone = %q\nevidence = %v\n", controlPlaneName(index),
		cp.dataDir(index), own.http, own.raft, config.ControlPlane.LeaseTTL, config.Zones[index%len(config.Zones)], config.ControlPlane.Evidence)
	if config.ControlPlane.Gossip {
		text += fmt.Sprintf("gossip = %q\n", own.gossip)
	}
	for peer, peerAddresses := range addresses {
		key := linkKey{linkControlPlanePeers, index, peer}
		http, err := cp.linkedAddress(key, peerAddresses.http, false)
		if err != nil {
			return "", err
		}
		raft, err := cp.linkedAddress(key, peerAddresses.raft, false)
		if err != nil {
			return "", err
		}
		gossip, err := cp.linkedAddress(key, peerAddresses.gossip, true)
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", controlPlaneName(peer), http, raft)
		if config.ControlPlane.Gossip {
			text += fmt.Sprintf("gossip = %q\n", gossip)
		}
	}
	return text, nil
}

func (cp *controlPlane) dataDir(index int) string {
	return filepath.Join(cp.fleet.dir, "stewards", controlPlaneName(index))
}

// writeConfig writes the configuration file of one control-plane server and returns its path. It
// removes data that an earlier run left in the same directory.
func (cp *controlPlane) writeConfig(index int, addresses []controlPlaneAddresses) (string, error) {
	text, err := cp.configText(index, addresses)
	if err != nil {
		return "", err
	}
	path := cp.dataDir(index) + ".toml"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", fmt.Errorf("steward configuration: %w", err)
	}
	if err := os.RemoveAll(cp.dataDir(index)); err != nil {
		return "", fmt.Errorf("steward configuration: %w", err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", fmt.Errorf("steward configuration: %w", err)
	}
	return path, nil
}

// start starts the control-plane servers, registers every emulated server, and starts the
// watches and the renewals. It returns once all servers are registered.
func (cp *controlPlane) start(ctx context.Context) error {
	for _, p := range cp.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, srv := range cp.fleet.servers {
		cp.mu.Lock()
		cp.registered[i] = true
		cp.mu.Unlock()
		if err := retry(ctx, "stewards: server "+srv.Name+" could not be registered", func() error { return cp.register(ctx, srv) }); err != nil {
			return err
		}
	}
	watches := cp.fleet.config.ControlPlane.Watches
	for i := range max(len(cp.addresses), watches) {
		cp.background.Add(1)
		go func() {
			defer cp.background.Done()
			cp.watch(i%len(cp.addresses), i < len(cp.addresses))
		}()
	}
	cp.background.Add(1)
	go func() {
		defer cp.background.Done()
		cp.renewLeases()
	}()
	return nil
}

// close stops the watches and renewals and closes the links. The supervisor ends the processes.
func (cp *controlPlane) close() {
	cp.cancel()
	cp.background.Wait()
	for _, links := range cp.links {
		for _, l := range links {
			l.Close()
		}
	}
}

// endpointOf returns the registration of a server.
func (cp *controlPlane) endpointOf(srv *server.Server) endpoints.Endpoint {
	health := endpoints.Ready
	if srv.Health() == endpoints.Draining {
		health = endpoints.Draining
	}
	return endpoints.Endpoint{Name: srv.Name, Dial: srv.Addr(), Site: srv.Zone, Class: srv.MachineType, Block: srv.Cell, Health: health,
		Weight: srv.Weight, StartedMs: float64(srv.StartedMs())}
}

// register registers a server and records when its change was sent.
func (cp *controlPlane) register(ctx context.Context, srv *server.Server) error {
	began := cp.fleet.clock()
	r, err := cp.client.Register(ctx, cp.endpointOf(srv))
	if err == nil {
		cp.mu.Lock()
		cp.sentAt[r.Seq] = began
		cp.mu.Unlock()
	}
	return err
}

// serverChanged registers a server again in the background after a change of its health. A removed server
// is not registered, because a failed server can't report its own failure: the control plane has to detect
// the failure.
func (cp *controlPlane) serverChanged(srv *server.Server, health string) {
	cp.mu.Lock()
	cp.registered[srv.Index] = health != endpoints.Removed
	cp.mu.Unlock()
	if health == endpoints.Removed {
		return
	}
	cp.background.Add(1)
	go func() {
		defer cp.background.Done()
		for srv.Health() == health && cp.register(cp.ctx, srv) != nil {
			if !sleep(cp.ctx, registerRetryInterval) {
				return
			}
		}
	}()
}

// renewLeases renews the registrations of all servers that are up until the control plane is closed. One
// request renews all of them, as a host does for its servers.
func (cp *controlPlane) renewLeases() {
	for sleep(cp.ctx, cp.fleet.config.ControlPlane.LeaseTTL/renewalsPerLease) {
		var refs []catalog.InstanceRef
		var renewed []*server.Server
		cp.mu.Lock()
		for i, srv := range cp.fleet.servers {
			if cp.registered[i] && !cp.muted[i] {
				refs = append(refs, catalog.InstanceRef{Name: srv.Name, StartedMs: float64(srv.StartedMs())})
				renewed = append(renewed, srv)
			}
		}
		cp.mu.Unlock()
		r, err := cp.client.Renew(cp.ctx, refs)
		if err != nil {
			continue
		}
		for i, code := range r.Codes {
			if code == catalog.Unknown { // the registration expired although the server is up
				_ = cp.register(cp.ctx, renewed[i])
			}
		}
	}
}

// setMuted suppresses or resumes the renewals of a server.
func (cp *controlPlane) setMuted(server int, muted bool) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.muted[server] = muted
}

// fetchList returns the full endpoint list, or false if no control-plane server answers in time.
func (cp *controlPlane) fetchList() (endpoints.List, bool) {
	ctx, cancel := context.WithTimeout(cp.ctx, controlPlaneRequestTimeout)
	defer cancel()
	list, err := cp.client.List(ctx)
	return list, err == nil
}

// applyFault injects a fault into control-plane servers and returns the number of targets.
func (cp *controlPlane) applyFault(ctx context.Context, f *Fault, rng *rand.Rand) (int, error) {
	return cp.fleet.applyProcessFault(ctx, cp.processes, f, rng)
}
