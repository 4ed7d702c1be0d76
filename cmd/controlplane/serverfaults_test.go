package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/control"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/link"
)

// startReader starts a reader, which begins at the first named.
func (cluster *testCluster) startReader(at ...string) *watchReader {
	ctx, cancel := context.WithCancel(context.Background())
	reader := &watchReader{listed: map[string]endpoints.Endpoint{}, stop: cancel, done: make(chan struct{})}
	addrs := cluster.client(at...).Addrs
	order := uint64(0)
	for first := ""; first != addrs[0]; order++ {
		c := endpoints.NewAddressSelector(addrs, order+1, 1)
		c.BeginRound()
		first, _, _ = c.Next(0, 0)
	}
	// It takes older lists too, to be able to say that there were any.
	c := endpoints.NewClient(endpoints.ClientConfig{Addresses: addrs, Order: order, Fleet: 1})
	go func() {
		defer close(reader.done)
		for ctx.Err() == nil {
			reader.mu.Lock()
			seq := reader.version
			reader.mu.Unlock()
			_ = c.Watch(ctx, seq, func(l endpoints.List) { reader.apply(&l) })
			time.Sleep(10 * time.Millisecond)
		}
	}()
	cluster.t.Cleanup(cancel)
	return reader
}

// A leader that is killed, stopped, or no longer heard is replaced; writes go on, nothing
// that was acknowledged is lost, no version goes back, and it catches up when it is well.
func TestWritesContinueAfterLeaderFault(t *testing.T) {
	for _, fault := range []string{"killed", "stopped", "not heard", "hears nothing", "cut off"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 3)
			writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
			cluster.waitUntil("writes", func() bool { return writer.count() > 20 })
			oldLeader := cluster.waitForLeader()
			cut := func(out, in bool) {
				for _, other := range cluster.others(oldLeader) {
					if err := cluster.links[[2]string{oldLeader, other}].Set(link.Shape{Cut: out}, link.Shape{Cut: in}); err != nil {
						t.Fatal(err)
					}
					if err := cluster.links[[2]string{other, oldLeader}].Set(link.Shape{Cut: in}, link.Shape{Cut: out}); err != nil {
						t.Fatal(err)
					}
				}
			}
			var heal func()
			switch fault {
			case "killed":
				cluster.kill(oldLeader)
				heal = func() { cluster.start(oldLeader) }
			case "stopped":
				if err := cluster.servers[oldLeader].proc.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				heal = func() { _ = cluster.servers[oldLeader].proc.Signal(syscall.SIGCONT) }
			case "not heard":
				cut(true, false)
				heal = func() { cut(false, false) }
			case "hears nothing":
				cut(false, true)
				heal = func() { cut(false, false) }
			case "cut off":
				cut(true, true)
				heal = func() { cut(false, false) }
			}
			cluster.waitUntil("another leader", func() bool {
				for _, n := range cluster.others(oldLeader) {
					if status, err := cluster.status(n); err == nil && status.State == "leader" {
						return true
					}
				}
				return false
			})
			cluster.register("during", 1, cluster.others(oldLeader)...)
			cluster.waitUntil("read while the fault lasts", func() bool { _, ok := reader.lookup("during"); return ok })
			heal()
			cluster.waitUntil("caught up", func() bool {
				e, err := cluster.servers[oldLeader].client.Server(context.Background(), "during", false)
				return err == nil && e.Endpoint.Name == "during"
			})
			before := writer.count()
			cluster.waitUntil("more writes", func() bool { return writer.count() > before+20 })
			writer.stopAndVerify(cluster, cluster.names...)
			reader.stopAndVerify(t)
		})
	}
}

// Whatever is killed, however often, under writes: each that was acknowledged is there.
func TestAcknowledgedWritesSurviveRepeatedKills(t *testing.T) {
	cluster := newCluster(t, 3)
	rng := newSeededRand(t, 4)
	writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
	for range 12 {
		before := writer.count()
		cluster.waitUntil("writes", func() bool { return writer.count() > before+15 })
		victims := []string{cluster.names[rng.IntN(3)]}
		if rng.IntN(4) == 0 { // all at once
			victims = cluster.names
		}
		for _, name := range victims {
			cluster.kill(name)
		}
		for _, name := range victims {
			cluster.start(name)
		}
	}
	writer.stopAndVerify(cluster, cluster.names...)
	reader.stopAndVerify(t)
}

