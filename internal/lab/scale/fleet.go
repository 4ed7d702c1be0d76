package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/knadh/koanf/parsers/toml/v2"

	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/experiment"
	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
)

const (
	startWithin = 30 * time.Second // what a process may take to be ready
	endWithin   = 3 * time.Second
	statusWait  = time.Second
	pollEvery   = 200 * time.Millisecond
)

// fleet is the processes of one size.
type fleet struct {
	config *Config
	size   Size
	seed   uint64
	dir    string

	addresses  *loopback.Net
	supervisor *process.Supervisor
	stewards   []*process.Process
	stewardsAt []string
	client     *control.Client

	servers   *process.Process // hollow
	serversAt string
	readers   []*process.Process // hollow agents
	readersAt []string

	agents     []*process.Process // real
	agentsAt   []string
	forwarders []*forwarder // by steward, to the real agents
	requests   *requester
}

func newFleet(config *Config, size Size, seed uint64, dir string) (*fleet, error) {
	addresses, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	f := &fleet{config: config, size: size, seed: seed, dir: dir, addresses: addresses, supervisor: process.New(nil)}
	if err := f.addStewards(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) close() {
	if f.requests != nil {
		f.requests.close()
	}
	f.interrupt()
	f.supervisor.Close()
	for _, forwarder := range f.forwarders {
		forwarder.close()
	}
	f.addresses.Close()
}

// interrupt has the hollow processes print what they did, and waits a little for it.
func (f *fleet) interrupt() {
	var ending []*process.Process
	for _, p := range append(slices.Clone(f.readers), f.servers) {
		if p != nil && p.Signal(syscall.SIGINT) == nil {
			ending = append(ending, p)
		}
	}
	timeout := time.After(endWithin)
	for _, p := range ending {
		select {
		case <-p.Ended():
		case <-timeout:
			return
		}
	}
}

// program finds a program that a key names.
func program(key, command string) (string, error) {
	path, err := filepath.Abs(command)
	if err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s: no program there; build it first", key, command)
	}
	return path, nil
}

func (f *fleet) log(name string) string { return filepath.Join(f.dir, name+".log") }

// freePorts finds addresses for so many processes.
func (f *fleet) freePorts(count int) ([]string, error) {
	ports := make([]string, count)
	for i := range ports {
		var err error
		if ports[i], err = f.addresses.FreePort(); err != nil {
			return nil, err
		}
	}
	return ports, nil
}

func stewardName(i int) string { return fmt.Sprintf("steward-%d", i+1) }

func (f *fleet) addStewards() error {
	command, err := program("scale.steward_command", f.config.Scale.ControlPlaneCommand)
	if err != nil {
		return err
	}
	count := f.config.Scale.ControlPlaneServers
	if f.stewardsAt, err = f.freePorts(count); err != nil {
		return err
	}
	raft, err := f.freePorts(count)
	if err != nil {
		return err
	}
	f.client = control.NewClient(f.stewardsAt, statusWait)
	peers := map[string]any{}
	for i := range count {
		peers[stewardName(i)] = map[string]string{"http": f.stewardsAt[i], "raft": raft[i]}
	}
	for i := range count {
		name := stewardName(i)
		settings := maps.Clone(f.config.Scale.ControlPlaneSettings)
		if settings == nil {
			settings = map[string]any{}
		}
		settings["name"], settings["data"] = name, filepath.Join(f.dir, name)
		settings["listen"], settings["raft"], settings["peers"] = f.stewardsAt[i], raft[i], peers
		path := filepath.Join(f.dir, name+".toml")
		if err := writeSteward(path, settings); err != nil {
			return err
		}
		if err := os.RemoveAll(filepath.Join(f.dir, name)); err != nil {
			return fmt.Errorf("steward's folder: %w", err)
		}
		f.stewards = append(f.stewards, f.supervisor.Add(process.Spec{Name: name, Path: command,
			Args: []string{"serve", "--config", path}, Log: f.log(name)}))
	}
	return nil
}

func writeSteward(path string, settings map[string]any) error {
	text, err := toml.Parser().Marshal(settings)
	if err != nil {
		return fmt.Errorf("scale.steward: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("steward configuration: %w", err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("steward configuration: %w", err)
	}
	if _, err := control.LoadConfig(path, nil); err != nil {
		return fmt.Errorf("scale.steward: %w", err)
	}
	return nil
}

// startStewards starts the stewards and waits for a leader.
func (f *fleet) startStewards(ctx context.Context) error {
	for _, p := range f.stewards {
		if err := p.Start(); err != nil {
			return err
		}
	}
	_, ok := poll(ctx, startWithin, func() bool { return f.leader(ctx) >= 0 })
	if !ok {
		return errors.Join(ctx.Err(), fmt.Errorf("stewards: no leader within %v: %s", startWithin, f.stewards[0].LastLogLine()))
	}
	return nil
}

// poll asks until the answer is yes or the time is over, and tells how long it took.
func poll(ctx context.Context, within time.Duration, done func() bool) (time.Duration, bool) {
	began := time.Now()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		if done() {
			return time.Since(began), true
		}
		if time.Since(began) > within {
			return time.Since(began), false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return time.Since(began), false
		}
	}
}

