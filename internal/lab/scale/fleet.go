package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
)

const (
	startTimeout  = 30 * time.Second // time limit for a process to become ready
	stopTimeout   = 3 * time.Second  // time limit for hollow processes to print their state and exit
	statusTimeout = time.Second      // time limit for one call to a control-plane server
	pollInterval  = 200 * time.Millisecond
)

// fleet holds the processes of one size. Its methods are for the goroutine that runs the size; only
// memoryMiB may be called concurrently with them.
type fleet struct {
	config *Config
	size   Size
	seed   uint64
	dir    string // folder of the configurations, data and logs of the processes

	addresses         *loopback.AddressBlock
	supervisor        *process.Supervisor
	controlPlane      []*process.Process
	controlPlaneAddrs []string
	client            *control.Client

	hollowServers     *process.Process // the process of all hollow servers
	hollowServersAddr string
	readers           []*process.Process // the processes of hollow agents
	readerAddrs       []string

	agents        []*process.Process // real agents
	agentAddrs    []string
	forwarders    []*forwarder // one per control-plane server, between it and the real agents
	loadGenerator *loadGenerator
}

// newFleet prepares the fleet of a size and writes the configuration of its control plane. It starts
// no process. The caller has to close the fleet.
func newFleet(config *Config, size Size, seed uint64, dir string) (*fleet, error) {
	addresses, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	f := &fleet{config: config, size: size, seed: seed, dir: dir, addresses: addresses, supervisor: process.New(nil)}
	if err := f.addControlPlane(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// close stops all processes of the fleet.
func (f *fleet) close() {
	if f.loadGenerator != nil {
		f.loadGenerator.close()
	}
	f.interruptHollowProcesses()
	f.supervisor.Close()
	for _, forwarder := range f.forwarders {
		forwarder.close()
	}
	f.addresses.Close()
}

// interruptHollowProcesses sends SIGINT to the hollow processes, on which they print their state
// and exit, and waits up to stopTimeout until they have exited.
func (f *fleet) interruptHollowProcesses() {
	var stopping []*process.Process
	for _, p := range append(slices.Clone(f.readers), f.hollowServers) {
		if p != nil && p.Signal(syscall.SIGINT) == nil {
			stopping = append(stopping, p)
		}
	}
	timeout := time.After(stopTimeout)
	for _, p := range stopping {
		select {
		case <-p.Ended():
		case <-timeout:
			return
		}
	}
}

// programPath returns the absolute path of the program that is the value of a key of the experiment file. The
// error names the key if there is no such program.
func programPath(key, command string) (string, error) {
	path, err := filepath.Abs(command)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s: no program there; build it first", key, command)
	}
	return path, nil
}

// logPath returns the path of a process's log.
func (f *fleet) logPath(name string) string { return filepath.Join(f.dir, name+".log") }

// freeAddresses returns count addresses with free ports.
func (f *fleet) freeAddresses(count int) ([]string, error) {
	addrs := make([]string, count)
	for i := range addrs {
		var err error
		if addrs[i], err = f.addresses.FreePort(); err != nil {
			return nil, err
		}
	}
	return addrs, nil
}

// startReady starts a process and waits up to startTimeout until it is ready.
func (f *fleet) startReady(ctx context.Context, p *process.Process) error {
	if err := p.Start(); err != nil {
		return err
	}
	return waitReady(ctx, startTimeout, p)
}

// waitReady waits until all processes are ready. It returns the error of the first process that is not
// ready when the timeout expires or the context ends.
func waitReady(ctx context.Context, timeout time.Duration, processes ...*process.Process) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, p := range processes {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// poll calls done every pollInterval until done returns true, the timeout expires or the context ends.
// It returns the elapsed time and whether done returned true.
func poll(ctx context.Context, timeout time.Duration, done func() bool) (time.Duration, bool) {
	began := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if done() {
			return time.Since(began), true
		}
		if time.Since(began) > timeout {
			return time.Since(began), false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return time.Since(began), false
		}
	}
}

// memoryMiB returns the total resident memory of all running processes in MiB.
func (f *fleet) memoryMiB() float64 {
	total := 0.0
	for _, p := range f.supervisor.All() {
		if p.Running() {
			now, _, _ := p.SampleUsage()
			total += now.RSSMB
		}
	}
	return total
}
