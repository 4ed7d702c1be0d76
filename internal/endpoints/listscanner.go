package endpoints

import (
	"bytes"
	"sync"
	"time"
)

// partialListDelay is how long a list may stay unfinished before its reader receives the part that
// has arrived: the service treats the bytes it has written as delivered (PROTOCOL, "The rules on
// sockets"), and a reader has half a second to apply them.
const partialListDelay = 100 * time.Millisecond

// listScanner splits the bytes of a watch into lists as they arrive. A list ends at its closing brace,
// whether or not a newline follows, and may be indented over several lines. If a list stays unfinished,
// the part that has arrived is reported. The callbacks run with the scanner locked.
type listScanner struct {
	onList      func(text []byte) error                  // receives each list
	onBlankLine func()                                   // is called for each blank line between lists
	onPartial   func(text []byte, firstByteAt time.Time) // receives the part of an unfinished list

	mu            sync.Mutex // guards the fields below, which feed and the timer share
	pending       []byte     // bytes of the unfinished list; empty between lists
	depth         int        // open braces and brackets
	inString      bool
	escaped       bool      // the last byte was a backslash in a string
	firstByteAt   time.Time // when the first byte of the list arrived
	reportedBytes int       // length of the part reported last
	partialTimer  *time.Timer
}

// feed scans the next bytes. It returns an error if they are not valid as part of a list, or the error
// of onList.
func (s *listScanner) feed(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(data) > 0 {
		var err error
		if len(s.pending) == 0 {
			data, err = s.scanBetweenLists(data)
		} else {
			data, err = s.scanList(data)
		}
		if err != nil {
			return err
		}
	}
	if len(s.pending) > 0 && s.partialTimer == nil {
		s.partialTimer = time.AfterFunc(partialListDelay, s.reportOverdue)
	}
	return nil
}

// scanBetweenLists scans bytes between two lists, up to and including the first byte of a list.
func (s *listScanner) scanBetweenLists(data []byte) (rest []byte, err error) {
	for i, b := range data {
		switch b {
		case '\n':
			s.onBlankLine()
		case ' ', '\t', '\r':
		case '{':
			s.firstByteAt = time.Now()
			s.pending, s.depth = append(s.pending, b), 1
			return data[i+1:], nil
		default:
			return nil, errMalformedList
		}
	}
	return nil, nil
}

// scanList scans bytes of the unfinished list, up to and including its last byte.
func (s *listScanner) scanList(data []byte) (rest []byte, err error) {
	for i, b := range data {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString && b == '\\':
			s.escaped = true
		case b == '"':
			s.inString = !s.inString
		case s.inString && b == '\n':
			return nil, errMalformedList
		case s.inString:
		case b == '{' || b == '[':
			s.depth++
		case b == '}' || b == ']':
			s.depth--
		}
		if s.depth == 0 {
			return s.finishList(data[:i+1], data[i+1:])
		}
	}
	if len(s.pending)+len(data) > maxListBytes {
		return nil, errListTooLong
	}
	s.pending = append(s.pending, data...)
	return nil, nil
}

// finishList hands the list that ends with tail to onList. Only blanks may follow it on the same line.
func (s *listScanner) finishList(tail, rest []byte) ([]byte, error) {
	if next := bytes.TrimLeft(rest, " \t\r"); len(next) > 0 && next[0] != '\n' {
		return nil, errMalformedList
	}
	if len(s.pending)+len(tail) > maxListBytes {
		return nil, errListTooLong
	}
	err := s.onList(append(s.pending, tail...))
	s.reset()
	return rest, err
}

func (s *listScanner) reset() {
	s.pending, s.depth, s.inString, s.escaped, s.reportedBytes = s.pending[:0], 0, false, false, 0
	if s.partialTimer != nil {
		s.partialTimer.Stop()
		s.partialTimer = nil
	}
}

// reportOverdue is called by the timer: it reports the received part of an overdue list, and restarts
// the timer to report the bytes that arrive later.
func (s *listScanner) reportOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partialTimer == nil || len(s.pending) == 0 || time.Since(s.firstByteAt) < partialListDelay {
		return // the list was completed while the timer fired
	}
	s.reportGrowth()
	s.partialTimer.Reset(partialListDelay)
}

// reportGrowth reports the received part of the list if it has grown since the last report.
func (s *listScanner) reportGrowth() {
	if len(s.pending) > s.reportedBytes {
		s.reportedBytes = len(s.pending)
		s.onPartial(s.pending, s.firstByteAt)
	}
}

// close ends the scan and returns err, the reason why the response ended. If a list is unfinished, close
// reports the received part first and returns an *IncompleteError that wraps err.
func (s *listScanner) close(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return err
	}
	s.reportGrowth()
	err = &IncompleteError{Pending: len(s.pending), Age: time.Since(s.firstByteAt), Err: err}
	s.reset()
	return err
}
