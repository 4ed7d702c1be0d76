package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A second response that arrives some milliseconds after the first is not taken for the response to the next request
// on the connection.
func TestLateSecondAnswerIsNotServed(t *testing.T) {
	const delay = 5 * time.Millisecond
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		io.WriteString(c, okAnswer)
		time.Sleep(delay)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		if _, err := readRequest(r); err == nil {
			time.Sleep(delay)
			io.WriteString(c, okAnswer)
		}
	})
	_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
	for i := range 2 {
		if status, body, _ := send(t, newCall(base, "order")); status == http.StatusOK && body == "stray" {
			t.Fatalf("request %d was answered with the second response to another request", i)
		}
	}
}
