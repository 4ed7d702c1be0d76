package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	RSSMB       float64       `json:"rss_mb"`
	Descriptors int           `json:"descriptors"`
	CPU         time.Duration `json:"cpu_ns"` // processor time since its start
}

// usageHistory summarizes the usage samples of a process.
type usageHistory struct {
	last       Usage         // the last sample of the latest run
	peak       Usage         // the maximum of each field over all runs; CPU is the sum over the runs instead
	earlierCPU time.Duration // processor time of the runs before the latest, by their last samples
}

// beginRun begins a new run.
func (h *usageHistory) beginRun() {
	h.earlierCPU += h.last.CPU
	h.last = Usage{}
}

// add adds a sample of the latest run.
func (h *usageHistory) add(sample Usage) {
	h.last = sample
	h.peak.RSSMB = max(h.peak.RSSMB, sample.RSSMB)
	h.peak.Descriptors = max(h.peak.Descriptors, sample.Descriptors)
	h.peak.CPU = h.earlierCPU + sample.CPU
}

// SampleUsage returns the current usage, and the peaks over all samples; peak.CPU is the processor time of
// all runs. If the process is not running, now is its last sample. A process that uses more memory than
// its Spec allows is killed, as by a platform's memory limit, and killed is true; its end counts as
// unexpected.
func (p *Process) SampleUsage() (now, peak Usage, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return p.usage.last, p.usage.peak, false
	}
	sample, err := readUsage(p.cmd.Process.Pid)
	if err != nil { // the process has just ended
		return p.usage.last, p.usage.peak, false
	}
	p.usage.add(sample)
	if p.MemoryMB > 0 && sample.RSSMB > p.MemoryMB {
		p.killGroup()
		killed = true
	}
	return sample, p.usage.peak, killed
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	statm, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Usage{}, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	descriptors, err := countEntries(dir + "/fd")
	if err != nil {
		return Usage{}, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	return Usage{RSSMB: parseResidentMB(statm), Descriptors: descriptors, CPU: parseCPUTime(stat)}, nil
}

// parseResidentMB returns the resident memory in the text of /proc/PID/statm, in MB; 0 if it is
// missing. The text's second field is the number of resident pages.
func parseResidentMB(statm []byte) float64 {
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from 0 after the program's name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// parseCPUTime returns the user and system time in the text of /proc/PID/stat; 0 if they are missing. The
// program's name is in parentheses and may itself contain spaces and parentheses.
func parseCPUTime(stat []byte) time.Duration {
	afterName := stat[bytes.LastIndexByte(stat, ')')+1:]
	fields := strings.Fields(string(afterName))
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// countEntries returns the number of entries of a folder.
func countEntries(path string) (int, error) {
	dir, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	return len(names), err
}

// errNoPeakRSS is the error on a kernel that does not report a process's peak memory.
var errNoPeakRSS = errors.New("VmHWM missing in /proc/PID/status")

// PeakRSSMB returns the largest resident memory of the latest run, in MB, as recorded by the kernel
// (VmHWM). Unlike the peak of SampleUsage it does not depend on samples. It returns ErrNotRunning if the
// process is not running.
func (p *Process) PeakRSSMB() (float64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return 0, fmt.Errorf("process %s: %w", p.Name, ErrNotRunning)
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0, fmt.Errorf("process %s: peak memory: %w", p.Name, err)
	}
	peak, err := parsePeakMB(status)
	if err != nil {
		return 0, fmt.Errorf("process %s: peak memory: %w", p.Name, err)
	}
	return peak, nil
}

// parsePeakMB returns the peak resident memory in the text of /proc/PID/status, in MB.
func parsePeakMB(status []byte) (float64, error) {
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "VmHWM:" {
			continue
		}
		kilobytes, err := strconv.ParseFloat(string(fields[1]), 64)
		if err != nil {
			return 0, err
		}
		return kilobytes / 1024, nil
	}
	return 0, errNoPeakRSS
}
