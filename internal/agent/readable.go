package agent

import (
	"syscall"
	"unsafe"
)

// Events of poll(2).
const (
	pollIn          = 0x1    // POLLIN: there is data to read, or a connection to accept
	pollError       = 0x8    // POLLERR
	pollHangup      = 0x10   // POLLHUP: both sides have ended
	pollInputHangup = 0x2000 // POLLRDHUP: the peer's side has ended, perhaps behind unread data
)

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

// hasUnread reports whether a read from a connection would return at once. It returns false if that is unknown, so only
// true is certain.
func hasUnread(raw syscall.RawConn) bool {
	unread := false
	_ = raw.Control(func(fd uintptr) {
		events, ok := pollNow(fd, pollIn)
		unread = ok && events != 0
	})
	return unread
}

// mayPollIn asks poll(2) about one descriptor. It returns true if the call fails.
func mayPollIn(fd uintptr) bool {
	events, ok := pollNow(fd, pollIn)
	return !ok || events != 0
}

// peerHasEnded reports whether the peer of a connection has ended its side, or the connection has failed, even if
// there are unread bytes before that. It returns false if that is unknown.
func peerHasEnded(fd uintptr) bool {
	events, ok := pollNow(fd, pollInputHangup)
	return ok && events&(pollInputHangup|pollHangup|pollError) != 0
}

// pollNow asks poll(2), without waiting, which events have occurred. ok is false if the call fails.
func pollNow(fd uintptr, wanted int16) (occurred int16, ok bool) {
	descriptor := pollDescriptor{fd: int32(fd), events: wanted}
	var noWait syscall.Timespec
	_, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), 1,
		uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	return descriptor.revents, errno == 0
}
