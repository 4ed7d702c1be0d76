package scale

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"knotrouter/internal/lab/capacity"
	"knotrouter/internal/lab/hollow"
	"knotrouter/internal/lab/process"
)

// The roles of measurements. The format of the results fixes the values, in which a control-plane server
// is called a steward.
const (
	roleLeader   = "steward leader"
	roleFollower = "steward follower" // mean over the followers
	roleReader   = "hollow agent"     // per agent: the figures of the processes divided by the number of agents
	roleServer   = "hollow server"    // per server: the figures of the process divided by the number of servers
	roleAgent    = "real agent"       // mean over the real agents
	roleRequests = "requests"
	roleReaders  = "readers" // all hollow agents together
)

// Metrics of a control-plane server that count the changes written to watches, by the kind of watch.
const (
	linesSentMetric       = "steward_lines_sent_total"
	scopedLinesSentMetric = "steward_scoped_lines_sent_total"
)

// sample holds the values of all counters at one time.
type sample struct {
	at           time.Time
	cpu          map[*process.Process]time.Duration // processor time of each process, summed over all its runs
	readers      hollow.AgentsState
	servers      hollow.ServersState
	agents       map[string]hollow.Traffic // traffic of the real agents, by the address of the control-plane server
	lines        []float64                 // changes written to watches, by index of the control-plane server
	appliedIndex uint64                    // index of the last log entry that the leader has applied
}

// sample reads all counters and, with withAges, the ages of changes. It returns an error if a hollow
// process doesn't respond, but leaves out a control-plane server that doesn't respond.
func (f *fleet) sample(ctx context.Context, withAges bool) (*sample, error) {
	s := &sample{cpu: map[*process.Process]time.Duration{}, agents: map[string]hollow.Traffic{}, lines: make([]float64, len(f.controlPlane))}
	var err error
	if s.readers, err = f.readersState(ctx, hollow.ExpectedList{}, withAges); err != nil {
		return nil, err
	}
	if s.servers, err = f.serversState(ctx); err != nil {
		return nil, err
	}
	for i := range f.controlPlane {
		if text, err := f.get(ctx, i, "/metrics"); err == nil {
			s.lines[i] = metricValue(text, linesSentMetric) + metricValue(text, scopedLinesSentMetric)
		}
	}
	if leader := f.leader(ctx); leader >= 0 {
		if status, err := f.status(ctx, leader); err == nil {
			s.appliedIndex = status.Applied
		}
	}
	for _, forwarder := range f.forwarders {
		s.agents[forwarder.target] = forwarder.traffic()
	}
	s.at = time.Now()
	for _, p := range f.supervisor.All() {
		_, peak, _ := p.SampleUsage()
		s.cpu[p] = peak.CPU // the sum over all runs of the process
	}
	return s, nil
}

// metricValue returns the value of a metric without labels from the Prometheus text format, or 0 if
// the metric is missing.
func metricValue(text []byte, name string) float64 {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, _ := strconv.ParseFloat(value, 64)
			return number
		}
	}
	return 0
}

// measurement adds the difference between two samples to the results.
type measurement struct {
	fleet         *fleet
	result        *capacity.Run
	load          string
	before, after *sample
	seconds       float64
}

func (m *measurement) add(role, metric string, value float64) {
	m.result.Add(role, m.load, metric, value)
}

// cores returns the mean number of processor cores that a process used.
func (m *measurement) cores(p *process.Process) float64 {
	return (m.after.cpu[p] - m.before.cpu[p]).Seconds() / m.seconds
}

// residentMB returns the resident memory of a process, in MB.
func residentMB(p *process.Process) float64 {
	now, _, _ := p.SampleUsage()
	return now.RSSMB
}

// addAll adds the figures of all roles. leader is the index of the leading control-plane server, or -1.
func (m *measurement) addAll(leader int, requests requestFigures) {
	m.addControlPlane(leader)
	m.addReaders()
	m.addServers()
	m.addAgents()
	if requests.sent > 0 {
		m.add(roleRequests, "served_share", float64(requests.served)/float64(requests.sent))
		m.add(roleRequests, "p50_ms", requests.p50Ms)
		m.add(roleRequests, "p99_ms", requests.p99Ms)
	}
}

// addControlPlane adds the resource use of the control-plane servers. Bytes and calls are those that
// hollow agents, real agents and hollow servers counted; the traffic between control-plane servers is
// not included.
func (m *measurement) addControlPlane(leader int) {
	var followers []int
	for i := range m.fleet.controlPlane {
		if i != leader {
			followers = append(followers, i)
		}
	}
	if leader >= 0 {
		m.addControlPlaneRole(roleLeader, []int{leader})
	}
	if len(followers) > 0 {
		m.addControlPlaneRole(roleFollower, followers)
	}
	if m.after.appliedIndex >= m.before.appliedIndex {
		m.add(roleLeader, "log_entries", float64(m.after.appliedIndex-m.before.appliedIndex))
	}
}

