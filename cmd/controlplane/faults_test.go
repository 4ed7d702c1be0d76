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
func (f *testCluster) startReader(at ...string) *watchReader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &watchReader{listed: map[string]endpoints.Endpoint{}, stop: cancel, done: make(chan struct{})}
	addrs := f.client(at...).Addrs
	order := uint64(0)
	for first := ""; first != addrs[0]; order++ {
		c := endpoints.NewAddressSelector(addrs, order+1, 1)
		c.BeginRound()
		first, _, _ = c.Next(0, 0)
	}
	// It takes older lists too, to be able to say that there were any.
	c := endpoints.NewClient(endpoints.ClientConfig{Addresses: addrs, Order: order, Fleet: 1})
	go func() {
		defer close(r.done)
		for ctx.Err() == nil {
			r.mu.Lock()
			seq := r.version
			r.mu.Unlock()
			_ = c.Watch(ctx, seq, func(l endpoints.List) { r.apply(&l) })
			time.Sleep(10 * time.Millisecond)
		}
	}()
	f.t.Cleanup(cancel)
	return r
}

// A leader that is killed, stopped, or no longer heard is replaced; writes go on, nothing
// that was acknowledged is lost, no version goes back, and it catches up when it is well.
func TestWritesContinueAfterLeaderFault(t *testing.T) {
	for _, fault := range []string{"killed", "stopped", "not heard", "hears nothing", "cut off"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, 3)
			w, r := f.startWriter("s"), f.startReader(f.names...)
			f.waitUntil("writes", func() bool { return w.count() > 20 })
			old := f.waitForLeader()
			cut := func(out, in bool) {
				for _, other := range f.others(old) {
					if err := f.links[[2]string{old, other}].Set(link.Shape{Cut: out}, link.Shape{Cut: in}); err != nil {
						t.Fatal(err)
					}
					if err := f.links[[2]string{other, old}].Set(link.Shape{Cut: in}, link.Shape{Cut: out}); err != nil {
						t.Fatal(err)
					}
				}
			}
			var heal func()
			switch fault {
			case "killed":
				f.kill(old)
				heal = func() { f.start(old) }
			case "stopped":
				if err := f.servers[old].proc.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				heal = func() { _ = f.servers[old].proc.Signal(syscall.SIGCONT) }
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
			f.waitUntil("another leader", func() bool {
				for _, n := range f.others(old) {
					if st, err := f.status(n); err == nil && st.State == "leader" {
						return true
					}
				}
				return false
			})
			f.register("during", 1, f.others(old)...)
			f.waitUntil("read while the fault lasts", func() bool { _, ok := r.lookup("during"); return ok })
			heal()
			f.waitUntil("caught up", func() bool {
				e, err := f.servers[old].client.Server(context.Background(), "during", false)
				return err == nil && e.Endpoint.Name == "during"
			})
			before := w.count()
			f.waitUntil("more writes", func() bool { return w.count() > before+20 })
			w.stopAndVerify(f, f.names...)
			r.stopAndVerify(t)
		})
	}
}

// Whatever is killed, however often, under writes: each that was acknowledged is there.
func TestAcknowledgedWritesSurviveRepeatedKills(t *testing.T) {
	f := newCluster(t, 3)
	rng := newSeededRand(t, 4)
	w, r := f.startWriter("s"), f.startReader(f.names...)
	for range 12 {
		before := w.count()
		f.waitUntil("writes", func() bool { return w.count() > before+15 })
		victims := []string{f.names[rng.IntN(3)]}
		if rng.IntN(4) == 0 { // all at once
			victims = f.names
		}
		for _, name := range victims {
			f.kill(name)
		}
		for _, name := range victims {
			f.start(name)
		}
	}
	w.stopAndVerify(f, f.names...)
	r.stopAndVerify(t)
}

