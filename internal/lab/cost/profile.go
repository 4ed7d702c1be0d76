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
	// benchmark drives an agent inside a test binary: the agent's own program has no
	// profiler in it.
	benchmark        = "BenchmarkAgentCall"
	benchmarkPackage = "./internal/agent"
	// callsProfiled is how many calls a profile covers.
	callsProfiled = "5000x"
	// LabLabel and LabValue mark the goroutines of callers and emulated servers in a profile,
	// so that they can be left out of it.
	LabLabel, LabValue = "role", "lab"
	topFunctions       = 40
)

// Profile runs the agent's benchmark for each number of known servers with a CPU profile. It
// leaves agent-N.pprof and the agent's most expensive functions in agent-N.txt in the folder.
// It has to run at the root of the source tree, with the Go tool.
func Profile(ctx context.Context, dir string, servers []int, out io.Writer) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, n := range servers {
		base := filepath.Join(dir, "agent-"+strconv.Itoa(n))
		if err := profileOne(ctx, base, n); err != nil {
			return err
		}
		fmt.Fprintf(out, "profile of an agent with %d servers in %s.pprof, its functions in %s.txt\n", n, base, base)
	}
	return nil
}

func profileOne(ctx context.Context, base string, servers int) error {
	binary := filepath.Join(filepath.Dir(base), "agent.test")
	_, err := output(ctx, "AGENT_SERVERS="+strconv.Itoa(servers), "test", benchmarkPackage, "-run", "^$", "-bench", "^"+benchmark+"$",
		"-benchtime", callsProfiled, "-cpuprofile", base+".pprof", "-o", binary)
	if err != nil {
		return err
	}
	top, err := output(ctx, "", "tool", "pprof", "-top", "-cum", "-nodecount", strconv.Itoa(topFunctions),
		"-tagignore", LabLabel+"="+LabValue, binary, base+".pprof")
	if err != nil {
		return err
	}
	return os.WriteFile(base+".txt", top, 0o644)
}

// output runs the Go tool and returns what it wrote; its error holds the last line of it.
func output(ctx context.Context, env string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	if env != "" {
		cmd.Env = append(os.Environ(), env)
	}
	text, err := cmd.CombinedOutput()
	if err != nil {
		text = bytes.TrimSpace(text)
		return nil, fmt.Errorf("go %s: %w: %s", args[0], err, text[bytes.LastIndexByte(text, '\n')+1:])
	}
	return text, nil
}