// addControlPlaneRole adds the means over the control-plane servers with the given indexes.
func (m *measurement) addControlPlaneRole(role string, indexes []int) {
	var cores, resident, lines float64
	var traffic hollow.Traffic
	for _, i := range indexes {
		p, address := m.fleet.controlPlane[i], m.fleet.controlPlaneAddrs[i]
		cores += m.cores(p)
		resident += residentMB(p)
		if delta := m.after.lines[i] - m.before.lines[i]; delta >= 0 {
			lines += delta
		} else {
			lines += m.after.lines[i] // the server was restarted, which reset its counter
		}
		traffic.Add(m.after.readers.ByAddress[address].Sub(m.before.readers.ByAddress[address]))
		traffic.Add(m.after.servers.ByAddress[address].Sub(m.before.servers.ByAddress[address]))
		traffic.Add(m.after.agents[address].Sub(m.before.agents[address]))
	}
	count := float64(len(indexes))
	m.add(role, "cpu_cores", cores/count)
	m.add(role, "rss_mb", resident/count)
	m.add(role, "bytes_in_per_second", float64(traffic.BytesOut)/count/m.seconds)
	m.add(role, "bytes_out_per_second", float64(traffic.BytesIn)/count/m.seconds)
	m.add(role, "calls_per_second", float64(traffic.Calls)/count/m.seconds)
	m.add(role, "lines_per_second", lines/count/m.seconds)
	m.add(role, "refused_calls", float64(traffic.Refused)/count)
}

// addReaders adds the resource use of hollow agents and the ages of the changes that they received.
func (m *measurement) addReaders() {
	count := float64(m.after.readers.Agents)
	var cores, resident float64
	for _, p := range m.fleet.readers {
		cores += m.cores(p)
		resident += residentMB(p)
	}
	traffic := m.after.readers.Total.Sub(m.before.readers.Total)
	m.add(roleReader, "cpu_cores", cores/count)
	m.add(roleReader, "rss_mb", resident/count)
	m.addTraffic(roleReader, traffic, count)
	m.add(roleReader, "lines_per_second", float64(m.after.readers.Lines-m.before.readers.Lines)/count/m.seconds)
	m.add(roleReaders, "refused_calls", float64(traffic.Refused))
	if m.after.readers.Changes > 0 {
		m.add(roleReaders, "change_p50_ms", float64(m.after.readers.ChangeP50Ms))
		m.add(roleReaders, "change_p99_ms", float64(m.after.readers.ChangeP99Ms))
		m.add(roleReaders, "change_last_ms", float64(m.after.readers.ChangeLastMs))
	}
}

// addTraffic adds the mean calls and bytes of one agent or server, from the total traffic of count agents or
// servers.
func (m *measurement) addTraffic(role string, traffic hollow.Traffic, count float64) {
	m.add(role, "bytes_in_per_second", float64(traffic.BytesIn)/count/m.seconds)
	m.add(role, "bytes_out_per_second", float64(traffic.BytesOut)/count/m.seconds)
	m.add(role, "calls_per_second", float64(traffic.Calls)/count/m.seconds)
}

// addServers adds the resource use of hollow servers.
func (m *measurement) addServers() {
	count := float64(m.after.servers.Servers)
	traffic := m.after.servers.Total.Sub(m.before.servers.Total)
	m.add(roleServer, "cpu_cores", m.cores(m.fleet.hollowServers)/count)
	m.add(roleServer, "rss_mb", residentMB(m.fleet.hollowServers)/count)
	m.addTraffic(roleServer, traffic, count)
	m.add(roleServer, "refused_calls", float64(traffic.Refused))
}

// addAgents adds the resource use of real agents, if there are any.
func (m *measurement) addAgents() {
	count := float64(len(m.fleet.agents))
	if count == 0 {
		return
	}
	var cores, resident float64
	for _, p := range m.fleet.agents {
		cores += m.cores(p)
		resident += residentMB(p)
	}
	var traffic hollow.Traffic
	for address, after := range m.after.agents {
		traffic.Add(after.Sub(m.before.agents[address]))
	}
	m.add(roleAgent, "cpu_cores", cores/count)
	m.add(roleAgent, "rss_mb", resident/count)
	m.addTraffic(roleAgent, traffic, count)
}

// addPayloadSizes adds the sizes of the leader's snapshot and full list, if there is a leader.
func (m *measurement) addPayloadSizes(ctx context.Context, leader int) error {
	if leader < 0 {
		return nil
	}
	for path, metric := range map[string]string{"/v1/snapshot": "snapshot_bytes", "/v1/endpoints": "list_bytes"} {
		text, err := m.fleet.getWithRetry(ctx, leader, path)
		if err != nil {
			return fmt.Errorf("%s: %w", metric, err)
		}
		m.add(roleLeader, metric, float64(len(text)))
	}
	return nil
}

// getWithRetry reads a path of a control-plane server. It retries for up to startTimeout, as the server
// may refuse calls by admission control.
func (f *fleet) getWithRetry(ctx context.Context, i int, path string) (text []byte, err error) {
	poll(ctx, startTimeout, func() bool {
		text, err = f.get(ctx, i, path)
		return err == nil
	})
	return text, err
}
