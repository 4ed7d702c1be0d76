package cost

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"runtime"
	"strings"
)

const unknown = "unknown"

// builtFrom returns the commit that a program was built from, as the Go tool noted it.
func builtFrom(program string) (commit string, dirty bool) {
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

// machine describes processors, memory and Go version.
func machine() string {
	return fmt.Sprintf("%d CPUs (%s), memory %s, %s", runtime.NumCPU(), field("/proc/cpuinfo", "model name"),
		field("/proc/meminfo", "MemTotal"), runtime.Version())
}

// field returns the first value of a key in a file of lines "key : value".
func field(path, key string) string {
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