// With two of three gone nothing is written and nothing is lost; what is there is served
// on; with one of them back writes go on.
func TestQuorumLossRejectsWrites(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.register("before", 1)
	survivor := cluster.names[1]
	reader := cluster.startReader(survivor)
	cluster.waitUntil("read", func() bool { _, ok := reader.lookup("before"); return ok })
	for _, name := range cluster.others(survivor) {
		cluster.kill(name)
	}
	cluster.waitUntil("stale", func() bool { status, err := cluster.status(survivor); return err == nil && status.Stale })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := cluster.servers[survivor].client.Register(ctx, newEndpoint("never", 1)); err == nil {
		t.Error("a write was acknowledged without the quorum")
	}
	if l, err := cluster.servers[survivor].client.List(ctx); err != nil || len(l.Endpoints) != 1 {
		t.Errorf("a steward without a better one doesn't serve its list: %v %v", l, err)
	}
	if _, err := cluster.servers[survivor].client.Server(ctx, "before", true); err == nil {
		t.Error("a read as of now was answered without the quorum")
	}
	cluster.start(cluster.others(survivor)[0])
	cluster.register("after", 1)
	cluster.waitUntil("read on", func() bool { _, ok := reader.lookup("after"); return ok })
	if _, ok := reader.lookup("never"); ok {
		t.Error("a write that was refused is there")
	}
	reader.stopAndVerify(t)
}

// A steward that has lost the quorum sends its watches to those that have it.
func TestStaleServerEndsItsWatches(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.register("s", 1)
	cutOff := cluster.others(cluster.waitForLeader())[0]
	reader := cluster.startReader(append([]string{cutOff}, cluster.others(cutOff)...)...)
	cluster.waitUntil("read", func() bool { _, ok := reader.lookup("s"); return ok })
	for _, other := range cluster.others(cutOff) {
		for _, key := range [][2]string{{cutOff, other}, {other, cutOff}} {
			if err := cluster.links[key].Set(link.Shape{Cut: true}, link.Shape{Cut: true}); err != nil {
				t.Fatal(err)
			}
		}
	}
	cluster.register("news", 1, cluster.others(cutOff)...)
	cluster.waitUntil("told by a better one", func() bool { _, ok := reader.lookup("news"); return ok })
	resp, err := http.Get("http://" + cluster.servers[cutOff].http + endpoints.Path)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a stale steward answers %s though better ones are there", resp.Status)
	}
	reader.stopAndVerify(t)
}

// A steward whose folder is gone joins anew, without a vote until the others took it in:
// even where it comes back while another is gone, what was acknowledged stays.
func TestServerRejoinsWithoutItsData(t *testing.T) {
	cluster := newCluster(t, 3)
	writer := cluster.startWriter("s")
	cluster.waitUntil("writes", func() bool { return writer.count() > 100 })
	victim := cluster.others(cluster.waitForLeader())[0]
	cluster.kill(victim)
	if err := os.RemoveAll(cluster.dataDir(victim)); err != nil {
		t.Fatal(err)
	}
	cluster.start(victim)
	cluster.waitUntil("a voter again", func() bool {
		// It replays the log, and meanwhile says of the voters what was so before its loss:
		// the leader's word counts, from when its raft runs, which took its being off them.
		if status, err := cluster.status(victim); err != nil || status.Applied == 0 {
			return false
		}
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && slices.Contains(status.Voters, victim) && len(status.Voters) == 3
	})
	writer.stopAndVerify(cluster, cluster.names...)
	// All the others' knowledge is its own now: with the old leader gone it makes a quorum.
	cluster.kill(cluster.waitForLeader())
	cluster.register("after", 1)
}

