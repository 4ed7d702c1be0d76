package agent

import (
	"bytes"
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
