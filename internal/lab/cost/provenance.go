package cost

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"runtime"
	"strings"
)

// unknown stands for provenance that could not be determined.
const unknown = "unknown"

// buildCommit returns the commit that a program was built from, and whether the working tree had
// uncommitted changes, from the build information that the go command embeds. Without build
// information the commit is unknown.
func buildCommit(program string) (commit string, dirty bool) {
	commit = unknown
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		return commit, false
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			commit = setting.Value
		case "vcs.modified":
			dirty = setting.Value == "true"
		}
	}
	return commit, dirty
}

// describeMachine returns the processors, the memory and the Go version, for the results.
func describeMachine() string {
	return fmt.Sprintf("%d CPUs (%s), memory %s, %s", runtime.NumCPU(), procField("/proc/cpuinfo", "model name"),
		procField("/proc/meminfo", "MemTotal"), runtime.Version())
}

// procField returns the first value of a key in a file of "key : value" lines, or unknown.
func procField(path, key string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return unknown
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if strings.TrimSpace(name) == key {
			return strings.TrimSpace(value)
		}
	}
	return unknown
}
