package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A configuration that is unreadable or incomplete when the signal arrives is read again until it
// is valid.
func TestReconfigureWhileReadsFail(t *testing.T) {
	for _, fault := range []string{"openat:ENFILE", "openat:EIO", "truncated file"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			requests := make(chan struct{}, 10)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests <- struct{}{}
				<-r.Context().Done()
			}))
			t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
			listen, server := freeAddr(t), okServer(t)
			injected := fault
			if fault == "truncated file" {
				injected = "openat:EIO"
			}
			p := startFaulty(t, injected, programConfig(listen, "127.0.0.1:1", server, 1024), false)
			waitReady(t, listen, p.stderr)
			newConfig := programConfig(listen, discovery.Listener.Addr().String(), server, 1024)
			writeConfig := func(text string) {
				if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if fault == "truncated file" {
				writeConfig(newConfig[:len(newConfig)/2])
			} else {
				writeConfig(newConfig)
				p.setFaults(true)
			}
			if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			p.setFaults(false)
			writeConfig(newConfig)
			select {
			case <-requests:
			case <-time.After(2 * time.Second):
				t.Errorf("discovery was not called at its new address; stderr: %s", p.stderr)
			}
			p.requireRunning()
		})
	}
}

// Guards against a shutdown in which reloads are ignored, or cost an answer: requests that a client sent at once before
// SIGTERM are all answered, while the configuration is read again and discovery is called at its new address.
func TestReloadsDuringAShutdown(t *testing.T) {
	const count, serviceTime = 4, 300 * time.Millisecond
	called := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	server := rawConnServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			time.Sleep(serviceTime)
			_, _ = io.WriteString(c, shortAnswer)
		}
	})
	p := startFlooded(t, memoryLimits{32, 256}, server)
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range count {
		_, _ = io.WriteString(c, callHead("look", fmt.Sprint("r", i), "", 0))
	}
	time.Sleep(serviceTime / 2)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(serviceTime / 2)
	reloadProgram(t, p.cmd, p.configPath, strings.Replace(p.config, "127.0.0.1:1", discovery.Listener.Addr().String(), 1))
	r := bufio.NewReader(c)
	for i := range count {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d of %d: %v", i, count, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d of %d: %d, %v", i, count, resp.StatusCode, err)
		}
	}
	if len(called) == 0 {
		t.Errorf("discovery was not called at its new address; stderr: %s", p.stderr)
	}
}
