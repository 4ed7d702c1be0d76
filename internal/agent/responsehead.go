package agent

import (
	"strconv"
	"strings"
)

// This file has the part of responseFraming that parses the head of a response.

// parseHeadLine parses one line of the head. It leaves the rejection of malformed lines to net/http.
func (f *responseFraming) parseHeadLine(line string) {
	switch {
	case !f.statusSeen:
		f.parseStatusLine(line)
	case line == "":
		f.endHead()
	default:
		f.parseField(line)
	}
}

// parseStatusLine parses the status line. Blanks before the status are skipped, as net/http does.
func (f *responseFraming) parseStatusLine(line string) {
	f.statusSeen = true
	version, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	f.malformed = !strings.HasPrefix(version, "HTTP/")
	f.violated = f.violated || !f.malformed && !strings.HasPrefix(version, "HTTP/1.")
	f.http10 = version == "HTTP/1.0"
	f.interim = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
	f.noContent = strings.HasPrefix(status, "204")
	f.bodyless = f.noContent || strings.HasPrefix(status, "304")
}

// parseField parses a line of the head that is neither the first nor the last. net/http takes a name with blanks
// before its colon for another field, and a line that begins with a blank for more of the field before it.
func (f *responseFraming) parseField(line string) {
	name, value, isField := strings.Cut(line, ":")
	if line[0] == ' ' || line[0] == '\t' {
		f.violated = f.violated || f.framingField
		return
	}
	if !isField && len(line) < maxLinePrefix {
		f.malformed = true
		return
	}
	bare := strings.TrimRight(name, " \t")
	f.framingField = isFramingField(bare)
	if !f.framingField {
		return
	}
	f.violated = f.violated || bare != name || !isField
	if !strings.EqualFold(bare, "Content-Length") {
		f.chunked = true
		return
	}
	length, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 31)
	repeated := f.hasLength && int(length) != f.length
	f.violated = f.violated || err != nil || repeated
	f.length, f.hasLength = int(length), true
}

// isFramingField reports whether a header field says where the body ends.
func isFramingField(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
}

// endHead is called at the end of a head. A head whose fields don't say in one way where the response ends, or say so
// in a way that its version or its status doesn't allow, is a violation (RFC 9112, sections 6.1 to 6.3).
func (f *responseFraming) endHead() {
	contradictory := f.hasLength && f.chunked
	notAllowed := f.chunked && f.http10 || (f.interim || f.noContent) && (f.hasLength || f.chunked)
	f.violated = f.violated || contradictory || notAllowed
	switch {
	case f.interim:
		f.framingState = framingState{}
	case f.bodyless:
		f.complete = true
	case f.chunked:
		f.section = sectionChunkSize
	default:
		f.complete, f.untilClose = true, !f.hasLength
		f.remaining = f.length
	}
}
