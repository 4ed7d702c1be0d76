package agent

import (
	"errors"
	"sync"
	"time"
)

const (
	// minPacedParsing is the parsing time from which a head delays those after it.
	minPacedParsing = time.Millisecond
	// parsingPause is the length of that delay, in parsing times.
	parsingPause = 3
)

// errHeadTooLong is the error of a head that is longer than maxHeadBytes.
var errHeadTooLong = errors.New("head above its limit")

// headSize is the size of a head of a request or a response.
type headSize struct{ bytes, lines int }

// parsedBytes returns the most memory that the head takes while net/http parses it.
func (s headSize) parsedBytes() int64 {
	return int64(s.bytes*parsedBytesPerByte + s.lines*parsedBytesPerLine)
}

// headBuffer holds the head of a message until it is complete, and the reservations of its memory. net/http parses
// a head as it arrives, and a parsed head takes many times its size. A head that arrives as a whole is parsed at
// once, and its reader can drop it.
type headBuffer struct {
	held          *reservation // memory of collected
	parsingBudget *memoryBudget
	evict         func()

	mu           sync.Mutex // guards the fields below
	collected    []byte     // bytes of the head that net/http has not read yet
	complete     bool       // the head has ended within collected
	parsing      *reservation
	parsingBytes int64     // memory that the head needs while net/http parses it
	parsingSince time.Time // when that memory was reserved
	closed       bool      // the connection is closed: nothing is kept any more
}

// newHeadBuffer returns an empty buffer whose head is held and parsed within the budgets. evict closes the
// connection.
func newHeadBuffer(holding, parsing *memoryBudget, evict func()) *headBuffer {
	return &headBuffer{held: holding.reserve(evict), parsingBudget: parsing, evict: evict, parsing: parsing.reserve(evict)}
}

// isEmpty reports whether nothing is kept.
func (h *headBuffer) isEmpty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.collected) == 0
}

// take moves bytes of a complete head to p and returns how many.
func (h *headBuffer) take(p []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.complete {
		return 0
	}
	n := copy(p, h.collected)
	if h.collected = h.collected[n:]; len(h.collected) == 0 {
		h.dropLocked()
	}
	return n
}

// drop drops what was kept.
func (h *headBuffer) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropLocked()
}

// dropLocked is drop for a caller that holds the lock.
func (h *headBuffer) dropLocked() {
	h.collected, h.complete = nil, false
	h.held.release()
}

// add keeps bytes of a head. It returns errHeadTooLong, or an error of reservation.grow.
func (h *headBuffer) add(p []byte, wait memoryWait) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	needed, available := len(h.collected)+len(p), cap(h.collected)
	if needed > maxHeadBytes {
		return errHeadTooLong
	}
	if needed > available {
		grown := min(max(needed, 2*available), maxHeadBytes)
		if err := h.holdLocked(grown, available, wait); err != nil {
			return err
		}
		h.collected = append(make([]byte, 0, grown), h.collected...)
	}
	h.collected = append(h.collected, p...)
	return nil
}

// holdLocked reserves memory for a buffer that grows. It releases the lock while it waits.
func (h *headBuffer) holdLocked(grown, available int, wait memoryWait) error {
	if grown <= unreservedBytes {
		return nil
	}
	h.mu.Unlock()
	err := h.held.grow(int64(grown-available), wait)
	h.mu.Lock()
	if h.closed {
		h.dropLocked()
		return errNoMemory
	}
	return err
}

// reserveParsing reserves the memory to parse a head of this size. It returns an error of reservation.grow.
func (h *headBuffer) reserveParsing(size headSize, wait memoryWait) error {
	h.mu.Lock()
	parsing, more := h.parsing, size.parsedBytes()-h.parsingBytes
	h.parsingBytes += more
	reserve := h.parsingBytes > unreservedBytes
	h.mu.Unlock()
	var err error
	if reserve {
		err = parsing.grow(more, wait)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parsingSince = time.Now()
	if h.closed {
		parsing.release()
	}
	return err
}

// releaseParsing releases the memory of the parsed head. If parsing took long, it does so after a pause that leaves
// the processor to other messages.
func (h *headBuffer) releaseParsing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.parsingBytes == 0 {
		return
	}
	h.parsingBytes = 0
	took := time.Since(h.parsingSince)
	if took < minPacedParsing || h.closed {
		h.parsing.release()
		return
	}
	parsed := h.parsing
	parsed.pin()
	h.parsing = h.parsingBudget.reserve(h.evict)
	time.AfterFunc(took*parsingPause, parsed.release)
}

// end marks the head as complete.
func (h *headBuffer) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
}

// close drops what was kept and releases all memory, now and from now on.
func (h *headBuffer) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.dropLocked()
	h.parsing.release()
}
