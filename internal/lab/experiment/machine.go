package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Machine describes the machine of a run.
type Machine struct {
	CPUs   int    `json:"cpus"`
	Go     string `json:"go"`
	Kernel string `json:"kernel"`
}

// describeMachine describes this machine. A kernel release that can't be read is left out.
func describeMachine() Machine {
	machine := Machine{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		machine.Kernel = strings.TrimSpace(string(text))
	}
	return machine
}

// unknownDigest takes the place of a program's digest that can't be computed.
const unknownDigest = "unknown"

// digestLength is how many hexadecimal digits of the digest are kept.
const digestLength = 12

// programDigest returns the beginning of the SHA-256 of a program's file.
func programDigest(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return unknownDigest
	}
	defer f.Close()
	digest := sha256.New()
	if _, err := io.Copy(digest, f); err != nil {
		return unknownDigest
	}
	return hex.EncodeToString(digest.Sum(nil))[:digestLength]
}

// wantedDescriptors is how many descriptors the servers of a large fleet need.
const wantedDescriptors = 200_000

// raiseDescriptorLimit raises the limit of this process's descriptors to wantedDescriptors, or,
// where that is not permitted, to its hard limit.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= wantedDescriptors {
		return
	}
	if syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: wantedDescriptors, Max: max(wantedDescriptors, limit.Max)}) != nil {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit.Max, Max: limit.Max})
	}
}

// descriptorLimit returns how many descriptors this process may have open; 0 if unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(limit.Cur)
}

// openDescriptors returns how many descriptors this process has open; 0 if unknown.
func openDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// processorTime returns the processor time that this process has used; 0 if unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
