package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/process"
)

// addRealAgents starts the forwarders through which the real agents reach the control plane, writes the
// agents' configurations and adds their processes to the supervisor. startRealAgents starts them.
func (f *fleet) addRealAgents() error {
	command, err := programPath("scale.agent_command", f.config.Scale.AgentCommand)
	if err != nil {
		return err
	}
	var listAddrs []string
	for _, target := range f.controlPlaneAddrs {
		forwarder, err := newForwarder(f.addresses.IP()+":0", target)
		if err != nil {
			return err
		}
		f.forwarders = append(f.forwarders, forwarder)
		listAddrs = append(listAddrs, forwarder.address())
	}
	if f.agentAddrs, err = f.freeAddresses(f.config.Scale.RealAgents); err != nil {
		return err
	}
	for i, address := range f.agentAddrs {
		name := fmt.Sprintf("agent-%d", i+1)
		path := filepath.Join(f.dir, name+".json")
		if err := f.writeAgentConfig(path, name, i, address, listAddrs); err != nil {
			return err
		}
		f.agents = append(f.agents, f.supervisor.Add(process.Spec{Name: name, Path: command, Log: f.logPath(name),
			ReadyURL: "http://" + address + "/ready", Env: []string{"EDGE_CONFIG=" + path}}))
	}
	return nil
}

// writeAgentConfig writes the configuration of the real agent with the given index to a file.
// listAddrs are the addresses that the agent reads the list from.
func (f *fleet) writeAgentConfig(path, name string, index int, address string, listAddrs []string) error {
	base := experiment.Default()
	base.Agents.Count = f.config.Scale.RealAgents + f.size.Watches
	base.Zones = nil
	for zone := range hollow.Zones {
		base.Zones = append(base.Zones, hollow.ZoneName(zone))
	}
	base.Servers.MachineTypes[0].Name = hollow.ServerClass
	settings, err := base.AgentSettings(index)
	if err != nil {
		return err
	}
	settings["shapes"] = []string{hollow.ServerClass}
	configuration := map[string]any{
		"name": name, "listen": address, "discovery": listAddrs[0], "stewards": listAddrs,
		"seed":     fmt.Sprintf("%016x", hollow.AgentSeed(f.seed, index)),
		"limits":   map[string]any{"cores": base.Agents.Cores, "memory_mb": base.Agents.MemoryMB, "sockets": base.Agents.Sockets},
		"known":    endpoints.List{Full: true, Endpoints: []endpoints.Endpoint{}},
		"settings": settings,
	}
	if services := hollow.DrawServices(f.seed, index, f.size.Services, f.config.Scale.Subscribed); services != nil {
		configuration["services"] = services
	}
	text, err := json.MarshalIndent(configuration, "", " ")
	if err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	return nil
}

// startRealAgents starts the real agents without waiting until they are ready.
func (f *fleet) startRealAgents() error {
	for _, p := range f.agents {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// waitRealAgents waits until all real agents have a list. It returns an error if one of them still has
// none when the timeout expires.
func (f *fleet) waitRealAgents(ctx context.Context, timeout time.Duration) error {
	return waitReady(ctx, timeout, f.agents...)
}
