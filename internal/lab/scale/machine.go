package scale

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
)

// gitCommit returns the commit of the working tree, or "unknown" if there is none, and whether the tree
// has uncommitted changes.
func gitCommit() (commit string, dirty bool) {
	text, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown", false
	}
	status, err := exec.Command("git", "status", "--porcelain").Output()
	return strings.TrimSpace(string(text)), err != nil || len(status) > 0
}

// describeMachine returns the number of processors, the memory and the Go version, for the results.
func describeMachine() string {
	memory := "unknown memory"
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kib int
		if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kib); err == nil {
			memory = fmt.Sprintf("%.0f GiB", float64(kib)/(1<<20))
		}
	}
	return fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), memory, runtime.Version())
}
