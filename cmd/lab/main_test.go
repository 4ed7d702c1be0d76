package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// childVariable is the environment variable that makes the test binary run the lab's main.
const childVariable = "LAB_CHILD"

// TestMain runs the lab instead of the tests in a process that startLab started.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "1" {
		main()
		os.Exit(0)
	}
	code := m.Run()
	if path, err := buildAgent(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

const (
	// testTimeout bounds each wait.
	testTimeout  = time.Minute
	pollInterval = 10 * time.Millisecond
)

// buildAgent builds the real agent on the first call and returns its path.
var buildAgent = sync.OnceValues(func() (string, error) {
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

// experimentFile writes an experiment with real agents and returns its path. The replacements are
// pairs of a text to replace in the experiment and its replacement.
func experimentFile(t *testing.T, replacements ...string) string {
	t.Helper()
	path, err := buildAgent()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(replacements...).Replace(fmt.Sprintf(`
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

// labProcess is a child process that runs the lab.
type labProcess struct {
	*exec.Cmd
	stdout, stderr bytes.Buffer
}

// startLab starts the lab in a child process, which is killed at the end of the test.
func startLab(t *testing.T, args ...string) *labProcess {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := &labProcess{Cmd: exec.Command(exe, args...)}
	c.Env = append(os.Environ(), childVariable+"=1")
	c.Stdout, c.Stderr = &c.stdout, &c.stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	return c
}

// waitExitCode waits until the process ends and returns its exit code, or -1 if a signal ended it.
func (c *labProcess) waitExitCode() int {
	_ = c.Wait()
	return c.ProcessState.ExitCode()
}

// agentProcesses returns the process IDs of the agents whose configuration is in a folder.
func agentProcesses(dir string) (pids []int) {
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		if text, err := os.ReadFile(path); err == nil && bytes.Contains(text, []byte("EDGE_CONFIG="+dir)) {
			pid, _ := strconv.Atoi(strings.Split(path, "/")[2])
			pids = append(pids, pid)
		}
	}
	return pids
}

// waitUntil polls a condition and fails the test if it doesn't become true within testTimeout.
func waitUntil(t *testing.T, condition string, isTrue func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !isTrue(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}
