package agent

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// longestName is how much of a line is kept to know its field by.
const longestName = len("transfer-encoding:")

// head notes which of the fields that tell a body's length stand in the head of the
// request at hand. Where there are two, net/http goes by one and hides the other, and
// what it takes for the next request another reader takes for a part of the body.
type head struct {
	mu             sync.Mutex // net/http may read on while the handler runs
	line           []byte     // the start of the line at hand
	ended          bool
	length, coding bool // Content-Length, Transfer-Encoding
}

// scan takes the bytes that the connection reads next; those behind the head pass.
func (h *head) scan(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(p) > 0 && !h.ended {
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part[:min(len(part), longestName-len(h.line))]...)
		if !whole {
			return
		}
		name, _, _ := strings.Cut(string(h.line), ":")
		h.length = h.length || strings.EqualFold(name, "Content-Length")
		h.coding = h.coding || strings.EqualFold(name, "Transfer-Encoding")
		h.ended = name == "" || name == "\r"
		h.line, p = h.line[:0], rest
	}
}

// ambiguous tells whether the body's end can be read in two ways: by its length and by
// its coding, or by a coding that a version before 1.1 does not know.
func (h *head) ambiguous(http11 bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coding && (h.length || !http11)
}

// reset makes ready for the next request's head.
func (h *head) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line, h.ended, h.length, h.coding = h.line[:0], false, false, false
}

// maxLine is how much of a line of an answer's head is kept: enough for what is read of it.
const maxLine = 64

// framing follows where the answer on a backend's connection ends, to notice bytes behind
// it. net/http leaves those in its buffer, and where the next request is quick they are
// taken for its answer.
type framing struct {
	mu sync.Mutex
	answerEnd
	over bool // bytes came behind the end, or before there was a request
}

// answerEnd is how far an answer has come.
type answerEnd struct {
	line     []byte // of the head or between chunks, as far as it has come
	part     part   // of the answer that the line belongs to
	started  bool   // the status line has come
	interim  bool   // the head is of a 1xx answer: another follows
	bodyless bool   // the status allows no body
	sized    bool   // the head tells the body's length,
	length   int    // which is this,
	coded    bool   // and that the body tells it
	ended    bool   // no line follows
	open     bool   // the end is the connection's
	left     int    // bytes of the body or the chunk to come
}

// part is what the lines of an answer may belong to.
type part uint8

const (
	inHead part = iota
	inSizes
	inTrailer
)

// begin makes ready for the answer to the next request; not if bytes came unasked.
func (f *framing) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerEnd = answerEnd{line: f.line[:0]}
	return !f.over
}

// scan takes the bytes that the connection reads next, and returns how many are the answer's.
func (f *framing) scan(p []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := len(p)
	for len(p) > 0 && !f.open {
		switch {
		case f.left > 0:
			n := min(len(p), f.left)
			f.left -= n
			p = p[n:]
		case f.ended:
			f.over = true
			return all - len(p)
		default:
			text, rest, whole := bytes.Cut(p, []byte("\n"))
			f.line = append(f.line, text[:min(len(text), maxLine-len(f.line))]...)
			if !whole {
				return all
			}
			line := strings.TrimSuffix(string(f.line), "\r")
			f.line, p = f.line[:0], rest
			f.take(line)
		}
	}
	return all
}

// take takes one line of the answer. What makes no sense net/http refuses.
func (f *framing) take(line string) {
	switch f.part {
	case inHead:
		f.head(line)
	case inSizes:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		switch {
		case err != nil:
			f.over, f.ended = true, true
		case n == 0:
			f.part = inTrailer
		default:
			f.left = int(n) + len("\r\n")
		}
	case inTrailer:
		f.ended = line == ""
	}
}

// head takes one line of the head. What makes no sense net/http refuses.
func (f *framing) head(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case !f.started:
		_, status, _ := strings.Cut(line, " ")
		f.started, f.interim = true, strings.HasPrefix(status, "1")
		f.bodyless = strings.HasPrefix(status, "204") || strings.HasPrefix(status, "304")
	case line == "" && f.interim:
		f.answerEnd = answerEnd{}
	case line == "":
		f.over = f.over || f.sized && f.coded // its end can be read in two ways
		if f.coded && !f.bodyless {
			f.part = inSizes
			return
		}
		f.ended = true
		f.open = !f.sized && !f.bodyless
		if f.sized && !f.bodyless {
			f.left = f.length
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.coded = true
	case strings.EqualFold(name, "Content-Length"):
		n, _ := strconv.Atoi(strings.TrimSpace(value))
		f.length, f.sized = max(n, 0), true
	}
}

// surplus tells whether more came than the answer, or its end is in doubt.
func (f *framing) surplus() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over
}
