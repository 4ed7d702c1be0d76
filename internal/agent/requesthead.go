package agent

import (
	"bytes"
	"strings"
	"sync"
)

// maxFieldName is how many bytes of a header line are kept: enough to recognize the fields of
// interest.
const maxFieldName = len("transfer-encoding:")

// requestHead detects which header fields that define the body's length occur in the current
// request. If both occur, net/http uses one and hides the other, and another parser could treat bytes
// that net/http reads as the next request as a part of the body (request smuggling).
//
// net/http may have read the beginning of a pipelined request together with the previous one. Then the
// first line that is scanned may be the end of a header line. The first line is always ignored, because it
// usually is the request line.
type requestHead struct {
	mu                                    sync.Mutex // net/http may read while the handler runs
	firstLineEnded                        bool
	line                                  []byte // the prefix of the current line
	ended                                 bool
	hasContentLength, hasTransferEncoding bool // the fields that were seen
}

// scan reads the next bytes of the connection; bytes after the head are ignored.
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
		if h.firstLineEnded {
			h.hasContentLength = h.hasContentLength || strings.EqualFold(name, "Content-Length")
			h.hasTransferEncoding = h.hasTransferEncoding || strings.EqualFold(name, "Transfer-Encoding")
		}
		h.firstLineEnded = true
		h.ended = name == "" || name == "\r"
		h.line, p = h.line[:0], rest
	}
}

// ambiguous reports whether the end of the body can be read in two ways: both length and transfer
// coding are set, or a coding is used with a version before HTTP/1.1.
func (h *requestHead) ambiguous(http11 bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasTransferEncoding && (h.hasContentLength || !http11)
}

// reset prepares for the head of the next request.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstLineEnded = false
	h.line, h.ended, h.hasContentLength, h.hasTransferEncoding = h.line[:0], false, false, false
}
