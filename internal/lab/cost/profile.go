package cost

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
)

const (
	// benchmarkName is the benchmark that runs an agent inside a test binary, because the agent's
	// executable has no profiler.
	benchmarkName    = "BenchmarkAgentCall"
	benchmarkPackage = "./internal/agent"
	// serversEnvVar is the environment variable that sets the number of servers that the benchmark's
	// agent knows.
	serversEnvVar = "AGENT_SERVERS"
	// profileBenchtime is the number of calls that a profile covers, in the syntax of -benchtime.
	profileBenchtime = "5000x"
	// LabLabel and LabValue are the profiler label of the goroutines of callers and emulated servers,
	// by which they are excluded from the profile.
	LabLabel, LabValue = "role", "lab"
	// topFunctions is the number of functions listed for a profile.
	topFunctions = 40
)

// Profile runs the agent's benchmark with a CPU profile for each number of known servers N. It writes
// the profile to agent-N.pprof and the agent's most expensive functions to agent-N.txt in dir, and a
// progress line to out. It has to run in the root of the source tree and needs the go command.
func Profile(ctx context.Context, dir string, servers []int, out io.Writer) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, known := range servers {
		base := filepath.Join(dir, "agent-"+strconv.Itoa(known))
		if err := profileBenchmark(ctx, base, known); err != nil {
			return err
		}
		fmt.Fprintf(out, "profile of an agent with %d servers in %s.pprof, its functions in %s.txt\n", known, base, base)
	}
	return nil
}

// profileBenchmark writes base.pprof and base.txt for one number of known servers.
func profileBenchmark(ctx context.Context, base string, servers int) error {
	binary := filepath.Join(filepath.Dir(base), "agent.test")
	_, err := runGo(ctx, serversEnvVar+"="+strconv.Itoa(servers), "test", benchmarkPackage, "-run", "^$", "-bench", "^"+benchmarkName+"$",
		"-benchtime", profileBenchtime, "-cpuprofile", base+".pprof", "-o", binary)
	if err != nil {
		return err
	}
	top, err := runGo(ctx, "", "tool", "pprof", "-top", "-cum", "-nodecount", strconv.Itoa(topFunctions),
		"-tagignore", LabLabel+"="+LabValue, binary, base+".pprof")
	if err != nil {
		return err
	}
	return os.WriteFile(base+".txt", top, 0o644)
}

// runGo runs the go command and returns its output. env is an additional environment variable, or "".
// The error includes the last line of the output.
func runGo(ctx context.Context, env string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	if env != "" {
		cmd.Env = append(os.Environ(), env)
	}
	output, err := cmd.CombinedOutput()
	if err != nil {
		output = bytes.TrimSpace(output)
		lastLine := output[bytes.LastIndexByte(output, '\n')+1:]
		return nil, fmt.Errorf("go %s: %w: %s", args[0], err, lastLine)
	}
	return output, nil
}
