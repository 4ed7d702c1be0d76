package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"knotrouter/policy"
)

// chunkedDone is the body "done" in the chunked coding.
const chunkedDone = "4\r\ndone\r\n0\r\n\r\n"

// framingCases are responses, and whether RFC 9112 allows their framing (sections 5.1, 5.2, 6.1 to 6.3 and 7.1; RFC
// 9110, sections 6.5.1 and 8.6). The body of each allowed one is "done".
var framingCases = []struct {
	name, response string
	allowed        bool
}{
	// Version.
	{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone", true},
	{"HTTP/1.0 to the end of the connection", "HTTP/1.0 200 OK\r\n\r\ndone", true},
	{"HTTP/1.0 with a coding", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedDone, false},
	{"HTTP/1.0 with a coding and a length", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunkedDone, false},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ndone", false},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\ndone", false},
	// Coding.
	{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedDone, true},
	{"chunked in capitals", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: CHUNKED\r\n\r\n" + chunkedDone, true},
	{"chunked twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n" + chunkedDone, false},
	{"chunked in two fields", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedDone, false},
	{"an unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone", false},
	{"the coding identity", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\ndone", false},
	{"an empty coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\ndone", false},
	{"a chunk without a size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\ndone\r\n0\r\n\r\n", false},
	{"a chunk size with a sign", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\ndone\r\n0\r\n\r\n", false},
	{"a chunk longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndone\r\n0\r\n\r\n", false},
	{"a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\ndone\r\n0\r\n\r\n", true},
	// Length.
	{"an empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\ndone", false},
	{"a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ndone", false},
	{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", false},
	{"a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\ndone", false},
	{"a length that is too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\ndone", false},
	{"a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n\r\ndone", false},
	{"a length and a coding", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedDone, false},
	{"a length above the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone", false},
	{"a length below the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ndone", false},
	// Blanks.
	{"blanks around a length", "HTTP/1.1 200 OK\r\nContent-Length: \t 4 \t\r\n\r\ndone", true},
	{"a blank before the colon of a coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunkedDone, false},
	{"a tab before the colon of a coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding\t: chunked\r\n\r\n" + chunkedDone, false},
	{"many blanks before the colon of a coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding" + strings.Repeat(" ", 2*maxLinePrefix) + ": chunked\r\n\r\n" + chunkedDone, false},
	{"a blank before the colon of a length", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\ndone", false},
	{"a blank before the colon of another field", "HTTP/1.1 200 OK\r\nX-Note : y\r\nContent-Length: 4\r\n\r\ndone", true},
	{"a blank before the first field", "HTTP/1.1 200 OK\r\n Transfer-Encoding: chunked\r\n\r\n" + chunkedDone, false},
	{"a length that is continued", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4\r\n\r\ndone", false},
	{"another field that is continued", "HTTP/1.1 200 OK\r\nX-Note: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\ndone", true},
	{"two blanks in the status line", "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\ndone", true},
	// Repeats.
	{"two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", true},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", false},
	{"two responses", okAnswer + okAnswer, false},
	// Trailers.
	{"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note: y\r\n\r\n", true},
	{"a length in the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nContent-Length: 4\r\n\r\n", false},
	{"a coding in the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nTransfer-Encoding : chunked\r\n\r\n", false},
	{"a trailer without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note: y\r\n", false},
	// Interim responses.
	{"an interim response", "HTTP/1.1 103 Hints\r\nX-Note: y\r\n\r\n" + okAnswer, true},
	{"an interim response with a length", "HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\n" + okAnswer, false},
	{"an interim response with a coding", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + okAnswer, false},
	{"an interim response with a coding after a blank", "HTTP/1.1 100 Continue\r\nTransfer-Encoding : chunked\r\n\r\n" + okAnswer, false},
	{"an interim response of HTTP/2.0", "HTTP/2.0 100 Continue\r\n\r\n" + okAnswer, false},
	{"a coding of HTTP/1.0 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedDone, false},
	{"two blanks in the status line of an interim response", "HTTP/1.1  103 Hints\r\n\r\n" + okAnswer, true},
}

// Guards against an answer that is made from a response whose framing HTTP/1.1 does not allow, such as the frame of a
// transfer coding served as the body: on a new connection and on one that has carried a response, such a response is
// a failed attempt that may have been executed.
func TestFramingThatIsNotAllowedFailsTheAttempt(t *testing.T) {
	for _, c := range framingCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, reused := range []bool{false, true} {
				checkFraming(t, c.response, c.allowed, reused)
			}
		})
	}
}

// checkFraming makes an attempt that is answered with the response, on a connection that has carried a response before
// if reused is true, and checks whether it is served.
func checkFraming(t *testing.T, response string, allowed, reused bool) {
	t.Helper()
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if reused {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
		if _, err := readRequest(r); err == nil {
			io.WriteString(c, response)
		}
	})
	tr := newDialer().newTransport()
	defer tr.CloseIdleConnections()
	if reused {
		if res := newAttempt(tr, addr, http.MethodPost, noTimeout).run(); res.status != policy.OK {
			t.Fatalf("first response on the connection: status %d, %v", res.status, res.err)
		}
	}
	res := newAttempt(tr, addr, http.MethodPost, noTimeout).run()
	switch {
	case allowed && (res.status != policy.OK || string(res.body) != "done"):
		t.Errorf("reused %v: status %d, body %q, %v, want it served", reused, res.status, res.body, res.err)
	case !allowed && res.status != policy.Reset:
		t.Errorf("reused %v: status %d, body %q, want a failed attempt that may have been executed", reused, res.status, res.body)
	}
}
