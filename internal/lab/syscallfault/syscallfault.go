// Package syscallfault lets chosen system calls of its own process fail for as long as a file exists,
// so that a test can show what a program does when a call fails. It uses the kernel's seccomp user
// notifications (seccomp_unotify(2)), which need Linux and no privileges, and so affects calls that Go
// makes without the C library.
//
// FromEnvironment starts one goroutine, which decides on the calls until the process ends. The package
// has no state that changes after that, and no locks.
package syscallfault

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The variables of the environment that FromEnvironment reads.
const (
	// FaultsVariable lists faults as CALL:ERROR, separated by commas, as in "accept4:EMFILE".
	FaultsVariable = "SYSCALL_FAULTS"
	// WhileVariable is the path of a file. The calls fail while it exists.
	WhileVariable = "SYSCALL_FAULTS_WHILE"
)

// fault is a system call and the error that it returns.
type fault struct {
	call  int // the call's number
	errno unix.Errno
}

// syscalls are the system calls that can fail, by their names. Go makes each of them in a way that lets
// other goroutines run meanwhile, which supervise needs in order to decide on the call. socket(2) is
// left out because Go makes it otherwise.
var syscalls = map[string]int{
	"accept4": unix.SYS_ACCEPT4, "connect": unix.SYS_CONNECT,
	"openat": unix.SYS_OPENAT, "bind": unix.SYS_BIND, "listen": unix.SYS_LISTEN,
	"recvfrom": unix.SYS_RECVFROM, "write": unix.SYS_WRITE, "fsync": unix.SYS_FSYNC,
	"fdatasync": unix.SYS_FDATASYNC, "pwrite64": unix.SYS_PWRITE64,
}

// errnos are the errors that calls can fail with, by their names.
var errnos = map[string]unix.Errno{
	"ECONNABORTED": unix.ECONNABORTED, "ENFILE": unix.ENFILE, "EMFILE": unix.EMFILE, "ENOBUFS": unix.ENOBUFS,
	"ENOMEM": unix.ENOMEM, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "EADDRINUSE": unix.EADDRINUSE,
	"ENETUNREACH": unix.ENETUNREACH, "ENETDOWN": unix.ENETDOWN, "EPROTO": unix.EPROTO, "EPERM": unix.EPERM,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "EINTR": unix.EINTR,
	"ENOSPC": unix.ENOSPC, "EIO": unix.EIO,
}

// FromEnvironment installs the faults that the environment names, if it names any. It has to be called
// before the calls that are to fail, and at most once. It fails if a fault is unknown, or if the kernel
// refuses the filter.
func FromEnvironment() error {
	text := os.Getenv(FaultsVariable)
	if text == "" {
		return nil
	}
	faults, err := parseFaults(text)
	if err != nil {
		return err
	}
	return install(faults, os.Getenv(WhileVariable))
}

// parseFaults parses the value of FaultsVariable.
func parseFaults(text string) ([]fault, error) {
	var faults []fault
	for part := range strings.SplitSeq(text, ",") {
		callName, errnoName, _ := strings.Cut(part, ":")
		call, callKnown := syscalls[callName]
		errno, errnoKnown := errnos[errnoName]
		if !callKnown || !errnoKnown {
			return nil, fmt.Errorf("%s: unknown fault %q", FaultsVariable, part)
		}
		faults = append(faults, fault{call, errno})
	}
	return faults, nil
}

// notification is struct seccomp_notif of the kernel.
type notification struct {
	id           uint64
	pid          uint32
	flags        uint32
	call         int32 // its number; this and the rest is struct seccomp_data
	architecture uint32
	instruction  uint64
	arguments    [6]uint64
}

// response is struct seccomp_notif_resp of the kernel.
type response struct {
	id    uint64
	value int64
	errno int32 // negative
	flags uint32
}

// install has the kernel notify this process of each call that a fault names, and starts a goroutine
// that decides on them.
func install(faults []fault, whileFile string) error {
	filter := filterProgram(faults)
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// Both calls have to be made by one thread. The second one affects all threads of the process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_TSYNC | unix.SECCOMP_FILTER_FLAG_TSYNC_ESRCH
	listener, _, errno := syscall.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	go supervise(listener, faults, whileFile)
	return nil
}

// callNumberOffset is the offset of the call's number in struct seccomp_data.
const callNumberOffset = 0

// filterProgram returns the BPF program that has the kernel notify the listener of the faults' calls
// and allow all others.
func filterProgram(faults []fault) []unix.SockFilter {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: callNumberOffset}}
	for _, f := range faults {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: uint32(f.call), Jf: 1}, // Jf: skip the next one
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
}

// supervise decides on each call that the listener is notified of, until the process ends. It makes
// none of the calls in syscalls itself, because such a call would wait for its own decision.
func supervise(listener uintptr, faults []fault, whileFile string) {
	for {
		var n notification
		if _, _, errno := syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the calling thread was interrupted, and will call again
		}
		r := decide(&n, faults, whileFile)
		_, _, _ = syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	}
}

// decide returns the response to a call: its fault's error while the file exists, and otherwise that
// the kernel is to execute the call. Of several faults of one call, the last one counts.
func decide(n *notification, faults []fault, whileFile string) response {
	r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if _, err := os.Stat(whileFile); err != nil {
		return r
	}
	for _, f := range faults {
		if f.call == int(n.call) {
			r.errno, r.flags = -int32(f.errno), 0
		}
	}
	return r
}
