package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The program serves a request and ends on SIGTERM with exit code 0.
func TestProgramServesAndStopsOnSIGTERM(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "done ", r.URL.Path)
	}))
	defer backend.Close()
	listen := freeAddr(t)
	cmd, stderr := startProgram(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}}`,
		listen, settings, backend.Listener.Addr().String()))
	waitReady(t, listen, stderr)
	request := func() *http.Response {
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/order/u1", strings.NewReader("x"))
		req.Header.Set("Request-Id", "1")
		req.Header.Set("Request-Timeout", "30000m")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%v; stderr: %s", err, stderr)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d; stderr: %s", resp.StatusCode, stderr)
		}
		return resp
	}
	request()
	stopGracefully(t, cmd, stderr)
}

// An invalid configuration stops the program with an error of one line that names the key.
func TestInvalidConfigStopsTheProgram(t *testing.T) {
	cmd, stderr := startProgram(t, `{"name":"n0","listen":"127.0.0.1"}`)
	if err := cmd.Wait(); err == nil {
		t.Fatal("exit code 0 with an invalid configuration")
	}
	if got := stderr.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("stderr %q, want one line that names listen", got)
	}
}

// On SIGHUP the program reads its configuration again, calls discovery at the new address and keeps
// serving.
func TestSIGHUPChangesDiscovery(t *testing.T) {
	startDiscovery := func() (string, chan string) {
		requests := make(chan string, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- r.URL.RawQuery
			fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String(), requests
	}
	before, requestsBefore := startDiscovery()
	after, requestsAfter := startDiscovery()
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"k","health":"ready","share":1}]}}`,
			listen, discovery, settings)
	}
	cmd, stderr := startProgramAt(t, path, config(before))
	waitReady(t, listen, stderr)
	<-requestsBefore
	for _, text := range []string{"{", config(after)} { // a truncated file changes nothing
		reloadProgram(t, cmd, path, text)
		waitReady(t, listen, stderr)
	}
	if q := <-requestsAfter; q != "follow=1&since=1" {
		t.Fatalf("first query at the new address: %q", q)
	}
	waitReady(t, listen, stderr)
	stopGracefully(t, cmd, stderr)
}

// Several signals arrive during a request, in different orders: two SIGTERMs, SIGHUP and SIGTERM, SIGINT.
// The program shuts down gracefully each time, and the request is answered.
func TestConcurrentSignalsShutDownGracefully(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"two SIGTERMs":      {syscall.SIGTERM, syscall.SIGTERM},
		"reload, then stop": {syscall.SIGHUP, syscall.SIGTERM},
		"stop, then reload": {syscall.SIGTERM, syscall.SIGHUP},
		"five signals":      {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received, release := make(chan struct{}, 10), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received <- struct{}{}
				<-release
				fmt.Fprint(w, "done")
			}))
			defer backend.Close()
			listen := freeAddr(t)
			cmd, stderr := startProgram(t, programConfig(listen, "127.0.0.1:1", backend.Listener.Addr().String(), 1024))
			waitReady(t, listen, stderr)
			answered := make(chan string, 1)
			go func() {
				status, err := post(listen)
				answered <- fmt.Sprint(status, err)
			}()
			<-received
			for _, s := range signals {
				if err := cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(100 * time.Millisecond) // the signals have arrived, and the request is still in flight
			close(release)
			if got := <-answered; got != "200 <nil>" {
				t.Errorf("answered %s; stderr: %s", got, stderr)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v; stderr: %s", err, stderr)
			}
		})
	}
}

// SIGTERM stops the program gracefully even before it is ready.
func TestSignalBeforeReady(t *testing.T) {
	listen := freeAddr(t)
	cmd, stderr := startProgram(t, programConfig(listen, "127.0.0.1:1", "", 1024))
	dialListening(t, listen, stderr)
	stopGracefully(t, cmd, stderr)
}

// limitFiles sets the program's limit of open files.
func limitFiles(cmd *exec.Cmd, files int) {
	const shell = "/bin/sh"
	cmd.Args = []string{shell, "-c", fmt.Sprintf("ulimit -n %d; exec %s", files, cmd.Path)}
	cmd.Path = shell
}

// connectIdle opens up to count connections that stay idle until the test ends.
func connectIdle(t *testing.T, listen string, count int) {
	t.Helper()
	for range count {
		if c, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
}

// serveDiscovery serves a discovery that lists one backend, at addr until the test ends.
func serveDiscovery(t *testing.T, addr, backend string) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}`+"\n",
			backend)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
}

// waitServed sends requests until one is served, and fails the test if none is within the limit.
func waitServed(t *testing.T, listen string, limit time.Duration, stderr *stderrBuffer) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		status, err := post(listen)
		if status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not served after %v: %d, %v; stderr: %s", limit, status, err, stderr)
		}
	}
}

// Idle clients use up all file descriptors while discovery is unavailable: the program becomes ready,
// is notified when discovery returns, connects to the server that is listed then, and serves requests.
func TestDescriptorExhaustion(t *testing.T) {
	const files, maxStartTime, maxNotificationTime = 64, 10 * time.Second, 6 * time.Second
	backend, discovery, listen := okServer(t), freeAddr(t), freeAddr(t)
	cmd, stderr := newProgram(t, filepath.Join(t.TempDir(), "config.json"), programConfig(listen, discovery, "", files))
	limitFiles(cmd, files)
	startUntilCleanup(t, cmd)
	startedAt := time.Now()
	dialListening(t, listen, stderr)
	connectIdle(t, listen, 2*files)
	waitReady(t, listen, stderr)
	if took := time.Since(startedAt); took > maxStartTime {
		t.Errorf("ready after %v", took)
	}
	serveDiscovery(t, discovery, backend)
	connectIdle(t, listen, 2*files)
	waitServed(t, listen, maxNotificationTime, stderr)
	for i := range 100 {
		if status, err := post(listen); status != http.StatusOK {
			t.Fatalf("request %d: %d, %v; stderr: %s", i, status, err, stderr)
		}
	}
}
