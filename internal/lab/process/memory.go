package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// PeakRSSMB returns the largest resident memory that the present run of the process has had,
// as the kernel keeps it (VmHWM). It fails if the process does not run.
func (p *Process) PeakRSSMB() (float64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return 0, fmt.Errorf("process %s: it does not run", p.Name)
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0, fmt.Errorf("process %s: peak memory: %w", p.Name, err)
	}
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "VmHWM:" {
			continue
		}
		kilobytes, err := strconv.ParseFloat(string(fields[1]), 64)
		if err != nil {
			return 0, fmt.Errorf("process %s: peak memory: %w", p.Name, err)
		}
		return kilobytes / 1024, nil
	}
	return 0, fmt.Errorf("process %s: peak memory: no VmHWM", p.Name)
}