// With two of three gone nothing is written and nothing is lost; what is there is served
// on; with one of them back writes go on.
func TestQuorumLossRejectsWrites(t *testing.T) {
	f := newCluster(t, 3)
	f.register("before", 1)
	left := f.names[1]
	r := f.startReader(left)
	f.waitUntil("read", func() bool { _, ok := r.lookup("before"); return ok })
	for _, name := range f.others(left) {
		f.kill(name)
	}
	f.waitUntil("stale", func() bool { st, err := f.status(left); return err == nil && st.Stale })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := f.servers[left].client.Register(ctx, newEndpoint("never", 1)); err == nil {
		t.Error("a write was acknowledged without the quorum")
	}
	if l, err := f.servers[left].client.List(ctx); err != nil || len(l.Endpoints) != 1 {
		t.Errorf("a steward without a better one doesn't serve its list: %v %v", l, err)
	}
	if _, err := f.servers[left].client.Server(ctx, "before", true); err == nil {
		t.Error("a read as of now was answered without the quorum")
	}
	f.start(f.others(left)[0])
	f.register("after", 1)
	f.waitUntil("read on", func() bool { _, ok := r.lookup("after"); return ok })
	if _, ok := r.lookup("never"); ok {
		t.Error("a write that was refused is there")
	}
	r.stopAndVerify(t)
}

