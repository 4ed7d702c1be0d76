package main

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Before an attempt begins, the agent asks the operating system whether the client is still connected.
// A permanent error means that it is not; after a temporary error the request is served.
func TestClientConnectionIsChecked(t *testing.T) {
	for errno, served := range map[string]bool{"EINTR": true, "ENOMEM": true, "ENOBUFS": true,
		"ETIMEDOUT": false, "EHOSTUNREACH": false} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			addr, received := recordingServer(t)
			listen := freeAddr(t)
			p := startFaulty(t, "recvfrom:"+errno, programConfig(listen, "127.0.0.1:1", addr, 1024), false)
			waitReady(t, listen, p.stderr)
			p.setFaults(true)
			status, _ := postKey(listen, "u1", "1000m")
			if n, _ := received.countAfter(time.Time{}); (n == 1) != served || n > 1 || (status == http.StatusOK) != served {
				t.Errorf("answered %d after %d attempts; stderr: %s", status, n, p.stderr)
			}
			p.requireRunning()
			if text := p.stderr.String(); strings.Contains(text, "panic") {
				t.Error(text)
			}
		})
	}
}
