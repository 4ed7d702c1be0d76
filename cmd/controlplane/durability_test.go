package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/lab/process"
)

// A server that has lost its data joins again, and votes only once the others have added it. Even if the
// leader fails afterwards, no acknowledged write is lost and writes are accepted.
func TestServerRejoinsWithoutItsData(t *testing.T) {
	cluster := newCluster(t, 3)
	writer := cluster.startWriter("s")
	writer.waitForWrites(cluster, 100)
	victim := cluster.others(cluster.waitForLeader())[0]
	cluster.kill(victim)
	cluster.eraseData(victim)
	cluster.start(victim)
	cluster.waitUntil(victim+" votes again", func() bool {
		// While the victim replays its log it reports the voters from before its loss. So the test relies on the
		// voters that the leader reports once the victim's raft runs, which is only after the victim's removal.
		if status, err := cluster.status(victim); err != nil || status.Applied == 0 {
			return false
		}
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && slices.Contains(status.Voters, victim) && len(status.Voters) == 3
	})
	writer.stopAndVerify(cluster, cluster.names...)
	cluster.kill(cluster.waitForLeader())
	cluster.register("after", 1)
}

// A server that has lost its data may lack a write that it acknowledged, so it must not vote. While the only
// server that still has the write is down, the two others elect no leader.
func TestServerWithoutItsDataDoesNotVote(t *testing.T) {
	const tenHeartbeats = 3 * time.Second
	cluster := newCluster(t, 3)
	upToDate := cluster.waitForLeader()
	erased, lagging := cluster.others(upToDate)[0], cluster.others(upToDate)[1]
	cluster.kill(lagging)
	cluster.register("acknowledged", 1, upToDate)
	cluster.kill(erased)
	cluster.kill(upToDate)
	cluster.eraseData(erased)
	cluster.start(erased)
	cluster.start(lagging)
	cluster.waitUntil("both answer", func() bool {
		for _, name := range []string{erased, lagging} {
			if _, err := cluster.status(name); err != nil {
				return false
			}
		}
		return true
	})
	for end := time.Now().Add(tenHeartbeats); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, name := range []string{erased, lagging} {
			if cluster.isLeader(name) {
				t.Fatalf("%s leads by the vote of %s, which has lost its data", name, erased)
			}
		}
	}
	cluster.start(upToDate)
	cluster.waitUntil("the acknowledged write is read", func() bool {
		entry, err := cluster.client(cluster.names...).Server(t.Context(), "acknowledged", true)
		return err == nil && entry.Endpoint.StartedMs == 1
	})
}

// A server that lags behind the first entry of the leader's log installs a snapshot.
func TestLaggingServerInstallsSnapshot(t *testing.T) {
	cluster := newCluster(t, 3)
	lagging := cluster.others(cluster.waitForLeader())[0]
	client := cluster.servers[lagging].client
	cluster.kill(lagging)
	cluster.register("once", 7) // no later log entry contains it
	for i := range 300 {        // several times the entries that a log retains
		cluster.register(fmt.Sprint("s-", i%20), float64(i))
	}
	cluster.waitUntil("the leader has a snapshot", func() bool {
		found, _ := filepath.Glob(filepath.Join(cluster.dataDir(cluster.waitForLeader()), "snapshots", "*", "state.bin"))
		return len(found) > 0
	})
	cluster.start(lagging)
	cluster.waitUntil("the lagging server has caught up", func() bool {
		entry, err := client.Server(t.Context(), "s-19", false)
		return err == nil && entry.Endpoint.StartedMs == 299
	})
	if entry, err := client.Server(t.Context(), "once", false); err != nil || entry.Endpoint.StartedMs != 7 {
		t.Errorf("registration that only the snapshot contains: %+v, %v", entry.Endpoint, err)
	}
	if !strings.Contains(processLog(cluster.servers[lagging].proc), "Installed remote snapshot") {
		t.Error("no snapshot was installed")
	}
}

// A server with a damaged log ends with a one-line error. So does one with a data folder that it can't write to,
// or that another process uses. Nothing in the folder changes.
func TestDamagedDataIsRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	data := cluster.dataDir(name)
	for i := range 30 {
		cluster.register(fmt.Sprint("damaged-record-", i), 1)
	}
	requireStartFails(t, cluster, "in use", data, "another process uses")
	cluster.kill(name)
	requireStartFails(t, cluster, "no folder", cluster.configPath(name), "data: ")
	text := runOverReadOnlyFolder(t, data)
	if !isOneLineWith(text, "data: ") || !strings.Contains(text, "permission denied") || strings.Contains(text, "damaged") {
		t.Errorf("over a read-only folder the server wrote %q", text)
	}
	path := filepath.Join(data, "raft.db")
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.LastIndex(string(intact), "damaged-record-29")
	if at < 0 {
		t.Fatal("the log has no such record")
	}
	for label, damage := range map[string]func(b []byte) []byte{
		"flipped": func(b []byte) []byte { // every copy, as bolt chooses the valid page
			return []byte(strings.ReplaceAll(string(b), "damaged-record-29", "damaged-recorx-29"))
		},
		"torn":  func(b []byte) []byte { return b[:at] },
		"blank": func(b []byte) []byte { clear(b[:8192]); return b },
	} {
		if err := os.WriteFile(path, damage(slices.Clone(intact)), 0o600); err != nil {
			t.Fatal(err)
		}
		requireStartFails(t, cluster, label, data, "the log in "+data)
	}
	if err := os.WriteFile(path, intact, 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.start(name)
	cluster.waitUntil("the server with its intact log has the record", func() bool {
		entry, err := cluster.servers[name].client.Server(t.Context(), "damaged-record-29", true)
		return err == nil && entry.Endpoint.StartedMs == 1
	})
}

