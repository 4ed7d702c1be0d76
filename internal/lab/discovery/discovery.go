// Package discovery emulates the discovery service of the platform that hosts the agents. The service lists
// the servers for the agents, and the package implements its protocol: full lists, and watches of changes.
//
// Like a real discovery service, the emulated one learns of changes with a delay (Config), handles a limited
// number of calls at the same time, fails calls that would wait too long, and can have outages. Each agent
// reaches the service at an address of the agent's own, which can change.
//
// The methods of Service are safe for concurrent use. Service.mu guards the list and the agents'
// listeners; each call and watch runs in a goroutine of net/http. The callbacks of Env, apart from
// DialAddr, are called without the lock.
package discovery

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
)

// Config configures the behaviour of the service. Each delay is a range, a lower and an upper bound, from
// which the delay of a change is drawn.
type Config struct {
	RemovalDelay        []time.Duration `koanf:"notice"`        // from a server's end or drain to the change of the list
	SilentRemovalDelay  []time.Duration `koanf:"silent_notice"` // from a machine's isolation to the change of the list
	StartDelay          []time.Duration `koanf:"add"`           // from a server's start to the change of the list
	BatchInterval       time.Duration   `koanf:"period"`        // interval in which changes are combined into one line of a watch
	ServiceTime         time.Duration   `koanf:"call"`          // base service time of a call
	ServiceTimePerEntry time.Duration   `koanf:"line"`          // additional service time per entry of the response
	QueueTimeout        time.Duration   `koanf:"timeout"`       // longest wait in the queue; longer calls fail; 0: no timeout
	MaxConcurrentCalls  int             `koanf:"capacity"`
}

const (
	// firstRevision is the revision of the first list. It is not 0, as if the service had run before.
	firstRevision = 41
	// delayDrawStream is the stream number of the random source from which the delays are drawn.
	delayDrawStream = 7
)

// Env is the environment that the experiment provides to the service.
type Env struct {
	Clock   check.Clock
	Checker *check.Checker
	Agents  []string // names of the agents
	// DialAddr returns the address at which the agent reaches the server.
	DialAddr func(agent, server int) string
	// RecordEvent adds an event to the log of the run.
	RecordEvent func(name string)
}

// Counters are the totals since the service was created.
type Counters struct {
	Calls       atomic.Int64 // calls for lists and watches
	FullLists   atomic.Int64 // full lists sent in response to calls other than watches
	OpenWatches atomic.Int64 // watches that are open now
	EntriesSent atomic.Int64 // entries sent in lists and watches
	FailedCalls atomic.Int64 // calls that timed out in the queue or were canceled while they waited
}

// Service is the emulated discovery service of one fleet.
type Service struct {
	Counters

	config     Config
	env        Env
	addresses  *loopback.AddressBlock
	accepted   *loopback.SharedListener // passes connections from the agents' listeners to the HTTP server
	httpServer *http.Server
	calls      *callQueue
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu             sync.Mutex
	agentListeners []*agentListener // by agent
	available      bool             // false during an outage
	list           serverList
	changed        chan struct{} // closed at the next change of the list
	latestReport   map[int]int   // by server: number of the latest health report, from 1
	rng            *rand.Rand
}

// New starts a service that lists the entries, which are indexed by server. The seed determines the
// delays. It returns an error if it can't listen. The caller must close the service.
func New(config Config, env Env, addresses *loopback.AddressBlock, entries []Entry, seed uint64) (*Service, error) {
	s := &Service{
		config:       config,
		env:          env,
		addresses:    addresses,
		accepted:     loopback.NewSharedListener(),
		calls:        newCallQueue(config.MaxConcurrentCalls),
		available:    true,
		list:         newServerList(entries),
		changed:      make(chan struct{}),
		latestReport: map[int]int{},
		rng:          rand.New(rand.NewPCG(seed, delayDrawStream)),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.httpServer = &http.Server{
		Handler:  s,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, agentContextKey{}, nc.(*conn).agent)
		},
	}
	for agent := range env.Agents {
		listener, err := s.listen(agent)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.agentListeners = append(s.agentListeners, listener)
	}
	for server, entry := range entries {
		if entry.Health != unlisted {
			env.Checker.RecordDiscovery(server, entry.Health, entry.StartedMs)
		}
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		_ = s.httpServer.Serve(s.accepted)
	}()
	return s, nil
}

// Close stops the service: it closes the listeners, resets all connections and waits for the service's
// goroutines. Health reports whose delay has not passed are dropped.
func (s *Service) Close() {
	s.cancel()
	for _, listener := range s.allListeners() {
		listener.close()
	}
	s.accepted.Close()
	s.httpServer.Close()
	s.background.Wait()
}

// StartOutage makes the service unavailable: watches end and new connections are refused. The list is
// still updated.
func (s *Service) StartOutage() {
	s.mu.Lock()
	s.available = false
	s.mu.Unlock()
	s.env.Checker.SetDiscoveryUp(false)
	for _, listener := range s.allListeners() {
		listener.tcp.Refuse()
		listener.openConns.Reset()
	}
	s.env.RecordEvent("discovery down")
}

// EndOutage makes the service available again at the same addresses. It returns an error if it can't
// listen.
func (s *Service) EndOutage() error {
	s.mu.Lock()
	s.available = true
	s.mu.Unlock()
	for _, listener := range s.allListeners() {
		if err := listener.tcp.Open(); err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
	}
	s.env.Checker.SetDiscoveryUp(true)
	s.env.RecordEvent("discovery up")
	return nil
}

// allListeners returns the current listeners of all agents.
func (s *Service) allListeners() []*agentListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.agentListeners)
}