// A steward that has lost the quorum sends its watches to those that have it.
func TestStaleServerEndsItsWatches(t *testing.T) {
	f := newCluster(t, 3)
	f.register("s", 1)
	cutOff := f.others(f.waitForLeader())[0]
	r := f.startReader(append([]string{cutOff}, f.others(cutOff)...)...)
	f.waitUntil("read", func() bool { _, ok := r.lookup("s"); return ok })
	for _, other := range f.others(cutOff) {
		for _, key := range [][2]string{{cutOff, other}, {other, cutOff}} {
			if err := f.links[key].Set(link.Shape{Cut: true}, link.Shape{Cut: true}); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.register("news", 1, f.others(cutOff)...)
	f.waitUntil("told by a better one", func() bool { _, ok := r.lookup("news"); return ok })
	resp, err := http.Get("http://" + f.servers[cutOff].http + endpoints.Path)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a stale steward answers %s though better ones are there", resp.Status)
	}
	r.stopAndVerify(t)
}

// A steward whose folder is gone joins anew, without a vote until the others took it in:
// even where it comes back while another is gone, what was acknowledged stays.
func TestServerRejoinsWithoutItsData(t *testing.T) {
	f := newCluster(t, 3)
	w := f.startWriter("s")
	f.waitUntil("writes", func() bool { return w.count() > 100 })
	victim := f.others(f.waitForLeader())[0]
	f.kill(victim)
	if err := os.RemoveAll(f.dataDir(victim)); err != nil {
		t.Fatal(err)
	}
	f.start(victim)
	f.waitUntil("a voter again", func() bool {
		// It replays the log, and meanwhile says of the voters what was so before its loss:
		// the leader's word counts, from when its raft runs, which took its being off them.
		if st, err := f.status(victim); err != nil || st.Applied == 0 {
			return false
		}
		st, err := f.status(f.waitForLeader())
		return err == nil && slices.Contains(st.Voters, victim) && len(st.Voters) == 3
	})
	w.stopAndVerify(f, f.names...)
	// All the others' knowledge is its own now: with the old leader gone it makes a quorum.
	f.kill(f.waitForLeader())
	f.register("after", 1)
}

// A steward that lost its folder may have promised what it forgot, so it doesn't vote: with
// the one gone that knows what was acknowledged, the two others wait for it.
func TestServerWithoutItsDataDoesNotVote(t *testing.T) {
	f := newCluster(t, 3)
	knows := f.waitForLeader()
	forgets, lags := f.others(knows)[0], f.others(knows)[1]
	f.kill(lags)
	f.register("acknowledged", 1, knows)
	f.kill(forgets)
	f.kill(knows)
	if err := os.RemoveAll(f.dataDir(forgets)); err != nil {
		t.Fatal(err)
	}
	f.start(forgets)
	f.start(lags)
	f.waitUntil("both run", func() bool {
		for _, name := range []string{forgets, lags} {
			if _, err := f.status(name); err != nil {
				return false
			}
		}
		return true
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) { // ten heartbeats
		for _, name := range []string{forgets, lags} {
			if st, err := f.status(name); err == nil && st.State == "leader" {
				t.Fatalf("%s leads by the vote of %s, which forgot", name, forgets)
			}
		}
	}
	f.start(knows)
	f.waitUntil("what was acknowledged is there", func() bool {
		e, err := f.client(f.names...).Server(context.Background(), "acknowledged", true)
		return err == nil && e.Endpoint.StartedMs == 1
	})
}

// Far behind, a steward is brought up by a snapshot.
func TestLaggingServerInstallsSnapshot(t *testing.T) {
	f := newCluster(t, 3)
	behind := f.others(f.waitForLeader())[0]
	f.kill(behind)
	f.register("once", 7) // no later entry of the log tells of it
	for i := range 300 {  // several times what a log keeps
		f.register(fmt.Sprint("s-", i%20), float64(i))
	}
	f.waitUntil("snapshots", func() bool {
		found, _ := filepath.Glob(filepath.Join(f.dataDir(f.waitForLeader()), "snapshots", "*", "state.bin"))
		return len(found) > 0
	})
	f.start(behind)
	f.waitUntil("caught up", func() bool {
		e, err := f.servers[behind].client.Server(context.Background(), "s-19", false)
		return err == nil && e.Endpoint.StartedMs == 299
	})
	if e, err := f.servers[behind].client.Server(context.Background(), "once", false); err != nil || e.Endpoint.StartedMs != 7 {
		t.Errorf("what only the snapshot tells of: %+v, %v", e.Endpoint, err)
	}
	if text, err := os.ReadFile(f.servers[behind].proc.Log); err != nil || !strings.Contains(string(text), "Installed remote snapshot") {
		t.Errorf("no snapshot was installed: %v", err)
	}
}

// All stewards are replaced by others, one by one, under writes.
func TestReplacingAllServersKeepsWrites(t *testing.T) {
	f := newCluster(t, 3)
	olds := slices.Clone(f.names)
	for i := range 3 {
		f.add(fmt.Sprint("st-", i+4))
	}
	for _, name := range f.names {
		f.configure(name, f.names)
	}
	for _, name := range olds { // they learn of the new ones without an end
		if err := f.servers[name].proc.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	w, r := f.startWriter("s"), f.startReader(f.names...)
	for i, old := range olds {
		next := fmt.Sprint("st-", i+4)
		f.start(next) // its folder is empty: it asks to be taken in
		f.waitUntil(next+" votes", func() bool {
			st, err := f.status(next)
			return err == nil && slices.Contains(st.Voters, next)
		})
		f.waitUntil(old+" is off the voters", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := f.client(f.names...).ChangePeer(ctx, old, false)
			st, serr := f.status(next)
			return err == nil && serr == nil && !slices.Contains(st.Voters, old)
		})
		f.kill(old)
		before := w.count()
		f.waitUntil("writes go on", func() bool { return w.count() > before+20 })
	}
	st, err := f.status("st-5")
	if err != nil || len(st.Voters) != 3 || slices.Contains(st.Voters, "st-1") {
		t.Errorf("voters %v, %v", st.Voters, err)
	}
	w.stopAndVerify(f, "st-4", "st-5", "st-6")
	r.stopAndVerify(t)
}

// Versions never go back: not after an old snapshot was put in place of the state, and not
// with a fresh fleet at the same addresses. A reader that stayed up learns all that follows.
func TestVersionsNeverDecrease(t *testing.T) {
	f := newCluster(t, 1)
	name := f.names[0]
	c := f.servers[name].client
	ctx := context.Background()
	f.register("old", 1)
	saved, err := c.Snapshot(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.register("undone", 1)
	r := f.startReader(name)
	f.waitUntil("read", func() bool { _, ok := r.lookup("undone"); return ok })
	if _, err := c.Restore(ctx, saved); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("undone", func() bool { _, ok := r.lookup("undone"); return !ok })
	if _, ok := r.lookup("old"); !ok {
		t.Error("the snapshot's servers are not listed")
	}
	f.register("new", 1)
	f.waitUntil("read after the restore", func() bool { _, ok := r.lookup("new"); return ok })

	f.kill(name)
	if err := os.RemoveAll(f.dataDir(name)); err != nil {
		t.Fatal(err)
	}
	f.start(name)
	f.waitForLeader()
	f.register("fresh", 1)
	f.waitUntil("read of a fresh fleet", func() bool { _, ok := r.lookup("fresh"); return ok })
	if _, ok := r.lookup("new"); ok {
		t.Error("a fresh fleet lists what another did")
	}
	r.stopAndVerify(t)
}

// A damaged log is refused in one line that says so, and so is a folder that can't be
// written or that another process uses; nothing in it changes.
func TestDamagedDataIsRejected(t *testing.T) {
	f := newCluster(t, 1)
	name := f.names[0]
	for i := range 30 {
		f.register(fmt.Sprint("damaged-record-", i), 1)
	}
	refused := func(what, data, says string) {
		t.Helper()
		exe, _ := os.Executable()
		p := f.supervisor.Add(f.servers[name].proc.Spec)
		p.Path, p.Log = exe, filepath.Join(f.dir, what+".log")
		p.Args = []string{"serve", "--config", f.configPath(name), "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0"}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-p.Ended():
		case <-time.After(waitTimeout):
			t.Fatalf("%s: it runs", what)
		}
		text, _ := os.ReadFile(p.Log)
		if strings.Count(string(text), "\n") != 1 || !strings.Contains(string(text), says) {
			t.Errorf("%s: said %q, want one line with %q", what, text, says)
		}
	}
	refused("in use", f.dataDir(name), "another process uses")
	f.kill(name)
	refused("no folder", f.configPath(name), "data: ")
	if text := runOverReadOnlyFolder(t, f.dataDir(name)); strings.Count(text, "\n") != 1 || !strings.Contains(text, "data: ") || !strings.Contains(text, "permission denied") || strings.Contains(text, "damaged") {
		t.Errorf("a folder that may not be written: said %q", text)
	}
	path := filepath.Join(f.dataDir(name), "raft.db")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.LastIndex(string(good), "damaged-record-29")
	if at < 0 {
		t.Fatal("the record doesn't stand in the log")
	}
	for what, spoil := range map[string]func(b []byte) []byte{
		"flipped": func(b []byte) []byte { // every copy: which of the pages counts is bolt's business
			return []byte(strings.ReplaceAll(string(b), "damaged-record-29", "damaged-recorx-29"))
		},
		"torn":  func(b []byte) []byte { return b[:at] },
		"blank": func(b []byte) []byte { clear(b[:8192]); return b },
	} {
		if err := os.WriteFile(path, spoil(slices.Clone(good)), 0o600); err != nil {
			t.Fatal(err)
		}
		refused(what, f.dataDir(name), "the log in "+f.dataDir(name))
	}
	if err := os.WriteFile(path, good, 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(name)
	f.waitUntil("it is itself again", func() bool {
		e, err := f.servers[name].client.Server(context.Background(), "damaged-record-29", true)
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
	own := filepath.Join(dir, "controlplane")
	if err := errors.Join(os.WriteFile(own, text, 0o755), os.Chmod(dir, 0o755), os.Chmod(filepath.Dir(dir), 0o755), os.Chmod(data, 0o555)); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(data, 0o755)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, own, "serve", "--data", data, "--listen", "127.0.0.1:0", "--raft", "127.0.0.1:0")
	cmd.Env, cmd.Dir = []string{"STEWARD_CHILD=1"}, dir
	if os.Getuid() == 0 { // whom no mode binds
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: 65534, Gid: 65534}}
	}
	said, err := cmd.CombinedOutput()
	if err == nil {
		t.Error("it ran over a folder that it may not write")
	}
	return string(said)
}

// Where the disk takes no more, a steward refuses what it can't keep, or ends with a line
// that says so; what it acknowledged is there when there is room again. Of three, the two
// others go on.
func TestFullDiskKeepsAcknowledgedWrites(t *testing.T) {
	for _, n := range []int{1, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, n)
			victim := f.waitForLeader()
			f.kill(victim)
			roomy := f.servers[victim].proc
			tight := f.supervisor.Add(roomy.Spec)
			// The log's file may grow to 256 KiB; to a program that is a disk that is full.
			tight.Path, tight.Args = "/bin/sh", []string{"-c", "ulimit -f 512; exec \"$0\" \"$@\"", roomy.Path}
			tight.Args = append(tight.Args, roomy.Args...)
			f.servers[victim].proc = tight
			f.start(victim)
			acked := map[string]float64{}
			ended := tight.Ended()
			big := strings.Repeat("x", 100)
			over := func() bool {
				select {
				case <-ended:
					return true
				default:
					return false
				}
			}
			f.register("first", 1)
			refused := 0
			for i := 0; !over() && refused < 100 && i < 3000; i++ {
				if refused++; refused > 1 {
					time.Sleep(10 * time.Millisecond)
				}
				name := fmt.Sprintf("%s-%d", big, i%200)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				if _, err := f.client(f.names...).Register(ctx, newEndpoint(name, float64(i))); err == nil {
					acked[name] = float64(i)
					refused = 0
				}
				cancel()
			}
			text, _ := os.ReadFile(tight.Log)
			switch {
			case n == 1 && refused == 0 && !over():
				t.Fatal("it never was full")
			case !strings.Contains(string(text), "file too large"):
				t.Errorf("it doesn't say why: %q", text[max(0, len(text)-600):])
			}
			if over() {
				if !strings.Contains(string(text), "controlplane: data: the log can't be written: ") || strings.Contains(string(text), "goroutine ") {
					t.Errorf("said %q", text[max(0, len(text)-600):])
				}
			}
			f.kill(victim)
			f.servers[victim].proc = roomy
			f.start(victim)
			f.requireAcknowledged(acked)
			f.register("after", 1)
			if len(acked) < 100 {
				t.Errorf("only %d names were taken", len(acked))
			}
		})
	}
}

