// Package syscallfault lets chosen system calls of the process that installs it fail, for as long as
// a file exists. It stands on the kernel's seccomp user notifications (seccomp_unotify(2)), which
// need no special rights, and so reaches calls that Go makes without the C library.
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
	// FaultsVariable lists faults, each as CALL:ERROR, with commas between.
	FaultsVariable = "SYSCALL_FAULTS"
	// WhileVariable names the file: the calls fail while it exists.
	WhileVariable = "SYSCALL_FAULTS_WHILE"
)

// fault is a system call and the error that it returns.
type fault struct {
	call  int
	errno unix.Errno
}

// calls are those that Go makes in a way that lets other goroutines run, as supervise has to.
// socket(2) is none of them.
var calls = map[string]int{
	"accept4": unix.SYS_ACCEPT4, "connect": unix.SYS_CONNECT,
	"openat": unix.SYS_OPENAT, "bind": unix.SYS_BIND, "listen": unix.SYS_LISTEN,
	"recvfrom": unix.SYS_RECVFROM, "write": unix.SYS_WRITE, "fsync": unix.SYS_FSYNC,
	"fdatasync": unix.SYS_FDATASYNC, "pwrite64": unix.SYS_PWRITE64,
}

var errnos = map[string]unix.Errno{
	"ECONNABORTED": unix.ECONNABORTED, "ENFILE": unix.ENFILE, "EMFILE": unix.EMFILE, "ENOBUFS": unix.ENOBUFS,
	"ENOMEM": unix.ENOMEM, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "EADDRINUSE": unix.EADDRINUSE,
	"ENETUNREACH": unix.ENETUNREACH, "ENETDOWN": unix.ENETDOWN, "EPROTO": unix.EPROTO, "EPERM": unix.EPERM,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "EINTR": unix.EINTR,
	"ENOSPC": unix.ENOSPC, "EIO": unix.EIO,
}

// FromEnvironment installs the faults that the environment names, if there are any. It has to run
// before the calls that are to fail; the file is looked for at each of them.
func FromEnvironment() error {
	text := os.Getenv(FaultsVariable)
	if text == "" {
		return nil
	}
	var faults []fault
	for part := range strings.SplitSeq(text, ",") {
		call, name, _ := strings.Cut(part, ":")
		nr, known := calls[call]
		errno, named := errnos[name]
		if !known || !named {
			return fmt.Errorf("%s: unknown fault %q", FaultsVariable, part)
		}
		faults = append(faults, fault{nr, errno})
	}
	return install(faults, os.Getenv(WhileVariable))
}

// notification and response are struct seccomp_notif and struct seccomp_notif_resp.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	nr    int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

type response struct {
	id    uint64
	val   int64
	errno int32
	flags uint32
}

func install(faults []fault, while string) error {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}} // the call's number
	for _, f := range faults {
		filter = append(filter,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: uint32(f.call), Jf: 1},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	runtime.LockOSThread() // both calls are of one thread; the second reaches all others
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_TSYNC | unix.SECCOMP_FILTER_FLAG_TSYNC_ESRCH
	listener, _, errno := syscall.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	go supervise(listener, faults, while)
	return nil
}

// supervise decides on each call that is notified. It makes none of them itself.
func supervise(listener uintptr, faults []fault, while string) {
	for {
		var n notification
		if _, _, errno := syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the caller was interrupted, and will call again
		}
		r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
		if _, err := os.Stat(while); err == nil {
			for _, f := range faults {
				if f.call == int(n.nr) {
					r.errno, r.flags = -int32(f.errno), 0
				}
			}
		}
		_, _, _ = syscall.Syscall(unix.SYS_IOCTL, listener, unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	}
}
