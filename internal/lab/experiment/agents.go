package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/process"
)

// agentProcess is one agent under test.
type agentProcess struct {
	index             int
	process           *process.Process
	address           string // address at which the agent accepts requests
	configPath        string
	discoveryAddr     string     // address in the configuration of the emulated list service or one control-plane server
	controlPlaneAddrs []string   // control-plane servers in the configuration; if empty, the agent uses discoveryAddr
	mu                sync.Mutex // held during a restart, to serialize faults of one agent
}

// addAgents prepares the processes of the agents under test, and those of the control plane and
// the workers if the experiment has any. It starts nothing.
func (fl *fleet) addAgents() error {
	command, err := findProgram("agents.command", fl.config.Agents.Command)
	if err != nil {
		return err
	}
	fl.supervisor = process.New(fl.processExited)
	if fl.config.ControlPlane.Count > 0 {
		if fl.controlPlane, err = newControlPlane(fl); err != nil {
			return err
		}
		if fl.config.LeasedTasks.Count > 0 {
			if fl.workers, err = newWorkers(fl); err != nil {
				return err
			}
		}
	}
	for i := range fl.config.Agents.Count {
		agent, err := fl.newAgent(i, command)
		if err != nil {
			return err
		}
		fl.agents = append(fl.agents, agent)
	}
	return nil
}

// newAgent reserves an agent's address, chooses its discovery address, and prepares its process.
func (fl *fleet) newAgent(index int, command string) (*agentProcess, error) {
	address, err := fl.addresses.FreePort()
	if err != nil {
		return nil, err
	}
	name := agentName(index)
	agent := &agentProcess{index: index, address: address, configPath: filepath.Join(fl.dir, "agents", name+".json"),
		discoveryAddr: fl.discovery.Addr(index)}
	if l := fl.links[linkKey{linkAgentToDiscovery, index, discoveryIndex}]; l != nil {
		agent.discoveryAddr = l.Addr()
	}
	if fl.controlPlane != nil {
		agent.discoveryAddr = fl.controlPlane.addresses[index%len(fl.controlPlane.addresses)]
		if fl.config.ControlPlane.AgentAccess == "all" {
			agent.controlPlaneAddrs = fl.controlPlane.addresses
		}
	}
	agent.process = fl.supervisor.Add(process.Spec{Name: name, Path: command, Args: fl.config.Agents.Args,
		Log: filepath.Join(fl.dir, "logs", name+".log"), ReadyURL: "http://" + address + "/ready",
		MemoryMB: fl.config.Agents.MemoryMB, Env: []string{"EDGE_NAME=" + name, "EDGE_LISTEN=" + address,
			"EDGE_DISCOVERY=" + agent.discoveryAddr, "EDGE_CONFIG=" + agent.configPath}})
	return agent, nil
}

// errNoProgram is the error for a command that is not an executable file.
var errNoProgram = errors.New("no program there; build it first")

// findProgram returns the absolute path of a program. key is the key of the experiment file that sets the
// command; every error names it, including the one for a missing executable.
func findProgram(key, command string) (string, error) {
	path, err := filepath.Abs(command)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s: %w", key, command, errNoProgram)
	}
	return path, nil
}

