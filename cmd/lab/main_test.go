package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/lab/experiment"
)

// TestMain makes the test binary the lab when it is started as a child.
func TestMain(m *testing.M) {
	if os.Getenv("LAB_CHILD") == "1" {
		main()
		os.Exit(0)
	}
	code := m.Run()
	if path, err := agent(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

const soon = time.Minute

// agent builds the real agent once.
var agent = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lab-agent-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "agent")
	out, err := exec.Command("go", "build", "-o", path, "knotrouter/cmd/agent").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// file writes an experiment with real agents; changes are pairs of what stands and what is
// to stand there.
func file(t *testing.T, changes ...string) string {
	t.Helper()
	path, err := agent()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(changes...).Replace(fmt.Sprintf(`
name = "tiny"
seed = 9
duration = "3s"
warmup = "500ms"
lateness = "1s"
[agents]
count = 2
command = %q
[servers]
count = 4
[load]
rate = 60
[[fault]]
name = "slow"
kind = "slow"
target = "servers#1"
at = "1s"
for = "1s"
size = 3.0
`, path))
	name := filepath.Join(t.TempDir(), "tiny.toml")
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return name
}

type child struct {
	*exec.Cmd
	out, err bytes.Buffer
}

func lab(t *testing.T, args ...string) *child {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := &child{Cmd: exec.Command(exe, args...)}
	c.Env = append(os.Environ(), "LAB_CHILD=1")
	c.Stdout, c.Stderr = &c.out, &c.err
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	return c
}

// code waits for the end and returns the exit code; -1 is a signal.
func (c *child) code() int {
	_ = c.Wait()
	return c.ProcessState.ExitCode()
}

// children lists the processes whose environment names the folder: the agents of a run.
func children(dir string) (pids []int) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range all {
		if text, err := os.ReadFile(f); err == nil && bytes.Contains(text, []byte("EDGE_CONFIG="+dir)) {
			pid, _ := strconv.Atoi(strings.Split(f, "/")[2])
			pids = append(pids, pid)
		}
	}
	return pids
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never %s", what)
		}
	}
}