// status asks one steward.
func (f *fleet) status(ctx context.Context, i int) (control.Status, error) {
	return control.NewClient(f.stewardsAt[i:i+1], statusWait).Status(ctx)
}

// leader is the index of the steward that leads; -1: none does.
func (f *fleet) leader(ctx context.Context) int {
	for i, p := range f.stewards {
		if !p.Runs() {
			continue
		}
		if status, err := f.status(ctx, i); err == nil && status.State == "leader" {
			return i
		}
	}
	return -1
}

// startServers starts the process of hollow servers; none is registered yet.
func (f *fleet) startServers(ctx context.Context) error {
	s := &f.config.Scale
	command, err := program("scale.lab_command", s.LabCommand)
	if err != nil {
		return err
	}
	if f.serversAt, err = f.addresses.FreePort(); err != nil {
		return err
	}
	f.servers = f.supervisor.Add(process.Spec{Name: "hollow-servers", Path: command, Log: f.log("hollow-servers"),
		ReadyURL: "http://" + f.serversAt + "/v1/state",
		Args: []string{"hollow", "servers", "--stewards", strings.Join(f.stewardsAt, ","), "--listen", f.serversAt,
			"--count", fmt.Sprint(f.size.Servers), "--services", fmt.Sprint(f.size.Services), "--seed", fmt.Sprint(f.seed),
			"--renew", s.RenewInterval.String(), "--renew-batch", fmt.Sprint(s.RenewBatch),
			"--emulated", fmt.Sprint(s.EmulatedPerZone), "--service-time", s.ServiceTime.String()}})
	return f.startReady(ctx, f.servers)
}

func (f *fleet) startReady(ctx context.Context, p *process.Process) error {
	if err := p.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return p.WaitReady(ctx)
}