// A steward that lost its folder may have promised what it forgot, so it doesn't vote: with
// the one gone that knows what was acknowledged, the two others wait for it.
func TestServerWithoutItsDataDoesNotVote(t *testing.T) {
	cluster := newCluster(t, 3)
	informed := cluster.waitForLeader()
	erased, lagging := cluster.others(informed)[0], cluster.others(informed)[1]
	cluster.kill(lagging)
	cluster.register("acknowledged", 1, informed)
	cluster.kill(erased)
	cluster.kill(informed)
	if err := os.RemoveAll(cluster.dataDir(erased)); err != nil {
		t.Fatal(err)
	}
	cluster.start(erased)
	cluster.start(lagging)
	cluster.waitUntil("both run", func() bool {
		for _, name := range []string{erased, lagging} {
			if _, err := cluster.status(name); err != nil {
				return false
			}
		}
		return true
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) { // ten heartbeats
		for _, name := range []string{erased, lagging} {
			if status, err := cluster.status(name); err == nil && status.State == "leader" {
				t.Fatalf("%s leads by the vote of %s, which forgot", name, erased)
			}
		}
	}
	cluster.start(informed)
	cluster.waitUntil("what was acknowledged is there", func() bool {
		e, err := cluster.client(cluster.names...).Server(context.Background(), "acknowledged", true)
		return err == nil && e.Endpoint.StartedMs == 1
	})
}

// Far behind, a steward is brought up by a snapshot.
func TestLaggingServerInstallsSnapshot(t *testing.T) {
	cluster := newCluster(t, 3)
	lagging := cluster.others(cluster.waitForLeader())[0]
	cluster.kill(lagging)
	cluster.register("once", 7) // no later entry of the log tells of it
	for i := range 300 {        // several times what a log keeps
		cluster.register(fmt.Sprint("s-", i%20), float64(i))
	}
	cluster.waitUntil("snapshots", func() bool {
		found, _ := filepath.Glob(filepath.Join(cluster.dataDir(cluster.waitForLeader()), "snapshots", "*", "state.bin"))
		return len(found) > 0
	})
	cluster.start(lagging)
	cluster.waitUntil("caught up", func() bool {
		e, err := cluster.servers[lagging].client.Server(context.Background(), "s-19", false)
		return err == nil && e.Endpoint.StartedMs == 299
	})
	if e, err := cluster.servers[lagging].client.Server(context.Background(), "once", false); err != nil || e.Endpoint.StartedMs != 7 {
		t.Errorf("what only the snapshot tells of: %+v, %v", e.Endpoint, err)
	}
	if text, err := os.ReadFile(cluster.servers[lagging].proc.Log); err != nil || !strings.Contains(string(text), "Installed remote snapshot") {
		t.Errorf("no snapshot was installed: %v", err)
	}
}

// All stewards are replaced by others, one by one, under writes.
func TestReplacingAllServersKeepsWrites(t *testing.T) {
	cluster := newCluster(t, 3)
	oldServers := slices.Clone(cluster.names)
	for i := range 3 {
		cluster.add(fmt.Sprint("st-", i+4))
	}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
	}
	for _, name := range oldServers { // they learn of the new ones without an end
		if err := cluster.servers[name].proc.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	writer, reader := cluster.startWriter("s"), cluster.startReader(cluster.names...)
	for i, old := range oldServers {
		next := fmt.Sprint("st-", i+4)
		cluster.start(next) // its folder is empty: it asks to be taken in
		cluster.waitUntil(next+" votes", func() bool {
			status, err := cluster.status(next)
			return err == nil && slices.Contains(status.Voters, next)
		})
		cluster.waitUntil(old+" is off the voters", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := cluster.client(cluster.names...).ChangePeer(ctx, old, false)
			status, statusErr := cluster.status(next)
			return err == nil && statusErr == nil && !slices.Contains(status.Voters, old)
		})
		cluster.kill(old)
		before := writer.count()
		cluster.waitUntil("writes go on", func() bool { return writer.count() > before+20 })
	}
	status, err := cluster.status("st-5")
	if err != nil || len(status.Voters) != 3 || slices.Contains(status.Voters, "st-1") {
		t.Errorf("voters %v, %v", status.Voters, err)
	}
	writer.stopAndVerify(cluster, "st-4", "st-5", "st-6")
	reader.stopAndVerify(t)
}

// Versions never go back: not after an old snapshot was put in place of the state, and not
// with a fresh fleet at the same addresses. A reader that stayed up learns all that follows.
func TestVersionsNeverDecrease(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	c := cluster.servers[name].client
	ctx := context.Background()
	cluster.register("old", 1)
	saved, err := c.Snapshot(ctx)
	if err != nil {
		t.Fatal(err)
	}
	cluster.register("undone", 1)
	reader := cluster.startReader(name)
	cluster.waitUntil("read", func() bool { _, ok := reader.lookup("undone"); return ok })
	if _, err := c.Restore(ctx, saved); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("undone", func() bool { _, ok := reader.lookup("undone"); return !ok })
	if _, ok := reader.lookup("old"); !ok {
		t.Error("the snapshot's servers are not listed")
	}
	cluster.register("new", 1)
	cluster.waitUntil("read after the restore", func() bool { _, ok := reader.lookup("new"); return ok })

	cluster.kill(name)
	if err := os.RemoveAll(cluster.dataDir(name)); err != nil {
		t.Fatal(err)
	}
	cluster.start(name)
	cluster.waitForLeader()
	cluster.register("fresh", 1)
	cluster.waitUntil("read of a fresh fleet", func() bool { _, ok := reader.lookup("fresh"); return ok })
	if _, ok := reader.lookup("new"); ok {
		t.Error("a fresh fleet lists what another did")
	}
	reader.stopAndVerify(t)
}