// A run writes its results, prints its verdict last, and leaves no process; the same
// against a bound that it can't hold exits with 1 and names figure and bound.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	held := filepath.Join(dir, "held")
	c := lab(t, "run", file(t), "--out", held, "--seed", "31")
	if code := c.code(); code != 0 || !strings.HasSuffix(c.out.String(), "\ntiny seed 31: held\n") {
		t.Fatalf("exit %d, said %s %s", code, c.out.String(), c.err.String())
	}
	broke := filepath.Join(dir, "broke")
	c = lab(t, "run", file(t, "[[fault]]", "[[expect]]\nwhat = \"served\"\nat_most = 0.1\n[[fault]]"), "--out", broke, "--quiet")
	if code := c.code(); code != 1 || !regexp.MustCompile(`^tiny seed 9: broke: served at most, [\d.]+ against 0.1\n$`).MatchString(c.out.String()) {
		t.Errorf("exit %d, said %q %q", code, c.out.String(), c.err.String())
	}
	for _, d := range []string{held, broke} {
		var s experiment.Summary
		text, err := os.ReadFile(filepath.Join(d, "summary.json"))
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		if err != nil || s.Name != "tiny" || len(s.Fleets) != 1 || s.Fleets[0].Rows[0].Requests < 50 || s.Faults[0].Targets != 1 {
			t.Errorf("summary: %v %+v", err, s)
		}
		for _, name := range []string{"report.md", "served.png", "latency.png", "attempts.png", "connections.png", "list.png"} {
			if st, err := os.Stat(filepath.Join(d, name)); err != nil || st.Size() < 500 {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	c = lab(t, "compare", held, broke)
	if code := c.code(); code != 0 || !strings.Contains(c.out.String(), "all all served share") || !strings.Contains(c.out.String(), "not the same experiment and seed") {
		t.Errorf("exit %d, said %s", code, c.out.String())
	}
	if left := children(dir); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// What makes no sense is one line that names the key or the flag, exit code 2, and no
// process left.
func TestBadInput(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	dir := t.TempDir()
	good := file(t)
	full := filepath.Join(dir, "full")
	if err := os.MkdirAll(full, 0o755); err != nil {
		t.Fatal(err)
	}
	// What is written there meets a disk that has no room.
	if err := os.Symlink("/dev/full", filepath.Join(full, "summary.json.part")); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, says string
		args       []string
	}{
		{"no file", "nowhere.toml", []string{"run", "nowhere.toml"}},
		{"no argument", "accepts 1 arg", []string{"run"}},
		{"unknown flag", "--colour", []string{"run", good, "--colour"}},
		{"bad seed", `--seed`, []string{"run", good, "--seed", "many"}},
		{"unknown command", `unknown command "play"`, []string{"play"}},
		{"unknown key", "load.rat: unknown key", []string{"run", file(t, "rate = 60", "rat = 60")}},
		{"negative rate", "load.rate: must be 0 or above", []string{"run", file(t, "rate = 60", "rate = -60")}},
		{"unknown process", `fault[0].target: unknown process "s-99"`, []string{"run", file(t, "servers#1", "s-99")}},
		{"after the end", "fault[0].at: 9s is after the end", []string{"validate", good, file(t, `at = "1s"`, `at = "9s"`)}},
		{"missing binary", "agents.command: bin/none: no program there", []string{"run", file(t, "command = ", "command = \"bin/none\" #")}},
		{"address in use", "listen: listen tcp " + taken.Addr().String(), []string{"run", file(t, "seed = 9", fmt.Sprintf("seed = 9\nlisten = %q", taken.Addr()))}},
		{"out not writable", "--out: mkdir /dev/null", []string{"run", good, "--out", "/dev/null/results"}},
		{"disk full", "--out: write summary.json: ", []string{"run", good, "--out", full}},
		{"an agent that does not start", "process n", []string{"run", file(t, "command = ", "command = \"/bin/false\" #")}},
		{"no results", "results: ", []string{"compare", dir, dir}},
		{"nothing to list", "--dir: no experiment", []string{"list", "--dir", dir}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.args[0] == "run" && !strings.Contains(strings.Join(c.args, " "), "--out") {
				c.args = append(c.args, "--out", filepath.Join(dir, "out"))
			}
			ch := lab(t, c.args...)
			code := ch.code()
			said := ""
			for _, line := range strings.SplitAfter(ch.err.String(), "\n") {
				if !strings.Contains(line, " asked ") { // progress
					said += line
				}
			}
			if code != 2 || strings.Count(said, "\n") != 1 || !strings.Contains(said, c.says) || !strings.HasPrefix(said, "lab: ") {
				t.Errorf("exit %d, said %q; want one line with %q", code, said, c.says)
			}
		})
	}
	if left := children(dir); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// However a run is ended, no agent outlives it; told to end, it says so.
func TestInterrupted(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			dir := t.TempDir()
			c := lab(t, "run", file(t, `duration = "3s"`, `duration = "10m"`), "--out", dir, "--quiet")
			until(t, "two agents", func() bool { return len(children(dir)) == 2 })
			if err := c.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			code := c.code()
			until(t, "without agents", func() bool { return len(children(dir)) == 0 })
			if sig != syscall.SIGKILL && (code != 1 || !strings.HasSuffix(c.out.String(), "tiny seed 9: broke: interrupted before its end\n")) {
				t.Errorf("exit %d, said %q %q", code, c.out.String(), c.err.String())
			}
		})
	}
}

// While it plays, a run tells its state where its file says.
func TestState(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	dir := t.TempDir()
	c := lab(t, "run", file(t, "seed = 9", fmt.Sprintf("seed = 9\nlisten = %q", addr)), "--out", dir, "--quiet")
	until(t, "told", func() bool {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var p experiment.Progress
		return json.NewDecoder(resp.Body).Decode(&p) == nil && p.Requests > 0 && p.Phase == "running"
	})
	if code := c.code(); code != 0 {
		t.Errorf("exit %d: %s", code, c.err.String())
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after its end: %v", err)
	}
}