// Leases end for servers that are not heard, by the leader's clock; a new leader gives
// each its full time again; a mass failure is held until it is confirmed.
func TestLeaseExpiryAndMassFailureGuard(t *testing.T) {
	f := newCluster(t, 3)
	f.extraConfig = strings.Replace(f.extraConfig, "10m", "3s", 1)
	for _, name := range f.names {
		f.kill(name)
		f.configure(name, f.names)
	}
	for _, name := range f.names {
		f.start(name)
	}
	const n = 10
	heard := n // servers from that number on are not heard
	renew := make(chan int)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := f.client(f.names...)
		for t := time.NewTicker(200 * time.Millisecond); ; {
			select {
			case heard = <-renew:
			case <-stop:
				return
			case <-t.C:
			}
			refs := instanceRefs(heard)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			_, _ = c.Renew(ctx, refs)
			cancel()
		}
	}()
	defer func() { close(stop); <-done }()
	for i := range n {
		f.register(fmt.Sprint("s-", i), 1)
	}
	listed := func() int {
		st, err := f.status(f.waitForLeader())
		if err != nil {
			return -1
		}
		return st.Listed
	}
	f.waitUntil("all listed", func() bool { return listed() == n })
	f.kill(f.waitForLeader())
	f.waitUntil("another leader lists all", func() bool { return listed() == n })
	renew <- 8 // two of ten fall silent: that may well be so
	f.waitUntil("two lapsed", func() bool { return listed() == 8 })
	renew <- 1 // all but one: that is more likely a fault of the observer
	f.waitUntil("the rest held", func() bool {
		st, err := f.status(f.waitForLeader())
		return err == nil && st.Quarantined >= 6 && st.Listed == 8
	})
	renew <- 3
	f.waitUntil("two of them were heard again", func() bool {
		st, err := f.status(f.waitForLeader())
		return err == nil && st.Quarantined == 5 && st.Listed == 8
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f.waitUntil("confirmed", func() bool { return f.client(f.names...).ConfirmRemovals(ctx) == nil })
	f.waitUntil("they are off the list", func() bool { return listed() == 3 })
}

// Bad input is one line with a 4xx and changes nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newCluster(t, 1)
	at := "http://" + f.servers[f.names[0]].http
	f.register("s", 5)
	before, _ := f.status(f.names[0])
	good := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, c := range []struct {
		method, path, body string
		status             int
		says               string
	}{
		{"PUT", "/v1/servers/x", "{", 400, "body: "},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"site"`, `"sight"`, 1), 400, "sight"},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"ready"`, `"fine"`, 1), 400, "health: unknown word"},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"ready"`, `"gone"`, 1), 400, "health: "},
		{"PUT", "/v1/servers/x", strings.Replace(good, `127.0.0.1:9"`, `nowhere"`, 1), 400, "dial: "},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"share":1`, `"share":-1`, 1), 400, "share: "},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"born_ms":5`, `"born_ms":0.5`, 1), 400, "born_ms: "},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"x"`, `"y"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/x", good + good, 400, "more than one value"},
		{"PUT", "/v1/servers/x", strings.Replace(good, `"a"`, `"`+strings.Repeat("a", 70_000)+`"`, 1), 400, "too large"},
		{"PUT", "/v1/servers/%0a", strings.Replace(good, `"x"`, `"\n"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/s", strings.Replace(strings.Replace(good, `"x"`, `"s"`, 1), `"born_ms":5`, `"born_ms":4`, 1), 409, "superseded: "},
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
		{"DELETE", "/v1/peers/" + f.names[0], "", 400, "only one"},
		{"POST", "/v1/seen", `{"seq":4503599627370496}`, 400, "seq: "},
		{"GET", "/v1/endpoints?follow=1&since=old", "", 400, "since: "},
		{"GET", "/v1/endpoints?follow=1&since=-3", "", 400, "since: "},
		{"GET", "/v1/servers/none", "", 404, "no server"},
		{"POST", "/v1/endpoints", "", 405, "Method"},
	} {
		req, err := http.NewRequest(c.method, at+c.path, strings.NewReader(c.body))
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
		said := string(text[:n])
		if resp.StatusCode != c.status || !strings.Contains(said, c.says) || strings.Count(said, "\n") != 1 {
			t.Errorf("%s %s %.80s: %d %q, want %d and one line with %q", c.method, c.path, c.body, resp.StatusCode, said, c.status, c.says)
		}
	}
	after, err := f.status(f.names[0])
	if err != nil || after.Seq != before.Seq || after.Listed != 1 {
		t.Errorf("something changed: %+v after %+v, %v", after, before, err)
	}
	var st control.Status
	if st, err = f.status(f.names[0]); err != nil || st.State != "leader" {
		t.Errorf("%+v %v", st, err)
	}
}

