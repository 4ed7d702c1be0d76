package agent

import (
	"syscall"
	"unsafe"
)

// pollIn is POLLIN of poll(2): there is data to read, or a connection to accept.
const pollIn = 0x1

// pollDescriptor is struct pollfd of poll(2).
type pollDescriptor struct {
	fd      int32
	events  int16
	revents int16
}

// mayBeReadable asks poll(2), without waiting, whether a read from a connection or an accept from a
// listener would return at once. It returns true if that is unknown, so only false is certain.
func mayBeReadable(socket any) bool {
	descriptors, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := descriptors.SyscallConn()
	if err != nil {
		return true
	}
	readable := true
	err = raw.Control(func(fd uintptr) { readable = mayPollIn(fd) })
	return err != nil || readable
}

// mayPollIn asks poll(2) about one descriptor. It returns true if the call fails.
func mayPollIn(fd uintptr) bool {
	descriptor := pollDescriptor{fd: int32(fd), events: pollIn}
	var noWait syscall.Timespec
	ready, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), 1,
		uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	return errno != 0 || ready > 0
}
