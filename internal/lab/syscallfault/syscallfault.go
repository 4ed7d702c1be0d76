// Package syscallfault makes chosen system calls of its own process fail while a file exists, so that
// a test can check how a program handles the failures. It uses the kernel's seccomp user notifications
// (seccomp_unotify(2)), which need Linux but no privileges, and so also affects calls that Go makes
// without the C library.
//
// FromEnvironment starts one goroutine, which responds to the calls until the process ends. The package
// has no mutable state after that, and no locks.
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

// The environment variables that FromEnvironment reads.
const (
	// FaultsVariable lists faults as CALL:ERROR, separated by commas, as in "accept4:EMFILE".
	FaultsVariable = "SYSCALL_FAULTS"
	// WhileVariable is the path of a file; the calls fail while the file exists.
	WhileVariable = "SYSCALL_FAULTS_WHILE"
)

// fault is a system call and the error that it fails with.
type fault struct {
	call  int // the call's number
	errno unix.Errno
}

// syscalls are the numbers of the system calls that can fail, by name. The Go runtime lets other
// goroutines run during each of them, which supervise needs in order to respond to the call. socket(2)
// is missing because Go calls it without letting other goroutines run.
var syscalls = map[string]int{
	"accept4": unix.SYS_ACCEPT4, "connect": unix.SYS_CONNECT,
	"openat": unix.SYS_OPENAT, "bind": unix.SYS_BIND, "listen": unix.SYS_LISTEN,
	"recvfrom": unix.SYS_RECVFROM, "write": unix.SYS_WRITE, "fsync": unix.SYS_FSYNC,
	"fdatasync": unix.SYS_FDATASYNC, "pwrite64": unix.SYS_PWRITE64,
}

// errnos are the errors that calls can fail with, by name.
var errnos = map[string]unix.Errno{
	"ECONNABORTED": unix.ECONNABORTED, "ENFILE": unix.ENFILE, "EMFILE": unix.EMFILE, "ENOBUFS": unix.ENOBUFS,
	"ENOMEM": unix.ENOMEM, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "EADDRINUSE": unix.EADDRINUSE,
	"ENETUNREACH": unix.ENETUNREACH, "ENETDOWN": unix.ENETDOWN, "EPROTO": unix.EPROTO, "EPERM": unix.EPERM,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "EINTR": unix.EINTR,
	"ENOSPC": unix.ENOSPC, "EIO": unix.EIO,
}

// FromEnvironment installs the faults that FaultsVariable lists, if any. It must be called at most once,
// and before the calls that are to fail. It returns an error if a fault is unknown or if the kernel
// rejects the filter.
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

// notification has the layout of the kernel's struct seccomp_notif.
type notification struct {
	id           uint64
	pid          uint32
	flags        uint32
	call         int32 // number of the call; the kernel's struct seccomp_data begins here
	architecture uint32
	instruction  uint64
	arguments    [6]uint64
}

// response has the layout of the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32 // negated error number
	flags uint32
}

// install installs a seccomp filter that notifies this process of each call that has a fault, and starts
// a goroutine that responds to the notifications.
func install(faults []fault, whileFile string) error {
	filter := filterProgram(faults)
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// Both calls must be made by the same thread. TSYNC applies the filter to all threads of the process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("prctl PR_SET_NO_NEW_PRIVS: %w", err)
	}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_TSYNC | unix.SECCOMP_FILTER_FLAG_TSYNC_ESRCH
	listener, _, errno := syscall.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("install the seccomp filter: %w", errno)
	}
	go supervise(listener, faults, whileFile)
	return nil
}

// callNumberOffset is the offset of the call number in struct seccomp_data.
const callNumberOffset = 0

// filterProgram returns a BPF program that notifies the listener of the calls that have a fault, and
// allows all others.
func filterProgram(faults []fault) []unix.SockFilter {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: callNumberOffset}}
	for _, f := range faults {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: uint32(f.call), Jf: 1}, // else skip one instruction
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
}

// supervise responds to each call that the listener is notified of, until the process ends. It makes
// none of the calls in syscalls itself, because such a call would wait for a response that only
// supervise can send.
func supervise(listener uintptr, faults []fault, whileFile string) {
	for {
		var n notification
		if _, _, errno := syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the calling thread was interrupted and will repeat the call
		}
		r := decide(&n, faults, whileFile)
		_, _, _ = syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	}
}

// decide returns the response to a call: the error of its fault if the file exists, and otherwise an
// instruction to execute the call. If a call has several faults, the last one applies.
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
