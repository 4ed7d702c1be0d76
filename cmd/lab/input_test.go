package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// For invalid input, the lab prints one line that names the key or the flag, exits with code 2 and leaves
// no process running.
func TestInvalidInputIsNamedInOneLine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dir := t.TempDir()
	validFile := experimentFile(t)
	fullDiskDir := filepath.Join(dir, "full")
	if err := os.MkdirAll(fullDiskDir, 0o755); err != nil {
		t.Fatal(err)
	}
	// Writes to /dev/full fail with ENOSPC, so that writing the summary fails as on a full disk.
	if err := os.Symlink("/dev/full", filepath.Join(fullDiskDir, "summary.json.part")); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, want string // want is a substring of the line
		args       []string
	}{
		{"no file", "nowhere.toml", []string{"run", "nowhere.toml"}},
		{"no argument", "accepts 1 arg", []string{"run"}},
		{"unknown flag", "--colour", []string{"run", validFile, "--colour"}},
		{"bad seed", `--seed`, []string{"run", validFile, "--seed", "many"}},
		{"unknown command", `unknown command "play"`, []string{"play"}},
		{"unknown key", "load.rat: unknown key", []string{"run", experimentFile(t, "rate = 60", "rat = 60")}},
		{"negative rate", "load.rate: must be 0 or above", []string{"run", experimentFile(t, "rate = 60", "rate = -60")}},
		{"unknown process", `fault[0].target: unknown process "s-99"`, []string{"run", experimentFile(t, "servers#1", "s-99")}},
		{"after the end", "fault[0].at: 9s is after the end", []string{"validate", validFile, experimentFile(t, `at = "1s"`, `at = "9s"`)}},
		{"missing binary", "agents.command: bin/none: no program there", []string{"run", experimentFile(t, "command = ", "command = \"bin/none\" #")}},
		{"address in use", "listen: listen tcp " + listener.Addr().String(), []string{"run", experimentFile(t, "seed = 9", fmt.Sprintf("seed = 9\nlisten = %q", listener.Addr()))}},
		{"out not writable", "--out: mkdir /dev/null", []string{"run", validFile, "--out", "/dev/null/results"}},
		{"disk full", "--out: write summary.json: ", []string{"run", validFile, "--out", fullDiskDir}},
		{"an agent that does not start", "process n", []string{"run", experimentFile(t, "command = ", "command = \"/bin/false\" #")}},
		{"no results", "results: ", []string{"compare", dir, dir}},
		{"no seeds", `--seeds: must be A-B or A, is ""`, []string{"soak"}},
		{"seeds backwards", "--seeds: must be 1 to 10000 seeds, the first one first", []string{"soak", "--seeds", "9-3"}},
		{"too many seeds", "--seeds: must be 1 to 10000 seeds", []string{"soak", "--seeds", "1-10001"}},
		{"a short soak", "--for: must be 15s to 1h, is 1s", []string{"soak", "--seeds", "1", "--for", "1s"}},
		{"no soak beside", "--beside: must be 1 to 16, is 0", []string{"soak", "--seeds", "1", "--beside", "0"}},
		{"unknown flag of the soak", "--site", []string{"soak", "--site", "nowhere"}},
		{"nothing to list", "--dir: no experiment", []string{"list", "--dir", dir}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.args[0] == "run" && !strings.Contains(strings.Join(c.args, " "), "--out") {
				c.args = append(c.args, "--out", filepath.Join(dir, "out"))
			}
			process := startLab(t, c.args...)
			code := process.waitExitCode()
			message := withoutProgress(process.stderr.String())
			if code != 2 || strings.Count(message, "\n") != 1 || !strings.Contains(message, c.want) || !strings.HasPrefix(message, "lab: ") {
				t.Errorf("exit %d, message %q; want one line with %q", code, message, c.want)
			}
		})
	}
	if left := agentProcesses(dir); len(left) > 0 {
		t.Errorf("processes left running: %v", left)
	}
}

// withoutProgress returns a run's output without its progress lines.
func withoutProgress(output string) string {
	var others strings.Builder
	for _, line := range strings.SplitAfter(output, "\n") {
		if !strings.Contains(line, " asked ") {
			others.WriteString(line)
		}
	}
	return others.String()
}