// startReaders starts the processes of hollow agents, which begin to read at once.
func (f *fleet) startReaders(ctx context.Context) error {
	s := &f.config.Scale
	command, err := program("scale.lab_command", s.LabCommand)
	if err != nil {
		return err
	}
	for first := 0; first < f.size.Watches; first += s.AgentsPerProcess {
		address, err := f.addresses.FreePort()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("hollow-agents-%d", len(f.readers)+1)
		p := f.supervisor.Add(process.Spec{Name: name, Path: command, Log: f.log(name), ReadyURL: "http://" + address + "/v1/state",
			Args: []string{"hollow", "agents", "--stewards", strings.Join(f.stewardsAt, ","), "--listen", address,
				"--count", fmt.Sprint(min(s.AgentsPerProcess, f.size.Watches-first)), "--first", fmt.Sprint(first),
				"--fleet", fmt.Sprint(f.size.Watches + s.RealAgents), "--seed", fmt.Sprint(f.seed),
				"--services", fmt.Sprint(f.size.Services), "--subscribed", fmt.Sprint(s.Subscribed), "--source", f.addresses.IP()}})
		f.readers, f.readersAt = append(f.readers, p), append(f.readersAt, address)
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for _, p := range f.readers {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addAgents prepares the real agents; startAgents starts them.
func (f *fleet) addAgents() error {
	command, err := program("scale.agent_command", f.config.Scale.AgentCommand)
	if err != nil {
		return err
	}
	var lists []string
	for _, steward := range f.stewardsAt {
		forwarder, err := newForwarder(f.addresses.IP()+":0", steward)
		if err != nil {
			return err
		}
		f.forwarders = append(f.forwarders, forwarder)
		lists = append(lists, forwarder.address())
	}
	if f.agentsAt, err = f.freePorts(f.config.Scale.RealAgents); err != nil {
		return err
	}
	for i, address := range f.agentsAt {
		name := fmt.Sprintf("agent-%d", i+1)
		path := filepath.Join(f.dir, name+".json")
		if err := f.writeAgent(path, name, i, address, lists); err != nil {
			return err
		}
		f.agents = append(f.agents, f.supervisor.Add(process.Spec{Name: name, Path: command, Log: f.log(name),
			ReadyURL: "http://" + address + "/ready", Env: []string{"EDGE_CONFIG=" + path}}))
	}
	return nil
}

// writeAgent writes the configuration of a real agent.
func (f *fleet) writeAgent(path, name string, index int, address string, lists []string) error {
	base := experiment.Default()
	base.Agents.Count = f.config.Scale.RealAgents + f.size.Watches
	base.Zones = nil
	for zone := range hollow.Zones {
		base.Zones = append(base.Zones, hollow.ZoneName(zone))
	}
	base.Servers.MachineTypes[0].Name = hollow.Class
	settings, err := base.AgentSettings(index)
	if err != nil {
		return err
	}
	settings["shapes"] = []string{hollow.Class}
	configuration := map[string]any{
		"name": name, "listen": address, "discovery": lists[0], "stewards": lists,
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

func (f *fleet) startAgents() error {
	for _, p := range f.agents {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// waitAgents waits until all real agents have a list.
func (f *fleet) waitAgents(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, p := range f.agents {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// command sends a command to the hollow servers.
func (f *fleet) command(ctx context.Context, path string, body, into any) error {
	return hollow.Call(ctx, http.MethodPost, "http://"+f.serversAt+path, body, into)
}

// setRates has servers change at a multiple of the target's rates.
func (f *fleet) setRates(ctx context.Context, times float64) error {
	s := &f.config.Scale
	rates := hollow.Rates{ConfigurationsPerSecond: times * s.ConfigurationsPerDay / secondsPerDay,
		RestartsPerSecond: times * s.RestartsPerDay / secondsPerDay}
	return f.command(ctx, "/v1/rates", rates, &rates)
}

func (f *fleet) serversState(ctx context.Context) (state hollow.ServersState, err error) {
	err = hollow.Call(ctx, http.MethodGet, "http://"+f.serversAt+"/v1/state", nil, &state)
	return state, err
}

// readersState adds up the states of all hollow agents; ages are merged if they are asked for.
func (f *fleet) readersState(ctx context.Context, expected hollow.Expectation, ages bool) (hollow.AgentsState, error) {
	total := hollow.AgentsState{ByAddress: map[string]hollow.Traffic{}}
	merged := (*hdrhistogram.Histogram)(nil)
	query := fmt.Sprintf("/v1/state?servers=%d&first_absent=%d&absent=%d&version=%d", expected.Servers, expected.FirstAbsent, expected.Absent, expected.Version)
	if ages {
		query += "&ages=1"
	}
	for i, address := range f.readersAt {
		var state hollow.AgentsState
		if err := hollow.Call(ctx, http.MethodGet, "http://"+address+query, nil, &state); err != nil {
			return total, err
		}
		merge(&total, &state, i == 0)
		if state.Ages == nil {
			continue
		}
		if histogram := hdrhistogram.Import(state.Ages); merged == nil {
			merged = histogram
		} else {
			merged.Merge(histogram)
		}
	}
	if merged != nil {
		total.SetAges(merged)
	}
	return total, nil
}

func merge(total, state *hollow.AgentsState, first bool) {
	if first {
		total.VersionMin, total.ListedMin = state.VersionMin, state.ListedMin
	}
	total.VersionMin, total.VersionMax = min(total.VersionMin, state.VersionMin), max(total.VersionMax, state.VersionMax)
	total.ListedMin, total.ListedMax = min(total.ListedMin, state.ListedMin), max(total.ListedMax, state.ListedMax)
	total.Agents += state.Agents
	total.WatchesOpen += state.WatchesOpen
	total.WatchesEnded += state.WatchesEnded
	total.Lines += state.Lines
	total.Entries += state.Entries
	total.FullLists += state.FullLists
	total.Versions += state.Versions
	total.Failovers += state.Failovers
	total.BudgetExhausted += state.BudgetExhausted
	total.AsExpected += state.AsExpected
	total.AtVersion += state.AtVersion
	total.ListAgeMaxSec = max(total.ListAgeMaxSec, state.ListAgeMaxSec)
	total.Total.Add(state.Total)
	for address, traffic := range state.ByAddress {
		sum := total.ByAddress[address]
		sum.Add(traffic)
		total.ByAddress[address] = sum
	}
}

func (f *fleet) resetAges(ctx context.Context) error {
	for _, address := range f.readersAt {
		var nothing struct{}
		if err := hollow.Call(ctx, http.MethodPost, "http://"+address+"/v1/reset", nil, &nothing); err != nil {
			return err
		}
	}
	return nil
}

// get reads from the steward with an index, and returns how many bytes it sent.
func (f *fleet) get(ctx context.Context, i int, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.stewardsAt[i]+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, response.Status)
	}
	return io.ReadAll(response.Body)
}

// memoryMiB is what all processes hold together.
func (f *fleet) memoryMiB() float64 {
	total := 0.0
	for _, p := range f.supervisor.All() {
		if p.Runs() {
			now, _, _ := p.SampleUsage()
			total += now.RSSMB
		}
	}
	return total
}
