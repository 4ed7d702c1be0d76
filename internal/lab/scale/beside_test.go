package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
)

// TestMain runs one hollow agent instead of the tests if the arguments ask for it, so that a test can
// start the test binary as the process of a hollow agent.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "hollow-agent" {
		if err := runHollowAgent(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if dir, err := buildPrograms(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// runHollowAgent runs one hollow agent until it is interrupted. The agent reads its list from the
// control-plane server at the address controlPlane.
func runHollowAgent(controlPlane, listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	config := hollow.AgentsConfig{ControlPlane: []string{controlPlane}, Count: 1, Fleet: 2, Services: 1, Seed: 5}
	agents, err := hollow.NewAgents(config, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	if err := hollow.Serve(ctx, listen, agents.Handler()); err != nil {
		return err
	}
	agents.Run(ctx)
	return nil
}

// buildPrograms builds the real control-plane server and the real agent once and returns their folder.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "scale-programs-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "knotrouter/cmd/controlplane", "knotrouter/cmd/agent").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// startTestFleet starts one control-plane server with registered hollow servers that run in this process.
func startTestFleet(t *testing.T, servers int) (*fleet, *hollow.Servers) {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	config := defaults()
	config.Scale.ControlPlaneServers, config.Scale.RealAgents = 1, 1
	config.Scale.ControlPlaneCommand, config.Scale.AgentCommand = filepath.Join(dir, "controlplane"), filepath.Join(dir, "agent")
	f, err := newFleet(&config, Size{Servers: servers, Watches: 1, Services: 1}, 1, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	if err := f.startControlPlane(t.Context()); err != nil {
		t.Fatal(err)
	}
	s, err := hollow.NewServers(hollow.ServersConfig{ControlPlane: f.controlPlaneAddrs, Count: servers, Services: 1, Seed: 1,
		RenewInterval: 2 * time.Second, RenewBatch: 1, EmulatedPerZone: 1}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	if r := s.Register(t.Context(), hollow.Range{Count: servers}); r.Servers != servers || r.RefusalReason != "" {
		t.Fatalf("registered %+v", r)
	}
	return f, s
}

// listTakenLine matches the line that a real agent logs when it applies a list or a change.
var listTakenLine = regexp.MustCompile(`msg="list taken".* version=(\d+) entries=(\d+)`)

// realAgentLog summarizes the log of a real agent: the numbers of lines and entries that the agent applied,
// and the last list version.
type realAgentLog struct{ lines, entries, version int64 }

// parseRealAgentLog reads the log of a real agent.
func parseRealAgentLog(t *testing.T, path string) (r realAgentLog) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		match := listTakenLine.FindStringSubmatch(lines.Text())
		if match != nil && match[1] != "0" { // version 0 is the list in the agent's configuration file
			r.lines++
			r.version, _ = strconv.ParseInt(match[1], 10, 64)
			entries, _ := strconv.ParseInt(match[2], 10, 64)
			r.entries += entries
		}
	}
	return r
}

// startRealAgent starts a real agent that reads through the forwarder.
func startRealAgent(t *testing.T, f *fleet, through *forwarder) *process.Process {
	t.Helper()
	address, err := f.addresses.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(f.dir, "agent.json")
	if err := f.writeAgentConfig(path, "agent-1", 0, address, []string{through.address()}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var configuration map[string]any
	if err := json.Unmarshal(text, &configuration); err != nil {
		t.Fatal(err)
	}
	configuration["log_level"] = "debug" // the level at which the agent logs each list that it applies
	if text, err = json.Marshal(configuration); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	p := f.supervisor.Add(process.Spec{Name: "agent-1", Path: f.config.Scale.AgentCommand, Log: f.logPath("agent-1"),
		ReadyURL: "http://" + address + "/ready", Env: []string{"EDGE_CONFIG=" + path}})
	if err := f.startReady(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	return p
}

// startHollowAgent starts a process of one hollow agent that reads through the forwarder.
func startHollowAgent(t *testing.T, f *fleet, through *forwarder) *process.Process {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	address, err := f.addresses.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	p := f.supervisor.Add(process.Spec{Name: "hollow-agent", Path: executable, Log: f.logPath("hollow-agent"),
		Args: []string{"hollow-agent", through.address(), address}, ReadyURL: "http://" + address + "/v1/state"})
	if err := f.startReady(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	f.readers, f.readerAddrs = []*process.Process{p}, []string{address}
	return p
}

// agentPair is a real and a hollow agent that read from the same control-plane server, each through its
// own forwarder.
type agentPair struct {
	fleet                          *fleet
	realAgent, hollowAgent         *process.Process
	realForwarder, hollowForwarder *forwarder
}

// startAgentPair starts a real and a hollow agent and waits until the hollow one has its list.
func startAgentPair(t *testing.T, f *fleet) *agentPair {
	t.Helper()
	pair := &agentPair{fleet: f}
	for _, forwarder := range []**forwarder{&pair.realForwarder, &pair.hollowForwarder} {
		var err error
		if *forwarder, err = newForwarder("127.0.0.1:0", f.controlPlaneAddrs[0]); err != nil {
			t.Fatal(err)
		}
		t.Cleanup((*forwarder).close)
	}
	pair.realAgent = startRealAgent(t, f, pair.realForwarder)
	pair.hollowAgent = startHollowAgent(t, f, pair.hollowForwarder)
	if _, ok := poll(t.Context(), time.Minute, func() bool { return pair.hollowState(t).AsExpected == 1 }); !ok {
		t.Fatalf("the hollow agent has no list: %+v", pair.hollowState(t))
	}
	return pair
}

// hollowState returns the state of the hollow agent, with the ages of changes.
func (pair *agentPair) hollowState(t *testing.T) hollow.AgentsState {
	t.Helper()
	state, err := pair.fleet.readersState(t.Context(), hollow.ExpectedList{Servers: pair.fleet.size.Servers}, true)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// logDifferences logs the counts and the resource use of both agents side by side.
func (pair *agentPair) logDifferences(t *testing.T, realLog realAgentLog, state hollow.AgentsState, realTraffic, hollowTraffic hollow.Traffic) {
	t.Helper()
	realUse, _, _ := pair.realAgent.SampleUsage()
	hollowUse, _, _ := pair.hollowAgent.SampleUsage()
	t.Logf("%-10s %12s %12s %12s", "", "real", "hollow", "difference")
	for _, row := range []struct {
		name         string
		real, hollow int64
	}{
		{"calls", realTraffic.Calls, hollowTraffic.Calls}, {"bytes in", realTraffic.BytesIn, hollowTraffic.BytesIn},
		{"bytes out", realTraffic.BytesOut, hollowTraffic.BytesOut}, {"lines", realLog.lines, state.Lines},
		{"entries", realLog.entries, state.Entries}, {"cpu ms", realUse.CPU.Milliseconds(), hollowUse.CPU.Milliseconds()},
		{"rss kB", int64(realUse.RSSMB * 1024), int64(hollowUse.RSSMB * 1024)},
	} {
		t.Logf("%-10s %12d %12d %12d", row.name, row.real, row.hollow, row.hollow-row.real)
	}
}

// A hollow agent puts the same load on the list service as a real agent: with the same list and
// changes it makes the same calls, reads the same lines and entries and ends at the same version.
// Bytes may differ by the heartbeat lines of an idle watch. Processor time and memory are only logged,
// as the real agent also has a data path, which gets no requests here.
func TestHollowAgentMatchesRealAgent(t *testing.T) {
	const servers = 400
	f, s := startTestFleet(t, servers)
	pair := startAgentPair(t, f)
	setChangeRates(t, s, 15, 5)
	hollow.Sleep(t.Context(), 5*time.Second)
	setChangeRates(t, s, 0, 0)
	pair.waitSameVersion(t)

	realLog, state := parseRealAgentLog(t, f.logPath("agent-1")), pair.hollowState(t)
	realTraffic, hollowTraffic := pair.realForwarder.traffic(), pair.hollowForwarder.traffic()
	pair.logDifferences(t, realLog, state, realTraffic, hollowTraffic)
	if realTraffic.Calls != hollowTraffic.Calls {
		t.Errorf("calls: the real agent made %d, the hollow one %d", realTraffic.Calls, hollowTraffic.Calls)
	}
	if realLog.lines != state.Lines || realLog.entries != state.Entries || realLog.lines < 10 {
		t.Errorf("the real agent applied %d lines with %d entries, the hollow one %d with %d", realLog.lines, realLog.entries, state.Lines, state.Entries)
	}
	if realLog.version != state.VersionMin || state.ListedMin != servers {
		t.Errorf("the real agent is at version %d, the hollow one at %d with %d servers", realLog.version, state.VersionMin, state.ListedMin)
	}
	// The byte counts may differ only by heartbeats: an empty line in an HTTP chunk every 2 s.
	if difference := realTraffic.BytesIn - hollowTraffic.BytesIn; difference < -200 || difference > 200 {
		t.Errorf("the real agent read %d bytes, the hollow one %d", realTraffic.BytesIn, hollowTraffic.BytesIn)
	}
	if state.Total.BytesIn != hollowTraffic.BytesIn || state.Total.Calls != hollowTraffic.Calls {
		t.Errorf("the hollow agent counted %+v, the forwarder %+v", state.Total, hollowTraffic)
	}
	if state.Changes < 10 {
		t.Errorf("the ages of %d changes were recorded, want at least 10", state.Changes)
	}
}

// setChangeRates sets the rates of changes with the command that a scale run sends.
func setChangeRates(t *testing.T, s *hollow.Servers, configurationsPerSecond, restartsPerSecond float64) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler(t.Context()))
	address, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if err := hollow.Serve(ctx, address, mux); err != nil {
		t.Fatal(err)
	}
	rates := hollow.Rates{ConfigurationsPerSecond: configurationsPerSecond, RestartsPerSecond: restartsPerSecond}
	if err := hollow.Call(ctx, http.MethodPost, "http://"+address+"/v1/rates", rates, &rates); err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	addresses, err := loopback.Claim()
	if err != nil {
		return "", err
	}
	defer addresses.Close()
	return addresses.FreePort()
}

// waitSameVersion waits until both agents have the list version of the control-plane server.
func (pair *agentPair) waitSameVersion(t *testing.T) {
	t.Helper()
	realVersion := func() int64 { return parseRealAgentLog(t, pair.fleet.logPath("agent-1")).version }
	_, ok := poll(t.Context(), time.Minute, func() bool {
		hollow.Sleep(t.Context(), 300*time.Millisecond) // lets a change in progress reach the agents
		status, err := pair.fleet.status(t.Context(), 0)
		return err == nil && pair.hollowState(t).VersionMin == status.Seq && realVersion() == status.Seq
	})
	if !ok {
		t.Fatalf("the agents are not at the version of the server: hollow %+v, real %+v", pair.hollowState(t), parseRealAgentLog(t, pair.fleet.logPath("agent-1")))
	}
}

// Hollow servers that drain, leave or return appear in the list as real ones do.
func TestServersDrainLeaveAndReturn(t *testing.T) {
	const servers = 44
	f, s := startTestFleet(t, servers)
	if n := s.Drain(t.Context(), hollow.Range{First: 3, Count: 2}); n != 2 {
		t.Errorf("%d of 2 servers drained", n)
	}
	if n := s.Deregister(t.Context(), hollow.Range{First: 10, Count: 4}); n != 4 {
		t.Errorf("%d of 4 servers left", n)
	}
	list, err := f.client.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	draining := 0
	for i := range list.Endpoints {
		if list.Endpoints[i].Health == endpoints.Draining {
			draining++
		}
		if strings.HasPrefix(list.Endpoints[i].Name, "hollow-00012") {
			t.Errorf("%s left and is listed", list.Endpoints[i].Name)
		}
	}
	if len(list.Endpoints) != servers-4 || draining != 2 || s.State().Renewing != servers-4 {
		t.Errorf("%d servers are listed, %d of them draining, %d renewed", len(list.Endpoints), draining, s.State().Renewing)
	}
	if r := s.Register(t.Context(), hollow.Range{First: 10, Count: 4}); r.Servers != 4 || r.RefusalReason != "" {
		t.Errorf("registered again: %+v", r)
	}
	if list, err = f.client.List(t.Context()); err != nil || len(list.Endpoints) != servers {
		t.Errorf("%d servers are listed: %v", len(list.Endpoints), err)
	}
}
