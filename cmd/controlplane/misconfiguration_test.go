package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"knotrouter/internal/control"
	"knotrouter/internal/lab/process"
	"knotrouter/internal/member"
)

// A second process with a name that is in use, a process with an unknown name, a peer table that lists one
// server at the address of another, a peer that never runs, and clocks an hour apart are each reported or
// rejected, and the correctly configured servers keep working.
func TestMisconfiguredMembersAreRejected(t *testing.T) {
	cluster := newGossipCluster(t, 3, "")
	for i, name := range cluster.names {
		cluster.setenv(name, clockOffsetVariable, []string{"1h", "-1h", "0s"}[i])
	}
	names := slices.Clone(cluster.names)
	cluster.add("st-4")
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
	}
	// A new cluster is formed only once all peers answer, so st-4 runs until then.
	cluster.startAll()
	cluster.kill("st-4")
	cluster.misdirectPeer("st-1", "st-3", "st-2")
	cluster.kill("st-1")
	cluster.start("st-1")
	cluster.waitForState("st-2", member.Present, "st-1", "st-3")
	cluster.waitForState("st-2", member.Failed, "st-4")
	for i := range 10 {
		cluster.register(fmt.Sprint("s-", i), 1, "st-2", "st-3")
	}
	cluster.waitUntil("st-1 doesn't reach st-3 at the address in its peer table", func() bool {
		view, ok := cluster.view("st-1")
		return ok && ownObservation(&view, "st-3") != member.Present
	})
	cluster.waitUntil("calls for another server are rejected", func() bool {
		status, err := cluster.status("st-1")
		return err == nil && (status.State != "leader" || strings.Contains(processLog(cluster.servers["st-2"].proc), "the call was for another steward"))
	})

	requireDuplicateNameExits(t, cluster, names)

	unknown := cluster.startWithChangedConfig("st-3", "unknown", func(text string) string { return strings.Replace(text, `name = "st-3"`, `name = "st-9"`, 1) })
	cluster.waitUntil("gossip of an unknown name is rejected", func() bool { return cluster.metric("st-2", "steward_gossip_refused_total") > 0 })
	if view := cluster.waitForView("st-2"); view.State("st-9") != "" {
		t.Errorf("st-9, which is in no peer table, is %q", view.State("st-9"))
	}
	killProcess(unknown)
	cluster.waitForState("st-2", member.Present, "st-3")
	entry, err := cluster.client("st-2").Server(t.Context(), "s-9", true)
	var rejected *control.HTTPError
	if err != nil || entry.Endpoint.StartedMs != 1 || errors.As(err, &rejected) {
		t.Errorf("a consistent read of s-9: %+v, %v", entry, err)
	}
}

// requireDuplicateNameExits starts a second process with the name st-3, another data folder and other
// addresses. It requires that the second process exits with a line that gives the reason, that one of the
// servers named logs the second process, and that the first process stays a voter.
func requireDuplicateNameExits(t *testing.T, cluster *testCluster, names []string) {
	t.Helper()
	duplicate := cluster.startWithChangedConfig("st-3", "duplicate", nil)
	waitForEnd(t, duplicate, duplicate.Ended())
	if log := processLog(duplicate); !strings.Contains(log, "controlplane: name: taken: another process is called st-3, and is there") {
		t.Errorf("the second process wrote %q", log)
	}
	reported := false
	for _, name := range names {
		log := processLog(cluster.servers[name].proc)
		if strings.Contains(log, `"peer removed from the raft configuration"`) {
			t.Errorf("%s: the first process was removed from the voters for the second", name)
		}
		reported = reported || strings.Contains(log, "request of a second process with the name") || strings.Contains(log, "two processes use one name")
	}
	if status := cluster.waitForStatus("st-3"); !reported || !slices.Contains(status.Voters, "st-3") {
		t.Errorf("the second process was reported: %v; the first: %+v", reported, status)
	}
}

// misdirectPeer replaces the addresses of a peer in a server's configuration with those of another server.
// It fails the test if the configuration has no section for the peer.
func (cluster *testCluster) misdirectPeer(name, peer, other string) {
	cluster.t.Helper()
	text, err := os.ReadFile(cluster.configPath(name))
	if err != nil {
		cluster.t.Fatal(err)
	}
	before, after, found := strings.Cut(string(text), "[peers."+peer+"]")
	if !found {
		cluster.t.Fatalf("the configuration of %s has no peer %s", name, peer)
	}
	rest := ""
	if next := strings.Index(after, "[peers."); next >= 0 {
		rest = after[next:]
	}
	target := cluster.servers[other]
	section := fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\ngossip = %q\n", peer, target.http, target.raft, target.gossip)
	if err := os.WriteFile(cluster.configPath(name), []byte(before+section+rest), 0o600); err != nil {
		cluster.t.Fatal(err)
	}
}

// startWithChangedConfig starts another process with the configuration of a server, but with its own data
// folder and addresses. Its files have the name fileName. If change is not nil, the process starts with the
// configuration that change returns.
func (cluster *testCluster) startWithChangedConfig(name, fileName string, change func(config string) string) *process.Process {
	cluster.t.Helper()
	text, err := os.ReadFile(cluster.configPath(name))
	if err != nil {
		cluster.t.Fatal(err)
	}
	server := cluster.servers[name]
	config := strings.Replace(string(text), fmt.Sprintf("data = %q", cluster.dataDir(name)), fmt.Sprintf("data = %q", cluster.dataDir(fileName)), 1)
	for _, setting := range []struct{ key, addr string }{{"listen", server.http}, {"\nraft", server.raft}, {"\ngossip", server.gossip}} {
		addr, err := cluster.addrs.FreePort()
		if err != nil {
			cluster.t.Fatal(err)
		}
		config = strings.Replace(config, fmt.Sprintf("%s = %q", setting.key, setting.addr), fmt.Sprintf("%s = %q", setting.key, addr), 1)
	}
	if change != nil {
		config = change(config)
	}
	configPath := cluster.configPath(fileName)
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		cluster.t.Fatal(err)
	}
	proc := cluster.supervisor.Add(server.proc.Spec)
	proc.Name = name + " as " + fileName
	proc.Args, proc.Log = []string{"serve", "--config", configPath}, filepath.Join(cluster.dir, fileName+".log")
	startProcess(cluster.t, proc)
	return proc
}