// sendWhileStopped makes calls to a steward that stands still, and returns once all have been sent.
// What each came to arrives once it goes on.
func (f *testCluster) sendWhileStopped(name string, calls int, do func(ctx context.Context, c *control.Client) bool) <-chan bool {
	out, sent := make(chan bool, calls), make(chan struct{}, calls)
	for range calls {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent <- struct{}{} }})
			out <- do(ctx, control.NewClient([]string{f.servers[name].http}, waitTimeout))
		}()
	}
	for range calls {
		<-sent
	}
	return out
}

// A leader that was stopped and wakes finds reads as of now that came after a write at the
// next leader, and may think that it still leads: it answers none with what was so before.
func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	f := newCluster(t, 3)
	f.register("s", 1)
	for round := range 4 {
		old := f.waitForLeader()
		if err := f.servers[old].proc.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		f.register("s", float64(round+2), f.others(old)...)
		const reads = 40
		born := make(chan float64, reads)
		read := f.sendWhileStopped(old, reads, func(ctx context.Context, c *control.Client) bool {
			e, err := c.Server(ctx, "s", true)
			if err != nil {
				e.Endpoint.StartedMs = -1
			}
			born <- e.Endpoint.StartedMs
			return true
		})
		if err := f.servers[old].proc.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		for range reads {
			<-read
			if got := <-born; got >= 0 && got != float64(round+2) {
				t.Fatalf("round %d: a read that came after the write of %d was answered with %v", round, round+2, got)
			}
		}
	}
}
