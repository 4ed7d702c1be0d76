package agent

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// maxLinePrefix is how much of a line of an answer's head is kept: enough for what is read of it.
const maxLinePrefix = 64

// responseFraming follows where the answer on a backend's connection ends, to notice bytes behind
// it. net/http leaves those in its buffer, and where the next request is quick they are
// taken for its answer.
type responseFraming struct {
	mu sync.Mutex
	framingState
	violated bool // bytes came behind the end, or before there was a request
}

// framingState is how far an answer has come.
type framingState struct {
	line       []byte  // of the head or between chunks, as far as it has come
	section    section // of the answer that the line belongs to
	statusSeen bool    // the status line has come
	interim    bool    // the head is of a 1xx answer: another follows
	bodyless   bool    // the status allows no body
	hasLength  bool    // the head tells the body's length,
	length     int     // which is this,
	chunked    bool    // and that the body tells it
	complete   bool    // no line follows
	untilClose bool    // the end is the connection's
	remaining  int     // bytes of the body or the chunk to come
}

// section is what the lines of an answer may belong to.
type section uint8

const (
	sectionHead section = iota
	sectionChunkSize
	sectionTrailer
)

// beginResponse makes ready for the answer to the next request; not if bytes came unasked.
func (f *responseFraming) beginResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.framingState = framingState{line: f.line[:0]}
	return !f.violated
}

// scan takes the bytes that the connection reads next, and returns how many are the answer's.
func (f *responseFraming) scan(p []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := len(p)
	for len(p) > 0 && !f.untilClose {
		switch {
		case f.remaining > 0:
			n := min(len(p), f.remaining)
			f.remaining -= n
			p = p[n:]
		case f.complete:
			f.violated = true
			return total - len(p)
		default:
			text, rest, lineComplete := bytes.Cut(p, []byte("\n"))
			f.line = append(f.line, text[:min(len(text), maxLinePrefix-len(f.line))]...)
			if !lineComplete {
				return total
			}
			line := strings.TrimSuffix(string(f.line), "\r")
			f.line, p = f.line[:0], rest
			f.acceptLine(line)
		}
	}
	return total
}

// acceptLine takes one line of the answer. What makes no sense net/http refuses.
func (f *responseFraming) acceptLine(line string) {
	switch f.section {
	case sectionHead:
		f.acceptHeadLine(line)
	case sectionChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		switch {
		case err != nil:
			f.violated, f.complete = true, true
		case n == 0:
			f.section = sectionTrailer
		default:
			f.remaining = int(n) + len("\r\n")
		}
	case sectionTrailer:
		f.complete = line == ""
	}
}

// acceptHeadLine takes one line of the acceptHeadLine. What makes no sense net/http refuses.
func (f *responseFraming) acceptHeadLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case !f.statusSeen:
		_, status, _ := strings.Cut(line, " ")
		f.statusSeen, f.interim = true, strings.HasPrefix(status, "1")
		f.bodyless = strings.HasPrefix(status, "204") || strings.HasPrefix(status, "304")
	case line == "" && f.interim:
		f.framingState = framingState{}
	case line == "":
		f.violated = f.violated || f.hasLength && f.chunked // its end can be read in two ways
		if f.chunked && !f.bodyless {
			f.section = sectionChunkSize
			return
		}
		f.complete = true
		f.untilClose = !f.hasLength && !f.bodyless
		if f.hasLength && !f.bodyless {
			f.remaining = f.length
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	case strings.EqualFold(name, "Content-Length"):
		n, _ := strconv.Atoi(strings.TrimSpace(value))
		f.length, f.hasLength = max(n, 0), true
	}
}

// hasTrailingBytes tells whether more came than the answer, or its end is in doubt.
func (f *responseFraming) hasTrailingBytes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violated
}
