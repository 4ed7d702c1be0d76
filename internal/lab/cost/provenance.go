package cost

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"runtime"
	"strings"
)

// unknown is the value of provenance that cannot be read.
const unknown = "unknown"

// buildCommit returns the commit that a program was built from, and whether the working tree had
// uncommitted changes, as the Go tool recorded them in the program. The commit is unknown without
// such a record.
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

// describeMachine describes the processors, the memory and the Go version of the lab.
func describeMachine() string {
	return fmt.Sprintf("%d CPUs (%s), memory %s, %s", runtime.NumCPU(), procField("/proc/cpuinfo", "model name"),
		procField("/proc/meminfo", "MemTotal"), runtime.Version())
}

// procField returns the first value of a key in a file of lines "key : value", or unknown.
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
