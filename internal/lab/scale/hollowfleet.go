package scale

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/process"
)

// startServers starts the process of hollow servers. It registers none of them.
func (f *fleet) startServers(ctx context.Context) error {
	s := &f.config.Scale
	command, err := programPath("scale.lab_command", s.LabCommand)
	if err != nil {
		return err
	}
	if f.hollowServersAddr, err = f.addresses.FreePort(); err != nil {
		return err
	}
	f.hollowServers = f.addHollowProcess("hollow-servers", command, f.hollowServersAddr, []string{
		"hollow", "servers",
		"--stewards", strings.Join(f.controlPlaneAddrs, ","),
		"--listen", f.hollowServersAddr,
		"--count", fmt.Sprint(f.size.Servers),
		"--services", fmt.Sprint(f.size.Services),
		"--seed", fmt.Sprint(f.seed),
		"--renew", s.RenewInterval.String(),
		"--renew-batch", fmt.Sprint(s.RenewBatch),
		"--emulated", fmt.Sprint(s.EmulatedPerZone),
		"--service-time", s.ServiceTime.String(),
	})
	return f.startReady(ctx, f.hollowServers)
}

// addHollowProcess adds a hollow process to the supervisor. The process is ready once it serves its
// state at the address.
func (f *fleet) addHollowProcess(name, command, address string, args []string) *process.Process {
	return f.supervisor.Add(process.Spec{
		Name:     name,
		Path:     command,
		Log:      f.logPath(name),
		ReadyURL: "http://" + address + "/v1/state",
		Args:     args,
	})
}

// startReaders starts the processes of hollow agents and waits until all of them serve their state.
// The agents begin to read the list as soon as their process starts.
func (f *fleet) startReaders(ctx context.Context) error {
	s := &f.config.Scale
	command, err := programPath("scale.lab_command", s.LabCommand)
	if err != nil {
		return err
	}
	for first := 0; first < f.size.Watches; first += s.AgentsPerProcess {
		address, err := f.addresses.FreePort()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("hollow-agents-%d", len(f.readers)+1)
		p := f.addHollowProcess(name, command, address, []string{
			"hollow", "agents",
			"--stewards", strings.Join(f.controlPlaneAddrs, ","),
			"--listen", address,
			"--count", fmt.Sprint(min(s.AgentsPerProcess, f.size.Watches-first)),
			"--first", fmt.Sprint(first),
			"--fleet", fmt.Sprint(f.size.Watches + s.RealAgents),
			"--seed", fmt.Sprint(f.seed),
			"--services", fmt.Sprint(f.size.Services),
			"--subscribed", fmt.Sprint(s.Subscribed),
			"--source", f.addresses.IP(),
		})
		f.readers, f.readerAddrs = append(f.readers, p), append(f.readerAddrs, address)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return waitReady(ctx, startTimeout, f.readers...)
}

// sendCommand sends a command to the process of hollow servers and decodes the response into result.
func (f *fleet) sendCommand(ctx context.Context, path string, body, result any) error {
	return hollow.Call(ctx, http.MethodPost, "http://"+f.hollowServersAddr+path, body, result)
}

// setChangeRates sets the rates at which the hollow servers change to a multiple of the file's rates.
func (f *fleet) setChangeRates(ctx context.Context, multiple float64) error {
	s := &f.config.Scale
	rates := hollow.Rates{
		ConfigurationsPerSecond: multiple * s.ConfigurationsPerDay / secondsPerDay,
		RestartsPerSecond:       multiple * s.RestartsPerDay / secondsPerDay,
	}
	return f.sendCommand(ctx, "/v1/rates", rates, &rates)
}

// serversState returns the state of the process of hollow servers.
func (f *fleet) serversState(ctx context.Context) (state hollow.ServersState, err error) {
	err = hollow.Call(ctx, http.MethodGet, "http://"+f.hollowServersAddr+"/v1/state", nil, &state)
	return state, err
}

// readersState returns the merged state of all hollow agents, compared with the list that they are
// expected to have. With withAges it includes the ages of the changes that they received.
func (f *fleet) readersState(ctx context.Context, expected hollow.ExpectedList, withAges bool) (hollow.AgentsState, error) {
	total := hollow.AgentsState{ByAddress: map[string]hollow.Traffic{}}
	var merged *hdrhistogram.Histogram
	query := fmt.Sprintf("/v1/state?servers=%d&first_absent=%d&absent=%d&version=%d",
		expected.Servers, expected.FirstAbsent, expected.Absent, expected.Version)
	if withAges {
		query += "&ages=1"
	}
	for i, address := range f.readerAddrs {
		var state hollow.AgentsState
		if err := hollow.Call(ctx, http.MethodGet, "http://"+address+query, nil, &state); err != nil {
			return total, err
		}
		mergeState(&total, &state, i == 0)
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

// mergeState adds the state of one process of hollow agents to the total. first reports whether it is
// the first state that is added.
func mergeState(total, state *hollow.AgentsState, first bool) {
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

// resetAges resets the ages of changes that the hollow agents have recorded.
func (f *fleet) resetAges(ctx context.Context) error {
	for _, address := range f.readerAddrs {
		var nothing struct{}
		if err := hollow.Call(ctx, http.MethodPost, "http://"+address+"/v1/reset", nil, &nothing); err != nil {
			return err
		}
	}
	return nil
}
