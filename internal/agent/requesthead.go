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
//
// requestHead also measures the head. Bytes that net/http has read together with the previous request are not
// counted. If the scan takes an earlier line for the end of the head, overrun counts what is read after it.
type requestHead struct {
	mu                                    sync.Mutex // net/http may read while the handler runs
	firstLineEnded                        bool
	line                                  []byte // the prefix of the current line
	ended                                 bool
	hasContentLength, hasTransferEncoding bool // the fields that were seen
	size                                  headSize
}

// scan reads the next bytes of the connection and returns how many of them belong to the head; those after it
// are ignored.
func (h *requestHead) scan(p []byte) (headBytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := len(p)
	for len(p) > 0 && !h.ended {
		part, rest, lineComplete := bytes.Cut(p, []byte("\n"))
		h.size.bytes += len(p) - len(rest)
		h.line = append(h.line, part[:min(len(part), maxFieldName-len(h.line))]...)
		if !lineComplete {
			return total
		}
		name, _, _ := strings.Cut(string(h.line), ":")
		if h.firstLineEnded {
			h.hasContentLength = h.hasContentLength || strings.EqualFold(name, "Content-Length")
			h.hasTransferEncoding = h.hasTransferEncoding || strings.EqualFold(name, "Transfer-Encoding")
		}
		h.size.lines++
		h.firstLineEnded = true
		h.ended = name == "" || name == "\r"
		h.line, p = h.line[:0], rest
	}
	return total - len(p)
}

// ambiguous reports whether the end of the body can be read in two ways: both length and transfer
// coding are set, or a coding is used with a version before HTTP/1.1.
func (h *requestHead) ambiguous(http11 bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasTransferEncoding && (h.hasContentLength || !http11)
}

// measure returns the size of what was scanned of the head, and whether the head has ended.
func (h *requestHead) measure() (size headSize, ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size, h.ended
}

// overrun counts bytes that net/http reads as a part of the head although the scan has seen its end.
func (h *requestHead) overrun(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.size.bytes += len(p)
	h.size.lines += bytes.Count(p, []byte("\n"))
}

// reset prepares for the head of the next request.
func (h *requestHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.firstLineEnded = false
	h.line, h.ended, h.hasContentLength, h.hasTransferEncoding = h.line[:0], false, false, false
	h.size = headSize{}
}
