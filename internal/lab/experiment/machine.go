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

// Machine describes the machine that a run was made on.
type Machine struct {
	CPUs   int    `json:"cpus"`
	Go     string `json:"go"`
	Kernel string `json:"kernel"`
}

// describeMachine describes this machine. It leaves out a kernel release that can't be read.
func describeMachine() Machine {
	machine := Machine{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		machine.Kernel = strings.TrimSpace(string(text))
	}
	return machine
}

// unknownDigest stands for the digest of a program that can't be read.
const unknownDigest = "unknown"

// digestLength is the number of hexadecimal digits to which the digest is truncated.
const digestLength = 12

// programDigest returns the truncated SHA-256 digest of a program's file.
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

// wantedDescriptors is the number of descriptors that the emulated servers of a large fleet need.
const wantedDescriptors = 200_000

// raiseDescriptorLimit raises the descriptor limit of this process to wantedDescriptors or, if that is
// not permitted, to the hard limit.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= wantedDescriptors {
		return
	}
	if syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: wantedDescriptors, Max: max(wantedDescriptors, limit.Max)}) != nil {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit.Max, Max: limit.Max})
	}
}

// descriptorLimit returns the number of descriptors that this process may have open, or 0 if unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(limit.Cur)
}

// openDescriptors returns the number of descriptors that this process has open, or 0 if unknown.
func openDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// processorTime returns the processor time that this process has used, or 0 if unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
