package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawListener starts a listener that reads the header of the first request on each connection and calls
// serve with it and the number of the connection. The connection is closed when serve returns.
func rawListener(t *testing.T, serve func(c *net.TCPConn, n int, r *http.Request)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), n, r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// rawServer starts a server that calls serve once it has read a complete request.
func rawServer(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	return rawListener(t, func(c *net.TCPConn, _ int, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			serve(c, r)
		}
	})
}

// postForBody sends one request and returns the response's status and body.
func postForBody(listen, timeout string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+listen+"/order/u1", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Request-Id", "u1")
	req.Header.Set("Request-Timeout", timeout)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// A response without a length ends with its connection: it is complete when the server closes the
// connection, and never if the connection is reset or stays open.
func TestResponseEndsWithItsConnection(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	const statusLine = "HTTP/1.1 200 OK\r\n"
	write := func(texts ...string) func(c *net.TCPConn, r *http.Request) {
		return func(c *net.TCPConn, _ *http.Request) {
			for i, text := range texts {
				if i > 0 {
					time.Sleep(50 * time.Millisecond)
				}
				_, _ = io.WriteString(c, text)
			}
		}
	}
	for name, c := range map[string]struct {
		serve    func(c *net.TCPConn, r *http.Request)
		wantBody string // the body of a response with status 200; "" if the request must not be served
	}{
		"closed":                       {write(statusLine + "\r\ndone"), "done"},
		"Connection: close":            {write(statusLine + "Connection: close\r\n\r\ndone"), "done"},
		"HTTP/1.0":                     {write("HTTP/1.0 200 OK\r\n\r\ndone"), "done"},
		"in pieces":                    {write(statusLine+"\r\nd", "on", "e"), "done"},
		"closed later":                 {write(statusLine+"\r\ndone", ""), "done"},
		"64 KiB":                       {write(statusLine + "\r\n" + long), long},
		"over 64 KiB":                  {write(statusLine + "\r\n" + long + "x"), ""},
		"incomplete header":            {write(statusLine + "Content-Ty"), ""},
		"closed before the length":     {write(statusLine + "Content-Length: 9\r\n\r\ndone"), ""},
		"closed before the last chunk": {write(statusLine + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), ""},
		"reset": {func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, statusLine+"\r\ndone")
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		}, ""},
		"reset at once": {func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, statusLine+"\r\ndone")
			_ = c.SetLinger(0)
		}, ""},
		"never closed": {func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, statusLine+"\r\ndone")
			time.Sleep(3 * time.Second)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listen := freeAddr(t)
			_, stderr := startProgram(t, programConfig(listen, "127.0.0.1:1", rawServer(t, c.serve), 1024))
			waitReady(t, listen, stderr)
			startedAt := time.Now()
			status, body, err := postForBody(listen, "1500m")
			took := time.Since(startedAt)
			if got := status == http.StatusOK; got != (c.wantBody != "") || got && (err != nil || body != c.wantBody) {
				t.Errorf("answered %d with %d bytes, %v, after %v; stderr: %s", status, len(body), err, took, stderr)
			}
			if err != nil || took > 1600*time.Millisecond {
				t.Errorf("no complete response in time: %v after %v", err, took)
			}
		})
	}
}

// If a server rejects a request with a response that has no length, and keeps the connection open, this
// delays neither the request nor its next attempt.
func TestRejectionWithoutALength(t *testing.T) {
	rejectingAddr := rawServer(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n\r\n")
		time.Sleep(3 * time.Second)
	})
	listen := freeAddr(t)
	_, stderr := startProgram(t, programConfig(listen, "127.0.0.1:1", rejectingAddr, 1024))
	waitReady(t, listen, stderr)
	startedAt := time.Now()
	status, err := postKey(listen, "u1", "2000m")
	if took := time.Since(startedAt); err != nil || status != http.StatusServiceUnavailable || took > time.Second {
		t.Errorf("answered %d, %v, after %v; stderr: %s", status, err, took, fmt.Sprint(stderr))
	}
}