// A damaged log is refused in one line that says so, and so is a folder that can't be
// written or that another process uses; nothing in it changes.
func TestDamagedDataIsRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	for i := range 30 {
		cluster.register(fmt.Sprint("damaged-record-", i), 1)
	}
	requireRejected := func(what, data, wantText string) {
		t.Helper()
		exe, _ := os.Executable()
		server := cluster.supervisor.Add(cluster.servers[name].proc.Spec)
		server.Path, server.Log = exe, filepath.Join(cluster.dir, what+".log")
		server.Args = []string{"serve", "--config", cluster.configPath(name), "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0"}
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-server.Ended():
		case <-time.After(waitTimeout):
			t.Fatalf("%s: it runs", what)
		}
		text, _ := os.ReadFile(server.Log)
		if strings.Count(string(text), "\n") != 1 || !strings.Contains(string(text), wantText) {
			t.Errorf("%s: said %q, want one line with %q", what, text, wantText)
		}
	}
	requireRejected("in use", cluster.dataDir(name), "another process uses")
	cluster.kill(name)
	requireRejected("no folder", cluster.configPath(name), "data: ")
	if text := runOverReadOnlyFolder(t, cluster.dataDir(name)); strings.Count(text, "\n") != 1 || !strings.Contains(text, "data: ") || !strings.Contains(text, "permission denied") || strings.Contains(text, "damaged") {
		t.Errorf("a folder that may not be written: said %q", text)
	}
	path := filepath.Join(cluster.dataDir(name), "raft.db")
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.LastIndex(string(intact), "damaged-record-29")
	if at < 0 {
		t.Fatal("the record doesn't stand in the log")
	}
	for what, damage := range map[string]func(b []byte) []byte{
		"flipped": func(b []byte) []byte { // every copy: which of the pages counts is bolt's business
			return []byte(strings.ReplaceAll(string(b), "damaged-record-29", "damaged-recorx-29"))
		},
		"torn":  func(b []byte) []byte { return b[:at] },
		"blank": func(b []byte) []byte { clear(b[:8192]); return b },
	} {
		if err := os.WriteFile(path, damage(slices.Clone(intact)), 0o600); err != nil {
			t.Fatal(err)
		}
		requireRejected(what, cluster.dataDir(name), "the log in "+cluster.dataDir(name))
	}
	if err := os.WriteFile(path, intact, 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.start(name)
	cluster.waitUntil("it is itself again", func() bool {
		e, err := cluster.servers[name].client.Server(context.Background(), "damaged-record-29", true)
		return err == nil && e.Endpoint.StartedMs == 1
	})
}

// runOverReadOnlyFolder starts a steward over a folder that it may only read, and returns what it says.
func runOverReadOnlyFolder(t *testing.T, data string) string {
	t.Helper()
	exe, _ := os.Executable()
	text, err := os.ReadFile(exe)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "controlplane")
	if err := errors.Join(os.WriteFile(program, text, 0o755), os.Chmod(dir, 0o755), os.Chmod(filepath.Dir(dir), 0o755), os.Chmod(data, 0o555)); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(data, 0o755)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, "serve", "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0")
	cmd.Env, cmd.Dir = []string{"STEWARD_CHILD=1"}, dir
	if os.Getuid() == 0 { // whom no mode binds
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: 65534, Gid: 65534}}
	}
	output, err := cmd.CombinedOutput()
	if err == nil {
		t.Error("it ran over a folder that it may not write")
	}
	return string(output)
}

