package main

import (
	"net/http"
	"net/http/httptest"
	"os"
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
