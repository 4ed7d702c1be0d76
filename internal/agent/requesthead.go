package agent

import (
	"bytes"
	"strings"
	"sync"
)

// maxFieldName is how much of a line is kept to know its field by.
const maxFieldName = len("transfer-encoding:")

// requestHead notes which of the fields that tell a body's length stand in the requestHead of the
// request at hand. Where there are two, net/http goes by one and hides the other, and
// what it takes for the next request another reader takes for a part of the body.
type requestHead struct {
	mu                                    sync.Mutex // net/http may read on while the handler runs
	line                                  []byte     // the start of the line at hand
	ended                                 bool
	hasContentLength, hasTransferEncoding bool // Content-Length, Transfer-Encoding
}

// scan takes the bytes that the connection reads next; those behind the head pass.
func (h *requestHead) scan(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(p) > 0 && !h.ended {
		part, rest, lineComplete := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part[:min(len(part), maxFieldName-len(h.line))]...)
		if !lineComplete {
			return
		}
		name, _, _ := strings.Cut(string(h.line), ":")
		h.hasContentLength = h.hasContentLength || strings.EqualFold(name, "Content-Length")
		h.hasTransferEncoding = h.hasTransferEncoding || strings.EqualFold(name, "Transfer-Encoding")
		h.ended = name == "" || name == "\r"
		h.line, p = h.line[:0], rest
	}
}

// ambiguous tells whether the body's end can be read in two ways: by its length and by
// its coding, or by a coding that a version before 1.1 does not know.
func (h *requestHead) ambiguous(http11 bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasTransferEncoding && (h.hasContentLength || !http11)
}

// reset makes ready for the next request's head.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line, h.ended, h.hasContentLength, h.hasTransferEncoding = h.line[:0], false, false, false
}