// Where the disk takes no more, a steward refuses what it can't keep, or ends with a line
// that says so; what it acknowledged is there when there is room again. Of three, the two
// others go on.
func TestFullDiskKeepsAcknowledgedWrites(t *testing.T) {
	for _, n := range []int{1, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, n)
			victim := cluster.waitForLeader()
			cluster.kill(victim)
			normal := cluster.servers[victim].proc
			limited := cluster.supervisor.Add(normal.Spec)
			// The log's file may grow to 256 KiB; to a program that is a disk that is full.
			limited.Path, limited.Args = "/bin/sh", []string{"-c", "ulimit -f 512; exec \"$0\" \"$@\"", normal.Path}
			limited.Args = append(limited.Args, normal.Args...)
			cluster.servers[victim].proc = limited
			cluster.start(victim)
			acknowledged := map[string]float64{}
			ended := limited.Ended()
			longPrefix := strings.Repeat("x", 100)
			hasEnded := func() bool {
				select {
				case <-ended:
					return true
				default:
					return false
				}
			}
			cluster.register("first", 1)
			rejectedInARow := 0
			for i := 0; !hasEnded() && rejectedInARow < 100 && i < 3000; i++ {
				if rejectedInARow++; rejectedInARow > 1 {
					time.Sleep(10 * time.Millisecond)
				}
				name := fmt.Sprintf("%s-%d", longPrefix, i%200)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				if _, err := cluster.client(cluster.names...).Register(ctx, newEndpoint(name, float64(i))); err == nil {
					acknowledged[name] = float64(i)
					rejectedInARow = 0
				}
				cancel()
			}
			text, _ := os.ReadFile(limited.Log)
			switch {
			case n == 1 && rejectedInARow == 0 && !hasEnded():
				t.Fatal("it never was full")
			case !strings.Contains(string(text), "file too large"):
				t.Errorf("it doesn't say why: %q", text[max(0, len(text)-600):])
			}
			if hasEnded() {
				if !strings.Contains(string(text), "controlplane: data: the log can't be written: ") || strings.Contains(string(text), "goroutine ") {
					t.Errorf("said %q", text[max(0, len(text)-600):])
				}
			}
			cluster.kill(victim)
			cluster.servers[victim].proc = normal
			cluster.start(victim)
			cluster.requireAcknowledged(acknowledged)
			cluster.register("after", 1)
			if len(acknowledged) < 100 {
				t.Errorf("only %d names were taken", len(acknowledged))
			}
		})
	}
}

// Leases end for servers that are not heard, by the leader's clock; a new leader gives
// each its full time again; a mass failure is held until it is confirmed.
func TestLeaseExpiryAndMassFailureGuard(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.extraConfig = strings.Replace(cluster.extraConfig, "10m", "3s", 1)
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.configure(name, cluster.names)
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	const n = 10
	renewing := n // servers from that number on are not heard
	renew := make(chan int)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := cluster.client(cluster.names...)
		for t := time.NewTicker(200 * time.Millisecond); ; {
			select {
			case renewing = <-renew:
			case <-stop:
				return
			case <-t.C:
			}
			refs := instanceRefs(renewing)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			_, _ = c.Renew(ctx, refs)
			cancel()
		}
	}()
	defer func() { close(stop); <-done }()
	for i := range n {
		cluster.register(fmt.Sprint("s-", i), 1)
	}
	listed := func() int {
		status, err := cluster.status(cluster.waitForLeader())
		if err != nil {
			return -1
		}
		return status.Listed
	}
	cluster.waitUntil("all listed", func() bool { return listed() == n })
	cluster.kill(cluster.waitForLeader())
	cluster.waitUntil("another leader lists all", func() bool { return listed() == n })
	renew <- 8 // two of ten fall silent: that may well be so
	cluster.waitUntil("two lapsed", func() bool { return listed() == 8 })
	renew <- 1 // all but one: that is more likely a fault of the observer
	cluster.waitUntil("the rest held", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined >= 6 && status.Listed == 8
	})
	renew <- 3
	cluster.waitUntil("two of them were heard again", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined == 5 && status.Listed == 8
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cluster.waitUntil("confirmed", func() bool { return cluster.client(cluster.names...).ConfirmRemovals(ctx) == nil })
	cluster.waitUntil("they are off the list", func() bool { return listed() == 3 })
}

