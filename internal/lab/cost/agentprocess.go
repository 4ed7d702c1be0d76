package cost

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"knotrouter/internal/lab/process"
)

const (
	// readyTimeout is the limit on the time from an agent's start until it watches the list.
	readyTimeout = 30 * time.Second
	// pollPeriod is the time between two checks whether the agent has opened its watch.
	pollPeriod = 10 * time.Millisecond
	// settleTime is the pause after an agent's start, so that startup work is not measured.
	settleTime = time.Second
)

// startAgent starts an agent with its files in dir and waits until it is ready and watches the list.
// It returns the agent's process and address. The supervisor stops the agent.
func startAgent(ctx context.Context, o *Options, fleet *Fleet, supervisor *process.Supervisor, dir string) (*process.Process, string, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	config, err := fleet.AgentConfig(addr, o.Seed)
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(dir, "agent.json")
	if err := os.WriteFile(path, config, 0o644); err != nil {
		return nil, "", fmt.Errorf("agent configuration: %w", err)
	}
	agent := supervisor.Add(process.Spec{Name: "agent", Path: o.Agent, Log: filepath.Join(dir, "agent.log"),
		ReadyURL: "http://" + addr + "/ready", Env: []string{"EDGE_CONFIG=" + path}})
	if err := agent.Start(); err != nil {
		return nil, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := agent.WaitReady(ctx); err != nil {
		return nil, "", err
	}
	for fleet.Counters.OpenWatches.Load() == 0 {
		if err := sleep(ctx, pollPeriod); err != nil {
			return nil, "", fmt.Errorf("the agent opened no watch on the list: %w", err)
		}
	}
	return agent, addr, sleep(ctx, settleTime)
}

// freeAddress returns a loopback address with a currently free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// measureIdleCores returns the mean number of cores that an agent uses without load over a window.
func measureIdleCores(ctx context.Context, agent *process.Process, window time.Duration) (float64, error) {
	before, start := usage(agent), time.Now()
	if err := sleep(ctx, window); err != nil {
		return 0, err
	}
	return (usage(agent).CPU - before.CPU).Seconds() / time.Since(start).Seconds(), nil
}

// usage returns the processor time that an agent has used so far and its current memory.
func usage(agent *process.Process) process.Usage {
	now, _, _ := agent.SampleUsage()
	return now
}

// sleep waits for the duration. It returns the context's error if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
