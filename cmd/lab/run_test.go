package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"knotrouter/internal/lab/experiment"
)

// resultFiles are the files of a run's results besides summary.json.
var resultFiles = []string{"report.md", "served.png", "latency.png", "attempts.png", "connections.png", "list.png"}

// checkResults checks that a folder has the results of a run of experimentFile.
func checkResults(t *testing.T, dir string) {
	t.Helper()
	var summary experiment.Summary
	text, err := os.ReadFile(filepath.Join(dir, "summary.json"))
	if err == nil {
		err = json.Unmarshal(text, &summary)
	}
	if err != nil || summary.Name != "tiny" || len(summary.Fleets) != 1 || summary.Fleets[0].Rows[0].Requests < 50 || summary.Faults[0].Targets != 1 {
		t.Errorf("summary: %v %+v", err, summary)
	}
	for _, name := range resultFiles {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() < 500 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A run writes its results, prints in its last line whether its checks passed, and leaves no process
// running. A run that misses a bound exits with code 1 and names the metric and the bound.
func TestRunWritesResultsAndExitCode(t *testing.T) {
	dir := t.TempDir()
	passedDir := filepath.Join(dir, "held")
	c := startLab(t, "run", experimentFile(t), "--out", passedDir, "--seed", "31")
	if code := c.waitExitCode(); code != 0 || !strings.HasSuffix(c.stdout.String(), "\ntiny seed 31: held\n") {
		t.Fatalf("exit %d, output %s %s", code, c.stdout.String(), c.stderr.String())
	}
	failedDir := filepath.Join(dir, "broke")
	impossible := experimentFile(t, "[[fault]]", "[[expect]]\nwhat = \"served\"\nat_most = 0.1\n[[fault]]")
	c = startLab(t, "run", impossible, "--out", failedDir, "--quiet")
	if code := c.waitExitCode(); code != 1 || !regexp.MustCompile(`^tiny seed 9: broke: served at most, [\d.]+ against 0.1\n$`).MatchString(c.stdout.String()) {
		t.Errorf("exit %d, output %q %q", code, c.stdout.String(), c.stderr.String())
	}
	checkResults(t, passedDir)
	checkResults(t, failedDir)
	c = startLab(t, "compare", passedDir, failedDir)
	if code := c.waitExitCode(); code != 0 || !strings.Contains(c.stdout.String(), "all all served share") || !strings.Contains(c.stdout.String(), "not the same experiment and seed") {
		t.Errorf("exit %d, output %s", code, c.stdout.String())
	}
	if left := agentProcesses(dir); len(left) > 0 {
		t.Errorf("processes left running: %v", left)
	}
}

// No agent outlives a lab process that is ended by a signal. After SIGINT and SIGTERM the lab prints that
// the run was interrupted.
func TestInterruptedRunLeavesNoAgent(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			dir := t.TempDir()
			c := startLab(t, "run", experimentFile(t, `duration = "3s"`, `duration = "10m"`), "--out", dir, "--quiet")
			waitUntil(t, "two agents run", func() bool { return len(agentProcesses(dir)) == 2 })
			if err := c.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			code := c.waitExitCode()
			waitUntil(t, "all agents have ended", func() bool { return len(agentProcesses(dir)) == 0 })
			if sig != syscall.SIGKILL && (code != 1 || !strings.HasSuffix(c.stdout.String(), "tiny seed 9: broke: interrupted before its end\n")) {
				t.Errorf("exit %d, output %q %q", code, c.stdout.String(), c.stderr.String())
			}
		})
	}
}

// A run serves its state as JSON at the address in its experiment file until the run ends.
func TestRunServesItsState(t *testing.T) {
	addr := freeAddress(t)
	dir := t.TempDir()
	c := startLab(t, "run", experimentFile(t, "seed = 9", fmt.Sprintf("seed = 9\nlisten = %q", addr)), "--out", dir, "--quiet")
	waitUntil(t, "the lab serves the state of a running experiment", func() bool {
		response, err := http.Get("http://" + addr)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var progress experiment.Progress
		err = json.NewDecoder(response.Body).Decode(&progress)
		return err == nil && progress.Requests > 0 && progress.Phase == "running"
	})
	if code := c.waitExitCode(); code != 0 {
		t.Errorf("exit %d: %s", code, c.stderr.String())
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the end of the run: %v, want ECONNREFUSED", err)
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
