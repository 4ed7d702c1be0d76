package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// partAfter is how long a list may stand unfinished before its reader is given the part that has
// come: what the service has written counts as told (PROTOCOL, "The rules on sockets"), and the
// grace after that is half a second.
const partAfter = 100 * time.Millisecond

var errNoList = errors.New("no list")

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

// stream cuts what a watch writes into lists as it comes. A list ends with its last brace, whether
// or not its line does; it may be written indented. A part that stays unfinished is reported.
type stream struct {
	whole func(text []byte) error            // is given each list
	blank func()                             // is told of each line without one
	part  func(text []byte, since time.Time) // is given what has come of an unfinished one

	mu       sync.Mutex // the timer's and the reader's
	text     []byte     // of the list at hand; empty: none
	depth    int        // of braces and brackets
	quoted   bool       // in a string
	escaped  bool       // behind a backslash in one
	since    time.Time  // when the first byte of the list came
	reported int        // how much of it was reported
	timer    *time.Timer
}

// feed takes the next bytes. An error means that what came is no list, or is what whole returned.
func (s *stream) feed(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(p) > 0 {
		var err error
		if len(s.text) == 0 {
			p, err = s.between(p)
		} else {
			p, err = s.within(p)
		}
		if err != nil {
			return err
		}
	}
	if len(s.text) > 0 && s.timer == nil {
		s.timer = time.AfterFunc(partAfter, s.report)
	}
	return nil
}

// between takes bytes between two lists, up to the first byte of one.
func (s *stream) between(p []byte) (rest []byte, err error) {
	for i, b := range p {
		switch b {
		case '\n':
			s.blank()
		case ' ', '\t', '\r':
		case '{':
			s.since = time.Now()
			s.text, s.depth = append(s.text, b), 1
			return p[i+1:], nil
		default:
			return nil, errNoList
		}
	}
	return nil, nil
}

// within takes bytes of the list at hand, up to its last one.
func (s *stream) within(p []byte) (rest []byte, err error) {
	for i, b := range p {
		switch {
		case s.escaped:
			s.escaped = false
		case s.quoted && b == '\\':
			s.escaped = true
		case b == '"':
			s.quoted = !s.quoted
		case s.quoted && b == '\n':
			return nil, errNoList
		case s.quoted:
		case b == '{' || b == '[':
			s.depth++
		case b == '}' || b == ']':
			s.depth--
		}
		if s.depth == 0 {
			return s.finish(p[:i+1], p[i+1:])
		}
	}
	if len(s.text)+len(p) > maxList {
		return nil, errLong
	}
	s.text = append(s.text, p...)
	return nil, nil
}

// finish hands on the list that ends with last; what follows on its line has to be blank.
func (s *stream) finish(last, rest []byte) ([]byte, error) {
	if next := bytes.TrimLeft(rest, " \t\r"); len(next) > 0 && next[0] != '\n' {
		return nil, errNoList
	}
	if len(s.text)+len(last) > maxList {
		return nil, errLong
	}
	err := s.whole(append(s.text, last...))
	s.reset()
	return rest, err
}

func (s *stream) reset() {
	s.text, s.depth, s.quoted, s.escaped, s.reported = s.text[:0], 0, false, false, 0
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// report gives the part that has come since the last report, and looks again later.
func (s *stream) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil || len(s.text) == 0 || time.Since(s.since) < partAfter {
		return // it was finished meanwhile
	}
	s.reportNow()
	s.timer.Reset(partAfter)
}

func (s *stream) reportNow() {
	if len(s.text) > s.reported {
		s.reported = len(s.text)
		s.part(s.text, s.since)
	}
}

// end tells that no more comes, for the reason err. Where it ends in the midst of a list, the part
// is reported and the error is an *IncompleteError.
func (s *stream) end(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.text) == 0 {
		return err
	}
	s.reportNow()
	err = &IncompleteError{Pending: len(s.text), Age: time.Since(s.since), Err: err}
	s.reset()
	return err
}

// parsePart reads as much of a list as the beginning of its text tells: the entries that are whole
// and can be used, and the version, which is 0 where it isn't known.
func parsePart(text []byte) (l List) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return l
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return l
		}
		switch key {
		case "seq":
			if dec.Decode(&l.Seq) != nil || dec.InputOffset() >= int64(len(text)) {
				l.Seq = 0 // further digits may follow
				return l
			}
		case "whole":
			err = dec.Decode(&l.Full)
		case "hosts":
			l.Endpoints, err = parseHosts(dec)
		default:
			err = dec.Decode(new(json.RawMessage))
		}
		if err != nil {
			return l
		}
	}
	return l
}

// parseHosts reads entries up to the end of their array or an error, and returns those read.
func parseHosts(dec *json.Decoder) (hosts []Endpoint, err error) {
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		return nil, errNoList
	}
	for dec.More() {
		var h Endpoint
		if err := dec.Decode(&h); err != nil {
			return hosts, err
		}
		if h.Readable() == nil {
			hosts = append(hosts, h)
		}
	}
	_, err = dec.Token()
	return hosts, err
}
