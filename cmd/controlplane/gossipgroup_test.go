package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/gossip"
	"knotrouter/internal/lab/link"
	"knotrouter/internal/lab/loopback"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/member"
)

const (
	// gossipObservers is how many processes of a gossipGroup are observers.
	gossipObservers = 5
	// countsPollInterval is how often bytesSent looks for a process's answer in its log. It is short, as the
	// processes are asked one after the other while a benchmark measures.
	countsPollInterval = time.Millisecond
)

// memberMain is the main function of a process that only gossips. It logs the changes of members' states that it
// observes, and on SIGHUP the number of bytes that it has sent.
func memberMain() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	peers, err := readPeers(os.Getenv("MEMBER_PEERS"))
	if err != nil {
		log.Error("can't read the peers' addresses", "err", err)
		os.Exit(1)
	}
	node, err := gossip.Start(memberConfig(log, peers))
	if err != nil {
		log.Error("can't start the gossip", "err", err)
		os.Exit(1)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for ctx.Err() == nil {
		select {
		case <-hangups:
			log.Info("counts", "sent", node.Counts().SentBytes)
		case <-ctx.Done():
		}
	}
	node.Close()
}

// readPeers reads the members' addresses by name from a JSON file.
func readPeers(path string) (peers map[string]string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &peers); err != nil {
		return nil, err
	}
	return peers, nil
}

// memberConfig returns the configuration of a gossiping process from environment variables.
func memberConfig(log *slog.Logger, peers map[string]string) gossip.Config {
	self := member.Info{
		ProtocolVersion: member.ProtocolVersion,
		Name:            os.Getenv("MEMBER_NAME"),
		Role:            member.Role(os.Getenv("MEMBER_ROLE")),
	}
	self.Incarnation, _ = strconv.ParseInt(os.Getenv("MEMBER_LIFE"), 10, 64)
	return gossip.Config{
		Self:    self,
		Listen:  os.Getenv("MEMBER_LISTEN"),
		Log:     log,
		Tracker: member.Defaults(self),
		Peers:   func() map[string]string { return peers },
		OnChange: func(changes []member.Change) {
			for _, change := range changes {
				log.Info("member", "name", change.Name, "to", change.To)
			}
		},
	}
}

// Patterns of lines in the log that memberMain writes.
var (
	stateChangePattern = regexp.MustCompile(`(?m)^time=(\S+) level=INFO msg=member name=(\S+) to=(\S+)$`)
	sentCountPattern   = regexp.MustCompile(`(?m)msg=counts sent=(\d+)$`)
)

// gossipGroup is a group of gossiping processes, the first gossipObservers of which are observers.
type gossipGroup struct {
	t            testing.TB
	names        []string
	processes    map[string]*process.Process
	env          map[string][]string // of each process, without its incarnation
	incarnations map[string]int64
	links        []*link.UDP
}

// newGossipGroup starts n processes. loss is the share of the datagrams to each process that are lost, or 0.
func newGossipGroup(t testing.TB, n int, loss float64) *gossipGroup {
	t.Helper()
	addrs, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	group := &gossipGroup{t: t, processes: map[string]*process.Process{}, env: map[string][]string{}, incarnations: map[string]int64{}}
	supervisor := process.New(nil)
	t.Cleanup(func() {
		supervisor.Close()
		for _, l := range group.links {
			l.Close()
		}
		addrs.Close()
	})
	listen := map[string]string{}
	for i := range n {
		name := fmt.Sprintf("m-%03d", i)
		if listen[name], err = addrs.FreePort(); err != nil {
			t.Fatal(err)
		}
		group.names = append(group.names, name)
	}
	peers := map[string]string{}
	for i, name := range group.names {
		peers[name] = listen[name]
		if loss > 0 {
			peers[name] = group.addLossyLink(addrs.IP(), listen[name], loss, uint64(i))
		}
	}
	peersFile := filepath.Join(dir, "peers.json")
	text, err := json.Marshal(peers)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(peersFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for i, name := range group.names {
		role := member.RoleWorker
		if i < gossipObservers {
			role = member.RoleControlPlane
		}
		group.processes[name] = supervisor.Add(process.Spec{Name: name, Path: executable(t), Log: filepath.Join(dir, name+".log")})
		group.env[name] = []string{
			memberChild + "=1",
			"MEMBER_NAME=" + name,
			"MEMBER_ROLE=" + string(role),
			"MEMBER_LISTEN=" + listen[name],
			"MEMBER_PEERS=" + peersFile,
		}
		group.start(name)
	}
	return group
}

// addLossyLink adds a link that loses datagrams, but nothing of streams, and returns its address. The link leads to
// the process at target.
func (group *gossipGroup) addLossyLink(ip, target string, loss float64, seed uint64) string {
	group.t.Helper()
	streams, err := link.New(ip+":0", target, 1)
	if err != nil {
		group.t.Fatal(err)
	}
	group.t.Cleanup(streams.Close)
	datagrams, err := link.NewUDP(streams.Addr(), target, seed)
	if err != nil {
		group.t.Fatal(err)
	}
	datagrams.Set(link.Shape{LossProbability: loss, Jitter: 20 * time.Millisecond}, link.Shape{})
	group.links = append(group.links, datagrams)
	return streams.Addr()
}

// start starts a process as its next incarnation.
func (group *gossipGroup) start(name string) {
	group.t.Helper()
	group.incarnations[name]++
	p := group.processes[name]
	p.Env = append(group.env[name][:len(group.env[name]):len(group.env[name])], fmt.Sprint("MEMBER_LIFE=", group.incarnations[name]))
	startProcess(group.t, p)
}

// bytesSent returns how many bytes all processes together have sent.
func (group *gossipGroup) bytesSent() (sum int64) {
	group.t.Helper()
	for _, name := range group.names {
		p := group.processes[name]
		before := len(processLog(p))
		signalProcess(group.t, p, syscall.SIGHUP)
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(countsPollInterval) {
			if match := sentCountPattern.FindStringSubmatch(processLog(p)[before:]); match != nil {
				sent, _ := strconv.ParseInt(match[1], 10, 64)
				sum += sent
				break
			}
			if time.Now().After(deadline) {
				group.t.Fatalf("%s logged no counts within %v", name, waitTimeout)
			}
		}
	}
	return sum
}

// stateTimes returns, by observer and member, the times at which the observer logged that the member entered a
// state.
func (group *gossipGroup) stateTimes(state member.State) map[string]map[string][]time.Time {
	group.t.Helper()
	times := map[string]map[string][]time.Time{}
	for _, observer := range group.names {
		times[observer] = map[string][]time.Time{}
		for _, match := range stateChangePattern.FindAllStringSubmatch(group.log(observer), -1) {
			if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil && match[3] == string(state) {
				times[observer][match[2]] = append(times[observer][match[2]], at)
			}
		}
	}
	return times
}

// lastStates returns the last state that an observer has logged of each member.
func (group *gossipGroup) lastStates(observer string) map[string]member.State {
	group.t.Helper()
	states := map[string]member.State{}
	for _, match := range stateChangePattern.FindAllStringSubmatch(group.log(observer), -1) {
		states[match[2]] = member.State(match[3])
	}
	return states
}

// log returns the log of a process, which must exist.
func (group *gossipGroup) log(name string) string {
	group.t.Helper()
	text, err := os.ReadFile(group.processes[name].Log)
	if err != nil {
		group.t.Fatal(err)
	}
	return string(text)
}
