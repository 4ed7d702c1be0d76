package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// getRequest returns the text of a request of the class schedule-read.
func getRequest(id string, timeout time.Duration) string {
	return fmt.Sprintf("GET /schedule-read/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n\r\n",
		id, id, timeout.Milliseconds())
}

// readAnswer reads one answer and returns its status and body.
func readAnswer(r *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// ask sends one request on a new connection and reads its answer. It reports whether the request was taken:
// its last byte was written to a connection that the agent's machine had accepted.
func ask(addr, text string, wait time.Duration) (taken bool, status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false, 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, text); err != nil {
		return false, 0, "", err
	}
	status, body, err = readAnswer(bufio.NewReader(conn))
	return true, status, body, err
}