// isOneLineWith reports whether a text is a single line that ends with a line feed and contains a part.
func isOneLineWith(text, part string) bool {
	return strings.Count(text, "\n") == 1 && strings.Contains(text, part)
}

// requireStartFails starts a server over a data folder and requires that it ends after writing a single line on
// standard error, which contains wantText. The label names the log file and the case in failure messages.
func requireStartFails(t *testing.T, cluster *testCluster, label, data, wantText string) {
	t.Helper()
	name := cluster.names[0]
	server := cluster.supervisor.Add(cluster.servers[name].proc.Spec)
	server.Log = filepath.Join(cluster.dir, label+".log")
	server.Args = []string{"serve", "--config", cluster.configPath(name), "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0"}
	startProcess(t, server)
	waitForEnd(t, server, server.Ended())
	if text := processLog(server); !isOneLineWith(text, wantText) {
		t.Errorf("%s: the server wrote %q, want one line with %q", label, text, wantText)
	}
}

// runOverReadOnlyFolder starts a server over a data folder that it may only read, and returns its output once
// it has ended.
func runOverReadOnlyFolder(t *testing.T, data string) string {
	t.Helper()
	binary, err := os.ReadFile(executable(t))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "controlplane")
	if err := errors.Join(os.WriteFile(program, binary, 0o755), os.Chmod(dir, 0o755), os.Chmod(filepath.Dir(dir), 0o755), os.Chmod(data, 0o555)); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(data, 0o755)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, "serve", "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0")
	cmd.Env, cmd.Dir = []string{serverChild + "=1"}, dir
	if os.Getuid() == 0 { // permissions don't bind root
		const nobody = 65534
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: nobody, Gid: nobody}}
	}
	output, err := cmd.CombinedOutput()
	if err == nil {
		t.Error("the server ran over a data folder that it can't write to")
	}
	return string(output)
}

// A server whose disk is full rejects writes, or ends with a one-line error. The writes that it acknowledged are
// still there once the disk has space again. With three servers the two others continue.
func TestFullDiskKeepsAcknowledgedWrites(t *testing.T) {
	for _, n := range []int{1, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, n)
			victim := cluster.waitForLeader()
			cluster.kill(victim)
			normal := cluster.servers[victim].proc
			limited := withFileSizeLimit(cluster, normal)
			cluster.servers[victim].proc = limited
			cluster.start(victim)
			ended := limited.Ended()
			cluster.register("first", 1)
			acknowledged, rejectedInARow := fillDisk(t, cluster, ended)
			log := processLog(limited)
			switch {
			case n == 1 && rejectedInARow == 0 && !isClosed(ended):
				t.Fatal("the disk was never full")
			case !strings.Contains(log, "file too large"):
				t.Errorf("the server's log doesn't have the cause: %q", tail(log, 600))
			}
			if isClosed(ended) {
				if !strings.Contains(log, "controlplane: data: the log can't be written: ") || strings.Contains(log, "goroutine ") {
					t.Errorf("the server wrote %q", tail(log, 600))
				}
			}
			cluster.kill(victim)
			cluster.servers[victim].proc = normal
			cluster.start(victim)
			cluster.requireAcknowledged(acknowledged)
			cluster.register("after", 1)
			if len(acknowledged) < 100 {
				t.Errorf("only %d names were acknowledged", len(acknowledged))
			}
		})
	}
}

// withFileSizeLimit returns a copy of a process whose files can't grow beyond 256 KiB. Writes past the limit fail
// much as they do on a full disk.
func withFileSizeLimit(cluster *testCluster, normal *process.Process) *process.Process {
	limited := cluster.supervisor.Add(normal.Spec)
	limited.Path = "/bin/sh"
	limited.Args = append([]string{"-c", "ulimit -f 512; exec \"$0\" \"$@\"", normal.Path}, normal.Args...)
	return limited
}

// fillDisk registers servers with long names until the process has ended, has rejected maxRejected writes in a row
// or maxWrites were sent. It returns the start times of the acknowledged registrations by name.
func fillDisk(t *testing.T, cluster *testCluster, ended <-chan struct{}) (acknowledged map[string]float64, rejectedInARow int) {
	t.Helper()
	const (
		maxRejected = 100
		maxWrites   = 3000
	)
	acknowledged = map[string]float64{}
	longPrefix := strings.Repeat("x", 100)
	for i := 0; !isClosed(ended) && rejectedInARow < maxRejected && i < maxWrites; i++ {
		if rejectedInARow++; rejectedInARow > 1 {
			time.Sleep(rejectedWritePause)
		}
		name := fmt.Sprintf("%s-%d", longPrefix, i%200)
		ctx, cancel := context.WithTimeout(t.Context(), statusTimeout)
		if _, err := cluster.client(cluster.names...).Register(ctx, newEndpoint(name, float64(i))); err == nil {
			acknowledged[name] = float64(i)
			rejectedInARow = 0
		}
		cancel()
	}
	return acknowledged, rejectedInARow
}

// isClosed reports whether a channel on which nothing is sent has been closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
