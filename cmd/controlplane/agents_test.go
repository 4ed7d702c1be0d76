package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/agent"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/process"
)

// agentMain runs an agent as cmd/agent does. It never returns: it exits with status 1 once the agent has ended.
func agentMain() {
	fmt.Fprintln(os.Stderr, runAgent())
	os.Exit(1)
}

// runAgent runs an agent with the configuration file that EDGE_CONFIG names, and returns the error that ended it.
func runAgent() error {
	config, err := agent.LoadConfig(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	a, err := agent.New(config, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: config.LogLevel})))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	return a.Serve(context.Background(), listener)
}

// startAgents starts n agents that are configured with all servers of the control plane, and returns their
// listen addresses and their processes. It doesn't wait until they are ready.
func (cluster *testCluster) startAgents(n int) (addrs []string, processes []*process.Process) {
	cluster.t.Helper()
	for i := range n {
		addr, err := cluster.addrs.FreePort()
		if err != nil {
			cluster.t.Fatal(err)
		}
		name := fmt.Sprint("n", i)
		path := filepath.Join(cluster.dir, name+".json")
		if err := os.WriteFile(path, cluster.agentConfig(name, addr, i, n), 0o600); err != nil {
			cluster.t.Fatal(err)
		}
		p := cluster.supervisor.Add(process.Spec{
			Name:     name,
			Path:     executable(cluster.t),
			Env:      []string{agentChild + "=1", "EDGE_CONFIG=" + path},
			Log:      filepath.Join(cluster.dir, name+".log"),
			ReadyURL: "http://" + addr + "/ready",
		})
		startProcess(cluster.t, p)
		addrs, processes = append(addrs, addr), append(processes, p)
	}
	cluster.t.Cleanup(func() {
		for _, p := range processes {
			logIfFailed(cluster.t, p, 3000)
		}
	})
	return addrs, processes
}

