package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// scaleFile writes an experiment file with a [scale] table that has the additional lines.
func scaleFile(t *testing.T, lines string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tiny-scale.toml")
	text := "name = \"tiny-scale\"\nabout = \"A tiny fleet.\"\n[scale]\nsizes = [{ servers = 30, watches = 2, services = 3 }]\n" + lines
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// For invalid input of a scale run or of hollow agents or servers, the lab prints one line that names the
// key or the flag, and exits with code 2.
func TestScaleErrorsNameTheKeyOrFlag(t *testing.T) {
	for _, c := range []struct {
		name, want string
		args       []string
	}{
		{"unknown key", "scale.sizez: unknown key", []string{"validate", scaleFile(t, "sizez = 3\n")}},
		{"bad key", "scale.renew: must be 10ms to 1m", []string{"run", scaleFile(t, "renew = \"1ms\"\n")}},
		{"bad setting of stewards", "scale.steward: configuration: lease_ttl", []string{"run", scaleFile(t, "steward_command = \"/bin/true\"\n[scale.steward]\nlease_ttl = \"1ms\"\n")}},
		{"no steward", "scale.steward_command: bin/none: no program there", []string{"run", scaleFile(t, "steward_command = \"bin/none\"\n")}},
		{"out not writable", "--out: mkdir /dev/null", []string{"run", scaleFile(t, ""), "--out", "/dev/null/results"}},
		{"no stewards", "--stewards: missing", []string{"hollow", "agents", "--count", "1"}},
		{"no agents", "--count: must be 1 to", []string{"hollow", "agents", "--stewards", "127.0.0.1:1"}},
		{"no time between renewals", "--renew: must be 10ms to 1m", []string{"hollow", "servers", "--stewards", "127.0.0.1:1", "--count", "1", "--renew", "0"}},
		{"state offered to all", "--listen: must be a loopback address", []string{"hollow", "agents", "--stewards", "127.0.0.1:1", "--count", "1", "--listen", "0.0.0.0:0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.args[0] == "run" && !strings.Contains(strings.Join(c.args, " "), "--out") {
				c.args = append(c.args, "--quiet", "--out", t.TempDir())
			}
			run := startLab(t, c.args...)
			code := run.waitExitCode()
			if stderr := run.stderr.String(); code != 2 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.want) || !strings.HasPrefix(stderr, "lab: ") {
				t.Errorf("exit %d, stderr %q; want one line with %q", code, stderr, c.want)
			}
		})
	}
}

// Scale experiments are validated and listed like other experiments.
func TestScaleExperimentIsValidatedAndListed(t *testing.T) {
	path := scaleFile(t, "")
	c := startLab(t, "validate", path)
	if code := c.waitExitCode(); code != 0 || c.stdout.String() != path+": tiny-scale is fine\n" {
		t.Errorf("exit %d, output %q %q", code, c.stdout.String(), c.stderr.String())
	}
	c = startLab(t, "list", "--dir", filepath.Dir(path))
	if code := c.waitExitCode(); code != 0 || !strings.Contains(c.stdout.String(), "scale    1 sizes, to 30 servers  A tiny fleet.") {
		t.Errorf("exit %d, output %q %q", code, c.stdout.String(), c.stderr.String())
	}
}
