package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/lab/syscallfault"
)

// TestMain runs the program itself if the test binary was started by startProgram.
func TestMain(m *testing.M) {
	if os.Getenv("AGENT_TEST_CHILD") == "1" {
		if err := syscallfault.FromEnvironment(); err != nil {
			panic(err)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// stderrBuffer is the standard error of a program. It can be read while the program runs.
type stderrBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *stderrBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *stderrBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

const settings = `{"classes":[{"name":"order","aimMs":500,"giveUpMs":1000,"credit":1,"effect":"single_shot"}],
 "membershipMode":"on_request","limits":{"maxAttempts":3,"connectTimeoutMs":150,"keepaliveMs":30000,"maxRetryAfterMs":600},
 "contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":5,"weights":"nominal","failureDomains":["a"],"shapes":["k"]}`

// startProgram starts the program with a configuration.
func startProgram(t *testing.T, config string) (*exec.Cmd, *stderrBuffer) {
	t.Helper()
	return startProgramAt(t, filepath.Join(t.TempDir(), "config.json"), config)
}

// startProgramAt starts the program with a configuration that it writes to path.
func startProgramAt(t *testing.T, path, config string) (*exec.Cmd, *stderrBuffer) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, stderr := exec.Command(exe), &stderrBuffer{}
	cmd.Env = append(os.Environ(), "AGENT_TEST_CHILD=1", "EDGE_CONFIG="+path)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, stderr
}

// freeAddr returns an address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// waitReady waits until the program is ready.
func waitReady(t *testing.T, listen string, stderr *stderrBuffer) {
	t.Helper()
	for attempts := 0; ; attempts++ {
		resp, err := http.Get("http://" + listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if attempts > 3000 {
			t.Fatalf("not ready: %v; stderr: %s", err, stderr)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

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
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; stderr: %s", err, stderr)
	}
}

// An invalid configuration ends the program with one line that names the key.
func TestInvalidConfigStopsTheProgram(t *testing.T) {
	cmd, stderr := startProgram(t, `{"name":"n0","listen":"127.0.0.1"}`)
	if err := cmd.Wait(); err == nil {
		t.Fatal("started with a bad configuration")
	}
	if got := stderr.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("stderr %q, want one line that names listen", got)
	}
}

// On SIGHUP the program calls discovery at the address that its configuration names now, and keeps
// serving.
func TestSIGHUPChangesDiscovery(t *testing.T) {
	watched := func() (string, chan string) {
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
	before, requestsBefore := watched()
	after, requestsAfter := watched()
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
	for _, text := range []string{"{", config(after)} { // half a file changes nothing
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitReady(t, listen, stderr)
	}
	if q := <-requestsAfter; q != "follow=1&since=1" {
		t.Fatalf("query %q", q)
	}
	waitReady(t, listen, stderr)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; stderr: %s", err, stderr)
	}
}

// Signals in any order, during a request: two SIGTERMs, SIGHUP and SIGTERM. The program shuts down
// gracefully each time, and the request is answered.
func TestConcurrentSignalsShutDownGracefully(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"twice":           {syscall.SIGTERM, syscall.SIGTERM},
		"reconfigured":    {syscall.SIGHUP, syscall.SIGTERM},
		"and configured":  {syscall.SIGTERM, syscall.SIGHUP},
		"again and again": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
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
			time.Sleep(100 * time.Millisecond) // both are taken, and the request is still out
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

// A SIGTERM before the program can be ready ends it gracefully.
func TestSignalBeforeReady(t *testing.T) {
	listen := freeAddr(t)
	cmd, stderr := startProgram(t, programConfig(listen, "127.0.0.1:1", "", 1024))
	for attempts := 0; ; attempts++ {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			defer c.Close()
			break
		}
		if attempts > 3000 {
			t.Fatalf("does not listen; stderr: %s", stderr)
		}
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("ended with %v; stderr: %s", err, stderr)
	}
}

// Idle clients use up all file descriptors while discovery is unavailable: the program gets ready,
// serves requests, is notified when discovery returns, and connects to the servers listed then.
func TestDescriptorExhaustion(t *testing.T) {
	const files = 64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done") }))
	defer backend.Close()
	disco, listen := freeAddr(t), freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(programConfig(listen, disco, "", files)), 0o600); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, stderr := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", files, exe)), &stderrBuffer{}
	cmd.Env = append(os.Environ(), "AGENT_TEST_CHILD=1", "EDGE_CONFIG="+path)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	idle := func() {
		for range 2 * files {
			if c, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
				t.Cleanup(func() { c.Close() })
			}
		}
	}
	startedAt := time.Now()
	for attempts := 0; attempts < 3000; attempts++ {
		if c, err := net.Dial("tcp", listen); err == nil {
			c.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	idle()
	waitReady(t, listen, stderr)
	if took := time.Since(startedAt); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	ln, err := net.Listen("tcp", disco)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}`+"\n",
			backend.Listener.Addr().String())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	idle()
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, err := post(listen)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("6 s after discovery's return: %d, %v; stderr: %s", status, err, stderr)
		}
	}
	for i := range 100 {
		if status, err := post(listen); status != http.StatusOK {
			t.Fatalf("request %d: %d, %v; stderr: %s", i, status, err, stderr)
		}
	}
}

// programConfig returns a complete configuration, with one backend in the cached list or none.
func programConfig(listen, discovery, backend string, sockets int) string {
	hosts := ""
	if backend != "" {
		hosts = fmt.Sprintf(`{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}`, backend)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
 "settings":%s,"known":{"seq":1,"whole":true,"hosts":[%s]}}`, listen, discovery, sockets, settings, hosts)
}

// post sends one request on its own connection.
func post(listen string) (int, error) { return postKey(listen, "u1", "3000m") }

// postKey sends one request for a key, with a timeout, on its own connection.
func postKey(listen, key, timeout string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+listen+"/order/"+key, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Request-Id", key)
	req.Header.Set("Request-Timeout", timeout)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
