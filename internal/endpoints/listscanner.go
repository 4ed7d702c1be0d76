package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// partialListDelay is how long a list may stand unfinished before its reader is given the part that has
// come: what the service has written counts as told (PROTOCOL, "The rules on sockets"), and the
// grace after that is half a second.
const partialListDelay = 100 * time.Millisecond

var errMalformedList = errors.New("no list")

// IncompleteError reports that an answer ended in the midst of a list.
type IncompleteError struct {
	Pending int           // bytes of the list that had come
	Age     time.Duration // since the first of them
	Err     error         // why the answer ended
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%d bytes into a list: %v", e.Pending, e.Err)
}

func (e *IncompleteError) Unwrap() error { return e.Err }

// listScanner cuts what a watch writes into lists as it comes. A list ends with its last brace, whether
// or not its line does; it may be written indented. A part that stays unfinished is reported.
type listScanner struct {
	onList      func(text []byte) error            // is given each list
	onBlankLine func()                             // is told of each line without one
	onPartial   func(text []byte, since time.Time) // is given what has come of an unfinished one

	mu            sync.Mutex // the timer's and the reader's
	pending       []byte     // of the list at hand; empty: none
	depth         int        // of braces and brackets
	inString      bool       // in a string
	escaped       bool       // behind a backslash in one
	firstByteAt   time.Time  // when the first byte of the list came
	reportedBytes int        // how much of it was reported
	partialTimer  *time.Timer
}

// feed takes the next bytes. An error means that what came is no list, or is what whole returned.
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

// scanBetweenLists takes bytes scanBetweenLists two lists, up to the first byte of one.
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

// scanList takes bytes of the list at hand, up to its last one.
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

// finishList hands on the list that ends with last; what follows on its line has to be blank.
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

// reportOverdue gives the part that has come since the last reportOverdue, and looks again later.
func (s *listScanner) reportOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partialTimer == nil || len(s.pending) == 0 || time.Since(s.firstByteAt) < partialListDelay {
		return // it was finished meanwhile
	}
	s.reportGrowth()
	s.partialTimer.Reset(partialListDelay)
}

func (s *listScanner) reportGrowth() {
	if len(s.pending) > s.reportedBytes {
		s.reportedBytes = len(s.pending)
		s.onPartial(s.pending, s.firstByteAt)
	}
}

// close tells that no more comes, for the reason err. Where it ends in the midst of a list, the part
// is reported and the error is an *IncompleteError.
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

// parsePartialList reads as much of a list as the beginning of its text tells: the entries that are whole
// and can be used, and the version, which is 0 where it isn't known.
func parsePartialList(text []byte) (list List) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return list
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return list
		}
		switch key {
		case "seq":
			if decoder.Decode(&list.Seq) != nil || decoder.InputOffset() >= int64(len(text)) {
				list.Seq = 0 // further digits may follow
				return list
			}
		case "whole":
			err = decoder.Decode(&list.Full)
		case "hosts":
			list.Endpoints, err = parsePartialEndpoints(decoder)
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return list
		}
	}
	return list
}

// parsePartialEndpoints reads entries up to the end of their array or an error, and returns those read.
func parsePartialEndpoints(decoder *json.Decoder) (endpoints []Endpoint, err error) {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, errMalformedList
	}
	for decoder.More() {
		var endpoint Endpoint
		if err := decoder.Decode(&endpoint); err != nil {
			return endpoints, err
		}
		if endpoint.Readable() == nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	_, err = decoder.Token()
	return endpoints, err
}
