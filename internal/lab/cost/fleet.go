package cost

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

const (
	// listeners is how many emulated servers really listen. The names of the list share
	// them in turn.
	listeners = 8
	// serviceTime is how long an emulated server takes for a call.
	serviceTime = time.Millisecond
	// heartbeat is how often an empty line shows that a quiet watch is alive.
	heartbeat = 2 * time.Second
	// listVersion is the version of the list, which never changes.
	listVersion = 42
	// cellSize is the number of servers in a cell.
	cellSize = 40
	// CallClass is the name of the one class of calls.
	CallClass = "read"
	// machineKind is the one kind of machine.
	machineKind = "standard"
)

var sites = []string{"zone-a", "zone-b", "zone-c"}

// Limits and settings of the agent under measurement.
const (
	AgentCores    = 1
	AgentMemoryMB = 256
	AgentSockets  = 1024
	// agentReplicas is the number of agents of the calling service: 39,000 in 1,900 services.
	agentReplicas = 20
)

// Fleet is what an agent under measurement sees: a list with many names, the service that
// serves the list, and a handful of emulated servers behind all the names.
//
// Several names dial the same address, so that 39,000 names need no 39,000 listeners. The
// agent keeps its connections by name, not by address, so it reuses them, or opens new ones,
// as it would with that many machines. Calls about the same key tend to the same server; how
// many connections a call opens is measured.
type Fleet struct {
	List      endpoints.List
	Addresses []string // of the emulated servers
	ListAddr  string   // of the list service
	Counters  Counters

	servers []*http.Server
	text    []byte // the whole list as JSON
	done    chan struct{}
	serving sync.WaitGroup
}

// Counters counts what reached the fleet since it was made.
type Counters struct {
	Calls, Probes, Connections       atomic.Int64 // at the emulated servers
	WholeLists, Watches, OpenWatches atomic.Int64 // at the list service
}

// NewFleet starts a fleet of that many listed servers on loopback addresses.
func NewFleet(servers int) (*Fleet, error) {
	fleet := &Fleet{done: make(chan struct{})}
	for range min(listeners, servers) {
		addr, err := fleet.serve(fleet.emulatedServer(), fleet.countConnection)
		if err != nil {
			fleet.Close()
			return nil, fmt.Errorf("emulated server: %w", err)
		}
		fleet.Addresses = append(fleet.Addresses, addr)
	}
	fleet.List = newList(servers, fleet.Addresses)
	text, err := json.Marshal(fleet.List)
	if err != nil {
		fleet.Close()
		return nil, fmt.Errorf("encode the list: %w", err)
	}
	fleet.text = text
	fleet.ListAddr, err = fleet.serve(fleet.listService(), nil)
	if err != nil {
		fleet.Close()
		return nil, fmt.Errorf("list service: %w", err)
	}
	return fleet, nil
}

func newList(servers int, addresses []string) endpoints.List {
	list := endpoints.List{Seq: listVersion, Full: true, Endpoints: make([]endpoints.Endpoint, servers)}
	for i := range list.Endpoints {
		list.Endpoints[i] = endpoints.Endpoint{Name: fmt.Sprintf("s-%05d", i), Dial: addresses[i%len(addresses)],
			Site: sites[i%len(sites)], Class: machineKind, Block: i / cellSize, Health: endpoints.Ready, Weight: 1}
	}
	return list
}

// serve starts an HTTP server on a free port and returns its address.
func (f *Fleet) serve(handler http.Handler, connState func(net.Conn, http.ConnState)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ConnState: connState, ErrorLog: log.New(io.Discard, "", 0)}
	f.servers = append(f.servers, server)
	f.serving.Add(1)
	go func() {
		defer f.serving.Done()
		_ = server.Serve(listener) // ends with Close
	}()
	return listener.Addr().String(), nil
}

// Close ends the fleet and waits for its listeners.
func (f *Fleet) Close() {
	close(f.done)
	for _, server := range f.servers {
		server.Close()
	}
	f.serving.Wait()
}

func (f *Fleet) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		f.Counters.Connections.Add(1)
	}
}

