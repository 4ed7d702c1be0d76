package agent

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// maxLinePrefix is how many bytes of a line of a response's head are kept: enough for the parts that
// are parsed.
const maxLinePrefix = 64

// responseFraming tracks where the response on a backend's connection ends, in order to detect
// bytes after it. net/http leaves such bytes in its buffer and, if the next request follows
// quickly, takes them for its response.
type responseFraming struct {
	mu sync.Mutex
	framingState
	headSize         headSize // of the heads of the response, including those of interim responses
	violated         bool     // bytes arrived after the end or before a request, or HTTP/1.1 doesn't allow the framing
	responseExpected bool     // a response has been expected before
	unsolicited      bool     // bytes arrived after the end of a response
}

// framingState is the parser's progress in a response.
type framingState struct {
	line       []byte  // the received prefix of the current line
	section    section // part of the response that the line belongs to
	statusSeen bool    // the status line was parsed
	malformed  bool    // a line is not one of a head: net/http ends the response at it
	http10     bool    // the response's version is HTTP/1.0
	interim    bool    // the head is of a 1xx response: another head follows
	noContent  bool    // the status is 204
	bodyless   bool    // the status allows no body
	hasLength  bool    // the head has a Content-Length
	length     int     // the value of Content-Length
	chunked    bool    // the head has a Transfer-Encoding
	complete   bool    // all lines are parsed; only bytes of the body may follow
	untilClose bool    // the body ends with the connection
	remaining  int     // bytes of the body or chunk still to come
	// framingField says that the last field was one that says where the body ends.
	framingField bool
}

// section is the part of a response that a line belongs to.
type section uint8

const (
	sectionHead section = iota
	sectionChunkSize
	sectionTrailer
)

// beginResponse prepares for the response to the next request. It returns false if bytes arrived
// without a request.
func (f *responseFraming) beginResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.framingState, f.responseExpected = framingState{line: f.line[:0]}, true
	f.headSize = headSize{}
	return !f.violated
}

// cancelResponse reverts beginResponse if no request was written.
func (f *responseFraming) cancelResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = true
}

// scan reads the next bytes of the connection and returns how many of them belong to the response.
func (f *responseFraming) scan(p []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scanLocked(p)
}

// receive calls read and scans the bytes that it read. Both happen under the lock, so that beginResponse
// runs either before or after both. It returns how many bytes were read, and how many of them belong to
// the response.
func (f *responseFraming) receive(p []byte, read func([]byte) (int, error)) (n, accepted int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err = read(p)
	return n, f.scanLocked(p[:n]), err
}

// scanLocked is scan for a caller that holds the lock.
func (f *responseFraming) scanLocked(p []byte) int {
	total := len(p)
	for len(p) > 0 && !f.untilClose {
		switch {
		case f.remaining > 0:
			n := min(len(p), f.remaining)
			f.remaining -= n
			p = p[n:]
		case f.complete:
			f.violated, f.unsolicited = true, f.responseExpected
			return total - len(p)
		default:
			text, rest, lineComplete := bytes.Cut(p, []byte("\n"))
			f.measureLine(len(p)-len(rest), lineComplete)
			f.line = append(f.line, text[:min(len(text), maxLinePrefix-len(f.line))]...)
			if !lineComplete {
				return total
			}
			line := strings.TrimSuffix(string(f.line), "\r")
			f.line, p = f.line[:0], rest
			f.parseLine(line)
		}
	}
	return total
}

// measureLine adds bytes of a line to the size of the head, if the line belongs to one. The lock must be held.
func (f *responseFraming) measureLine(size int, lineComplete bool) {
	if f.section != sectionHead {
		return
	}
	f.headSize.bytes += size
	if lineComplete {
		f.headSize.lines++
	}
}

// measureHead returns the size of what was scanned of the response's head, and whether more of it has to be waited
// for.
func (f *responseFraming) measureHead() (size headSize, incomplete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headSize, f.section == sectionHead && !f.complete && !f.malformed
}

// parseLine parses one line of the response. It leaves the rejection of malformed lines to net/http.
func (f *responseFraming) parseLine(line string) {
	switch f.section {
	case sectionHead:
		f.parseHeadLine(line)
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
		name, _, _ := strings.Cut(line, ":")
		f.violated = f.violated || isFramingField(strings.TrimRight(name, " \t"))
		f.complete = line == ""
	}
}

// hasTrailingBytes reports whether bytes arrived after the response, or HTTP/1.1 doesn't allow its framing.
func (f *responseFraming) hasTrailingBytes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violated
}

// hasUnsolicited reports whether bytes arrived after the end of a response. Bytes on a connection that
// has carried no request don't count: they can't be a second response to a request.
func (f *responseFraming) hasUnsolicited() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unsolicited
}