// writeAgentConfig replaces an agent's configuration file. starting means that the agent is about to start
// with the new file; the checker is then notified of the endpoint list in the file.
func (fl *fleet) writeAgentConfig(agent *agentProcess, starting bool) error {
	settings, err := fl.config.AgentSettings(agent.index)
	if err != nil {
		return err
	}
	known := fl.initialList(agent)
	config := map[string]any{
		"name": agentName(agent.index), "listen": agent.address, "discovery": agent.discoveryAddr,
		"seed":   fmt.Sprintf("%016x", fl.seed*1_000_003+uint64(agent.index*64+agent.process.StartCount())),
		"limits": map[string]any{"cores": fl.config.Agents.Cores, "memory_mb": fl.config.Agents.MemoryMB, "sockets": fl.config.Agents.Sockets},
		"known":  known, "settings": settings}
	if fl.controlPlane != nil {
		config["stewards"] = agent.controlPlaneAddrs
		config["log_level"] = "debug" // the lab reads the times at which the agent applies a list from its log
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if err := replaceFile(agent.configPath, text); err != nil {
		return fmt.Errorf("agent configuration: %w", err)
	}
	if starting {
		fl.checker.AgentStarted(agent.index)
		fl.discovery.RecordInitialList(agent.index, &known)
		if fl.controlPlane != nil {
			fl.controlPlane.agentStarted(agent.index)
			fl.controlPlane.updateChecker()
		}
	}
	return nil
}

// initialList returns the endpoint list for an agent's configuration. The list is empty unless the
// experiment sets agents.known to "now"; then it is the current list of the control plane or, without an
// answer from a control plane, that of the emulated list service.
func (fl *fleet) initialList(agent *agentProcess) endpoints.List {
	if fl.config.Agents.InitialList != "now" {
		return endpoints.List{Seq: 0, Full: true, Endpoints: []endpoints.Endpoint{}}
	}
	known := fl.discovery.List(agent.index, 0, true)
	if fl.controlPlane != nil {
		if list, ok := fl.controlPlane.fetchList(); ok {
			known = list
		}
	}
	return known
}

// replaceFile replaces a file atomically: a reader sees either the old text or the new one. It creates
// the directory if needed.
func replaceFile(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// readyTimeout bounds the time from starting a process to its readiness.
const readyTimeout = 30 * time.Second

// startAgent starts an agent and, once it is ready, its client. It returns an error if the agent is not
// ready within readyTimeout.
func (fl *fleet) startAgent(ctx context.Context, a *agentProcess) error {
	if err := fl.writeAgentConfig(a, true); err != nil {
		return err
	}
	if err := a.process.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := a.process.WaitReady(ctx); err != nil {
		return err
	}
	fl.events.record("agent " + a.process.Name + " ready")
	fl.clients[a.index].Start()
	return nil
}

// processExited records the exit of a process and reports an unexpected exit as a breach. If an agent
// crashed, its client is killed as well.
func (fl *fleet) processExited(p *process.Process, err error, expected bool) {
	i := slices.IndexFunc(fl.agents, func(a *agentProcess) bool { return a.process == p })
	if fl.isClosing() {
		return
	}
	if i < 0 {
		fl.events.record("process " + p.Name + " ended")
		if !expected {
			fl.checker.ReportBreach(check.RuleCrash, -1, p.Name+": "+p.LastLogLine())
		}
		return
	}
	fl.events.record("agent " + p.Name + " ended")
	if !expected {
		text := "exit 0"
		if err != nil {
			text = err.Error()
		}
		fl.checker.ReportBreach(check.RuleCrash, i, text+": "+p.LastLogLine())
		fl.checker.AgentKilled(i)
		fl.clients[i].Kill()
	}
}

// killAgent kills an agent and its client.
func (fl *fleet) killAgent(a *agentProcess) {
	fl.checker.AgentKilled(a.index)
	fl.clients[a.index].Kill()
	a.process.Kill()
}

const (
	// Clients continue to send for minClientLeaveDelay plus up to clientLeaveJitter after SIGTERM.
	minClientLeaveDelay = 0.2 // seconds
	clientLeaveJitter   = 0.2 // seconds
	// A graceful shutdown may take the longest request duration, but at least minShutdownTimeout, plus
	// shutdownSlack.
	minShutdownTimeout = 3 * time.Second
	shutdownSlack      = 700 * time.Millisecond
)

// restartAgent restarts an agent gracefully: it sends SIGTERM, lets the client continue to send for a
// short delay, waits for the exit and starts the agent again. The delay is minClientLeaveDelay plus
// delayFraction, in [0, 1), of clientLeaveJitter. An agent that does not exit in time is killed, and a
// breach is reported.
func (fl *fleet) restartAgent(ctx context.Context, a *agentProcess, delayFraction float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ended := a.process.Ended()
	if !sleep(ctx, time.Duration((minClientLeaveDelay+clientLeaveJitter*delayFraction)*float64(time.Second))) {
		return ctx.Err()
	}
	fl.clients[a.index].StopSending()
	timeout := time.NewTimer(max(fl.maxRequestDuration(), minShutdownTimeout) + shutdownSlack)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
		fl.checker.ReportBreach(check.RuleLimit, a.index, "it did not end after SIGTERM")
		fl.killAgent(a)
		<-ended
	case <-ctx.Done():
		return ctx.Err()
	}
	return fl.startAgent(ctx, a)
}

// reloadAgent changes an agent's discovery source and makes the agent reload its configuration. With a
// control plane, the set of configured control-plane servers changes; otherwise the emulated list service
// moves to another address.
func (fl *fleet) reloadAgent(a *agentProcess) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := fl.moveDiscovery(a); err != nil {
		return err
	}
	return a.process.Signal(syscall.SIGHUP)
}

// moveDiscovery changes an agent's discovery source and updates the agent's configuration file. The
// caller holds a.mu.
func (fl *fleet) moveDiscovery(a *agentProcess) error {
	if fl.controlPlane != nil {
		fl.toggleControlPlaneServer(a)
	} else {
		address, err := fl.discovery.MoveAddress(a.index)
		if err != nil {
			return err
		}
		a.discoveryAddr = address
	}
	return fl.writeAgentConfig(a, false)
}

// toggleControlPlaneServer removes one of the control-plane servers from the agent's configuration or,
// if one has been removed already, restores all of them.
func (fl *fleet) toggleControlPlaneServer(a *agentProcess) {
	all := fl.controlPlane.addresses
	if len(a.controlPlaneAddrs) != len(all) || len(all) <= 1 {
		a.controlPlaneAddrs = all
		return
	}
	removed := a.index % len(all)
	a.controlPlaneAddrs = slices.Delete(slices.Clone(a.controlPlaneAddrs), removed, removed+1)
}