// agentConfig returns the JSON configuration of the agent with an index, from 0 on, among n agents. It listens
// at addr.
func (cluster *testCluster) agentConfig(name, addr string, index, n int) []byte {
	cluster.t.Helper()
	config, err := json.Marshal(map[string]any{
		"name":      name,
		"listen":    addr,
		"seed":      fmt.Sprintf("%016x", index+1),
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"stewards":  cluster.client(cluster.names...).Addrs,
		"log_level": "debug",
		"settings": map[string]any{
			"replicasOfMe": n, "replicaIndex": index, "roundMs": 5, "weights": "nominal", "membershipMode": "on_request",
			"classes": []any{map[string]any{"name": "look", "aimMs": 1000, "giveUpMs": 5000, "credit": 1, "effect": "free",
				"group": "all", "keyTtlMs": 5000}},
			"failureDomains": []any{"a"}, "shapes": []any{"k"},
			"limits": map[string]any{"cancelling": true, "maxAttempts": 4, "connectTimeoutMs": 250, "keepaliveMs": 30000,
				"probing": true, "retryAfter": true, "maxRetryAfterMs": 500},
			"contract": map[string]any{"askWithinMs": 4000, "coldFrom": 0.3, "coldMs": 1000, "drainGraceMs": 250,
				"fallMultiple": 4, "tipAfterMs": 1000},
		},
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	return config
}

// startHTTPBackend starts a backend that answers requests with its name, and returns its endpoint.
func (cluster *testCluster) startHTTPBackend(name string) endpoints.Endpoint {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
	cluster.t.Cleanup(server.Close)
	endpoint := newEndpoint(name, float64(time.Now().UnixMilli()))
	endpoint.Dial = server.Listener.Addr().String()
	return endpoint
}

// registerEndpoint sends a registration to all servers in turn until one acknowledges it, and fails the
// test if none does within waitTimeout.
func (cluster *testCluster) registerEndpoint(endpoint endpoints.Endpoint) {
	cluster.t.Helper()
	client := cluster.client(cluster.names...)
	client.HTTP.Timeout = statusTimeout
	cluster.waitUntil(endpoint.Name+" is registered", func() bool {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
		defer cancel()
		_, err := client.Register(ctx, endpoint)
		return err == nil
	})
}

// requestPause is how long agentTraffic waits after an agent's answer before it sends the agent the next
// request.
const requestPause = 5 * time.Millisecond

// agentTraffic sends requests to agents, one at a time to each agent, and counts the answers.
type agentTraffic struct {
	addrs          []string
	senders        sync.WaitGroup
	stop           context.CancelFunc
	sent           atomic.Int64
	failed, served atomic.Int64

	mu           sync.Mutex
	firstFailure error
	answers      []map[string]int // counts, by index of the agent and by name of the backend
}

// startTraffic sends requests to the agents at the addresses until stopSending is called or the test ends.
func (cluster *testCluster) startTraffic(addrs []string) *agentTraffic {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	traffic := &agentTraffic{addrs: addrs, stop: cancel}
	for range addrs {
		traffic.answers = append(traffic.answers, map[string]int{})
	}
	for i := range addrs {
		traffic.senders.Go(func() {
			for ctx.Err() == nil {
				traffic.sendAndCount(i)
				time.Sleep(requestPause)
			}
		})
	}
	cluster.t.Cleanup(traffic.stopSending)
	return traffic
}

// stopSending ends the traffic and returns once the last answer has been counted.
func (traffic *agentTraffic) stopSending() {
	traffic.stop()
	traffic.senders.Wait()
}

// send sends a request to an agent and returns the name of the backend that answered. It returns an error
// if the request fails or the answer's status is not 200.
func (traffic *agentTraffic) send(agent int) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+traffic.addrs[agent]+fmt.Sprint("/look/u", traffic.sent.Add(1)), nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Request-Id", fmt.Sprint("r", traffic.sent.Load(), "-", agent, "-", time.Now().UnixNano()))
	req.Header.Set("Request-Timeout", "5000m")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return string(text), err
}

// sendAndCount sends a request to an agent and counts its answer or failure.
func (traffic *agentTraffic) sendAndCount(agent int) {
	backend, err := traffic.send(agent)
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	traffic.answers[agent][backend]++
	if err == nil {
		traffic.served.Add(1)
		return
	}
	traffic.failed.Add(1)
	if traffic.firstFailure == nil {
		traffic.firstFailure = fmt.Errorf("agent %d at %v: %w", agent, time.Now().Format("15:04:05.000"), err)
	}
}

// resetAnswersOf sets each agent's count of a backend's answers to zero.
func (traffic *agentTraffic) resetAnswersOf(backend string) {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	for i := range traffic.answers {
		traffic.answers[i][backend] = 0
	}
}

// allAgentsReach reports whether all agents have had an answer from a backend.
func (traffic *agentTraffic) allAgentsReach(backend string) bool {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	for i := range traffic.answers {
		if traffic.answers[i][backend] == 0 {
			return false
		}
	}
	return true
}

// waitUntilAllAgentsReach waits until each agent has had another answer from a backend.
func (traffic *agentTraffic) waitUntilAllAgentsReach(cluster *testCluster, backend string) {
	cluster.t.Helper()
	traffic.resetAnswersOf(backend)
	cluster.waitUntil("all agents send requests to "+backend, func() bool { return traffic.allAgentsReach(backend) })
}

// Agents serve without a failed request through faults of the control plane: the leader is killed, a server is
// suspended, all servers are down while a backend is replaced, a snapshot is restored, and a new cluster
// starts at the same addresses. After each fault the agents receive the changes to the list.
func TestAgentsServeThroughControlPlaneFaults(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.registerEndpoint(cluster.startHTTPBackend("p-0"))
	cluster.registerEndpoint(cluster.startHTTPBackend("p-1"))
	addrs, agents := cluster.startAgents(3)
	for _, p := range agents {
		waitUntilReady(t, p)
	}
	traffic := cluster.startTraffic(addrs)
	registerAndWaitForTraffic := func(backend string) {
		t.Helper()
		cluster.registerEndpoint(cluster.startHTTPBackend(backend))
		traffic.waitUntilAllAgentsReach(cluster, backend)
	}
	traffic.waitUntilAllAgentsReach(cluster, "p-0")
	saved, err := cluster.client(cluster.names...).Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	killed := cluster.waitForLeader()
	cluster.kill(killed)
	registerAndWaitForTraffic("p-2")
	cluster.start(killed)

	suspended := cluster.waitForLeader()
	cluster.suspend(suspended)
	registerAndWaitForTraffic("p-3")
	cluster.resume(suspended)

	replaceBackendDuringOutage(cluster, traffic, "p-1")
	registerAndWaitForTraffic("p-4")

	// The snapshot has neither p-2 nor any later backend.
	if _, err := cluster.client(cluster.waitForLeader()).Restore(t.Context(), saved); err != nil {
		t.Fatal(err)
	}
	registerAndWaitForTraffic("p-5")

	// A new cluster knows no backend until one registers.
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.eraseData(name)
	}
	cluster.startServers(cluster.names)
	registerAndWaitForTraffic("p-6")
	traffic.stopSending()
	traffic.requireNoFailure(t)
	for _, p := range agents {
		requireBoundedWarnings(t, p)
	}
}

// waitUntilReady waits until a process that was started is ready. It fails the test if the process is not
// ready within waitTimeout or ends before.
func waitUntilReady(t *testing.T, p *process.Process) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := p.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// requireNoFailure requires that every request was answered with status 200. The traffic must be stopped.
func (traffic *agentTraffic) requireNoFailure(t *testing.T) {
	t.Helper()
	if failed := traffic.failed.Load(); failed > 0 {
		t.Errorf("%d of %d requests failed, first %v", failed, failed+traffic.served.Load(), traffic.firstFailure)
	}
}

// requireBoundedWarnings requires that an agent has logged warnings of the control plane's faults, but has not
// flooded its log with them.
func requireBoundedWarnings(t *testing.T, agent *process.Process) {
	t.Helper()
	const maxWarnings = 60
	if lines := strings.Count(processLog(agent), "level=WARN"); lines == 0 || lines > maxWarnings {
		t.Errorf("%s logged %d warnings", agent.Name, lines)
	}
}

// replaceBackendDuringOutage kills all servers, starts a backend of an existing name at another address, waits
// until the agents have served minServed requests without any server, starts the servers again and registers
// the new backend.
func replaceBackendDuringOutage(cluster *testCluster, traffic *agentTraffic, backend string) {
	cluster.t.Helper()
	const minServed = 200
	cluster.killServers(cluster.names)
	replacement := cluster.startHTTPBackend(backend)
	served := traffic.served.Load()
	cluster.waitUntil("requests are served without a server of the control plane", func() bool { return traffic.served.Load() > served+minServed })
	cluster.startServers(cluster.names)
	cluster.registerEndpoint(replacement)
}