// Bad input is one line with a 4xx and changes nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	base := "http://" + cluster.servers[cluster.names[0]].http
	cluster.register("s", 5)
	before, _ := cluster.status(cluster.names[0])
	valid := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, test := range []struct {
		method, path, body string
		status             int
		says               string
	}{
		{"PUT", "/v1/servers/x", "{", 400, "body: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"site"`, `"sight"`, 1), 400, "sight"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"ready"`, `"fine"`, 1), 400, "health: unknown word"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"ready"`, `"gone"`, 1), 400, "health: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `127.0.0.1:9"`, `nowhere"`, 1), 400, "dial: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"share":1`, `"share":-1`, 1), 400, "share: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"born_ms":5`, `"born_ms":0.5`, 1), 400, "born_ms: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"x"`, `"y"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/x", valid + valid, 400, "more than one value"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"a"`, `"`+strings.Repeat("a", 70_000)+`"`, 1), 400, "too large"},
		{"PUT", "/v1/servers/%0a", strings.Replace(valid, `"x"`, `"\n"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/s", strings.Replace(strings.Replace(valid, `"x"`, `"s"`, 1), `"born_ms":5`, `"born_ms":4`, 1), 409, "superseded: "},
		{"PATCH", "/v1/servers/s", "{}", 400, "neither"},
		{"PATCH", "/v1/servers/s", `{"health":"odd"}`, 400, "health: "},
		{"PATCH", "/v1/servers/s", `{"share":2,"if":1}`, 412, "conflict: "},
		{"PATCH", "/v1/servers/none", `{"share":2}`, 404, "unknown: "},
		{"DELETE", "/v1/servers/s", "", 400, "born_ms: "},
		{"DELETE", "/v1/servers/s?born_ms=4", "", 409, "superseded: "},
		{"POST", "/v1/servers/s/drain?born_ms=6", "", 404, "unknown: "},
		{"POST", "/v1/renewals", `{"refs":[` + strings.Repeat(`{"name":"a","born_ms":1},`, 2000) + `{"name":"a","born_ms":1}]}`, 400, "refs: "},
		{"PUT", "/v1/snapshot", `{"form":99}`, 400, "form 99"},
		{"PUT", "/v1/snapshot", `{"form":1,"entries":{"a":null}}`, 400, "not itself"},
		{"PUT", "/v1/peers/nobody", "", 400, "not in the leader's table"},
		{"DELETE", "/v1/peers/" + cluster.names[0], "", 400, "only one"},
		{"POST", "/v1/seen", `{"seq":4503599627370496}`, 400, "seq: "},
		{"GET", "/v1/endpoints?follow=1&since=old", "", 400, "since: "},
		{"GET", "/v1/endpoints?follow=1&since=-3", "", 400, "since: "},
		{"GET", "/v1/servers/none", "", 404, "no server"},
		{"POST", "/v1/endpoints", "", 405, "Method"},
	} {
		req, err := http.NewRequest(test.method, base+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text := make([]byte, 2000)
		n, _ := resp.Body.Read(text)
		resp.Body.Close()
		answer := string(text[:n])
		if resp.StatusCode != test.status || !strings.Contains(answer, test.says) || strings.Count(answer, "\n") != 1 {
			t.Errorf("%s %s %.80s: %d %q, want %d and one line with %q", test.method, test.path, test.body, resp.StatusCode, answer, test.status, test.says)
		}
	}
	after, err := cluster.status(cluster.names[0])
	if err != nil || after.Seq != before.Seq || after.Listed != 1 {
		t.Errorf("something changed: %+v after %+v, %v", after, before, err)
	}
	var status control.Status
	if status, err = cluster.status(cluster.names[0]); err != nil || status.State != "leader" {
		t.Errorf("%+v %v", status, err)
	}
}

// sendWhileStopped makes calls to a steward that stands still, and returns once all have been sent.
// What each came to arrives once it goes on.
func (cluster *testCluster) sendWhileStopped(name string, calls int, call func(ctx context.Context, c *control.Client) bool) <-chan bool {
	results, sent := make(chan bool, calls), make(chan struct{}, calls)
	for range calls {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent <- struct{}{} }})
			results <- call(ctx, control.NewClient([]string{cluster.servers[name].http}, waitTimeout))
		}()
	}
	for range calls {
		<-sent
	}
	return results
}

// A leader that was stopped and wakes finds reads as of now that came after a write at the
// next leader, and may think that it still leads: it answers none with what was so before.
func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.register("s", 1)
	for round := range 4 {
		oldLeader := cluster.waitForLeader()
		if err := cluster.servers[oldLeader].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		cluster.register("s", float64(round+2), cluster.others(oldLeader)...)
		const reads = 40
		startedMs := make(chan float64, reads)
		done := cluster.sendWhileStopped(oldLeader, reads, func(ctx context.Context, c *control.Client) bool {
			e, err := c.Server(ctx, "s", true)
			if err != nil {
				e.Endpoint.StartedMs = -1
			}
			startedMs <- e.Endpoint.StartedMs
			return true
		})
		if err := cluster.servers[oldLeader].proc.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		for range reads {
			<-done
			if got := <-startedMs; got >= 0 && got != float64(round+2) {
				t.Fatalf("round %d: a read that came after the write of %d was answered with %v", round, round+2, got)
			}
		}
	}
}