// emulatedServer answers each call after the service time, and probes at once.
func (f *Fleet) emulatedServer() http.Handler {
	const answer = "done"
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) { f.Counters.Probes.Add(1) })
	mux.HandleFunc("/status/load", func(w http.ResponseWriter, _ *http.Request) {
		f.Counters.Probes.Add(1)
		_, _ = io.WriteString(w, "TEXT util=0.1, inflight=0")
	})
	mux.HandleFunc("/"+CallClass+"/", func(w http.ResponseWriter, _ *http.Request) {
		f.Counters.Calls.Add(1)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, answer)
	})
	return mux
}

// listService serves the whole list, and a watch on which nothing changes.
func (f *Fleet) listService() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoints.Path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Query().Get("follow") == "1" {
			f.watch(w, r)
			return
		}
		f.Counters.WholeLists.Add(1)
		_, _ = w.Write(f.text)
	})
	return mux
}

func (f *Fleet) watch(w http.ResponseWriter, r *http.Request) {
	f.Counters.Watches.Add(1)
	f.Counters.OpenWatches.Add(1)
	defer f.Counters.OpenWatches.Add(-1)
	line := f.text
	if r.URL.Query().Get("since") == fmt.Sprint(listVersion) {
		line = fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[]}`, listVersion)
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		_, err := w.Write(append(line[:len(line):len(line)], '\n'))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		line = nil
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-f.done:
			return
		}
	}
}

// agentConfig is an agent's configuration file.
type agentConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    agentLimits    `json:"limits"`
	Known     endpoints.List `json:"known"`
	Settings  agentSettings  `json:"settings"`
}

type agentLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// agentSettings adds to the decisions' settings what only the agent's shell reads.
type agentSettings struct {
	policy.Settings
	FailureDomains []string `json:"failureDomains"`
	Shapes         []string `json:"shapes"`
}

// AgentConfig returns the configuration of an agent that listens at the address and knows
// the whole list from its start.
func (f *Fleet) AgentConfig(listen string, seed uint64) ([]byte, error) {
	text, err := json.Marshal(agentConfig{
		Name: "agent-cost", Listen: listen, Discovery: f.ListAddr, Seed: fmt.Sprintf("%016x", seed),
		Limits:   agentLimits{Cores: AgentCores, MemoryMB: AgentMemoryMB, Sockets: AgentSockets},
		Known:    f.List,
		Settings: agentSettings{Settings: settings(), FailureDomains: sites, Shapes: []string{machineKind}},
	})
	if err != nil {
		return nil, fmt.Errorf("agent configuration: %w", err)
	}
	return text, nil
}

// settings are close to the lab's defaults, which stand for the operators' deployment.
func settings() policy.Settings {
	s := policy.Settings{Replicas: agentReplicas, RoundMs: 5, Weights: "nominal", WeightBy: "request",
		Membership: "on_request", OverQuotaWeight: 0.1,
		Classes: []policy.Class{{Name: CallClass, TargetMs: 1200, DeadlineMs: float64(callTimeout / time.Millisecond),
			Effect: policy.Idempotent, Group: policy.GroupAll, DedupWindowMs: 5000, Credit: 3}},
		Limits: policy.Limits{Cancelling: true, ConnectTimeoutMs: 250, KeepaliveMs: 30000, MaxAttempts: 6,
			MaxRetryAfterMs: 2000, ParallelAttempts: true, Probing: true, RetryAfter: true},
		Contract: policy.Contract{AnswerSlackMs: 20, ListPollWithinMs: 10000, SlowStartFrom: 0.13, SlowStartMs: 24000,
			DrainGraceMs: 500, FallMultiple: 4, TipAfterMs: 1000},
		Prices:    policy.Prices{CrossZone: 0.1, LateFail: 0.023, Probe: 0.01, Waste: 0.25},
		Objective: policy.Objective{Overall: 0.55, WorstWindow: 0.25, WorstClass: 0.2},
		Report:    policy.Report{How: "on_probe", Names: []string{"util", "inflight"}}}
	s.Clients.MarksRetry = true
	s.FamilyInfo.WarmKeys = true
	return s
}
