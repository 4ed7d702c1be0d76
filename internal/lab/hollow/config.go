package hollow

import (
	"errors"
	"fmt"
	"net"
	"time"

	"knotrouter/internal/endpoints"
)

// Limits of one process.
const (
	MaxAgents  = 19_000 // each agent needs a descriptor, and a process may open 20,000
	MaxServers = 100_000

	maxSources         = 250
	maxEmulatedPerZone = 40
	maxRenewBatch      = 2000
)

// AgentsConfig configures the hollow agents of one process.
type AgentsConfig struct {
	ControlPlane []string      // HTTP addresses of the control-plane servers
	Count        int           // number of hollow agents in this process
	First        int           // index of the first hollow agent in the fleet
	Fleet        int           // number of agents in the whole fleet; 0: Count
	Seed         uint64        // seed of the order of addresses, the jitter and the subscriptions
	StartSpread  time.Duration // time over which the agents are started evenly; 0: all at once
	Services     int           // number of services in the fleet
	Subscribed   int           // number of services that each agent subscribes to; 0: the full list
	Sources      []string      // local addresses of connections, used in turn; empty: chosen by the kernel
}

// Validate returns an error that names the flag of the first invalid value, or nil.
func (c *AgentsConfig) Validate() error {
	if err := validateProcess(c.ControlPlane, c.Count, MaxAgents); err != nil {
		return err
	}
	switch {
	case c.First < 0:
		return fmt.Errorf("--first: must be 0 or above, is %d", c.First)
	case c.Fleet < 0:
		return fmt.Errorf("--fleet: must be 0 or above, is %d", c.Fleet)
	case c.StartSpread < 0 || c.StartSpread > time.Hour:
		return fmt.Errorf("--spread: must be 0 to 1h, is %v", c.StartSpread)
	case c.Services < 1 || c.Services > MaxServers:
		return fmt.Errorf("--services: must be 1 to %d, is %d", MaxServers, c.Services)
	case c.Subscribed < 0 || c.Subscribed > c.Services:
		return fmt.Errorf("--subscribed: must be 0 to the number of services (%d), is %d", c.Services, c.Subscribed)
	case len(c.Sources) > maxSources:
		return fmt.Errorf("--source: %d addresses of at most %d", len(c.Sources), maxSources)
	}
	for _, source := range c.Sources {
		if ip := net.ParseIP(source); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("--source: must be a loopback address, is %q", source)
		}
	}
	return nil
}

// ServersConfig configures the hollow servers of one process.
type ServersConfig struct {
	ControlPlane    []string      // HTTP addresses of the control-plane servers
	Count           int           // number of hollow servers in this process
	Services        int           // number of services that the servers are spread over evenly
	Seed            uint64        // seed of the order in which servers change
	RenewInterval   time.Duration // time between two renewals of a server
	RenewBatch      int           // number of servers that one call renews
	EmulatedPerZone int           // number of HTTP servers that answer for the servers of a zone; 0: none
	ServiceTime     time.Duration // time that an emulated server takes for a request
}

// Validate returns an error that names the flag of the first invalid value, or nil.
func (c *ServersConfig) Validate() error {
	if err := validateProcess(c.ControlPlane, c.Count, MaxServers); err != nil {
		return err
	}
	switch {
	case c.Services < 1 || c.Services > c.Count:
		return fmt.Errorf("--services: must be 1 to the number of servers (%d), is %d", c.Count, c.Services)
	case c.RenewInterval < 10*time.Millisecond || c.RenewInterval > time.Minute:
		return fmt.Errorf("--renew: must be 10ms to 1m, is %v", c.RenewInterval)
	case c.RenewBatch < 1 || c.RenewBatch > maxRenewBatch:
		return fmt.Errorf("--renew-batch: must be 1 to %d, is %d", maxRenewBatch, c.RenewBatch)
	case c.EmulatedPerZone < 0 || c.EmulatedPerZone > maxEmulatedPerZone:
		return fmt.Errorf("--emulated: must be 0 to %d, is %d", maxEmulatedPerZone, c.EmulatedPerZone)
	case c.ServiceTime < 0 || c.ServiceTime > time.Minute:
		return fmt.Errorf("--service-time: must be 0 to 1m, is %v", c.ServiceTime)
	}
	return nil
}

// validateProcess validates the settings that both kinds of processes have: the addresses and the number of
// simulated agents or servers.
func validateProcess(controlPlane []string, count, maxCount int) error {
	if len(controlPlane) == 0 {
		return errors.New("--stewards: missing")
	}
	for _, address := range controlPlane {
		if !endpoints.IsAddress(address) {
			return fmt.Errorf("--stewards: no address with a port: %q", address)
		}
	}
	if count < 1 || count > maxCount {
		return fmt.Errorf("--count: must be 1 to %d, is %d", maxCount, count)
	}
	return nil
}
