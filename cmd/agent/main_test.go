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

// TestMain makes the test binary the program itself when it is started as a child.
func TestMain(m *testing.M) {
	if os.Getenv("MOLEPADDLE_CHILD") == "1" {
		if err := syscallfault.FromEnvironment(); err != nil {
			panic(err)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// output is what a child says. It can be read while the child runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

const settings = `{"classes":[{"name":"order","aimMs":500,"giveUpMs":1000,"credit":1,"effect":"single_shot"}],
 "membershipMode":"on_request","limits":{"maxAttempts":3,"connectTimeoutMs":150,"keepaliveMs":30000,"maxRetryAfterMs":600},
 "contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":5,"weights":"nominal","failureDomains":["a"],"shapes":["k"]}`

func child(t *testing.T, config string) (*exec.Cmd, *output) {
	t.Helper()
	return childAt(t, filepath.Join(t.TempDir(), "config.json"), config)
}

func childAt(t *testing.T, path, config string) (*exec.Cmd, *output) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, out := exec.Command(exe), &output{}
	cmd.Env = append(os.Environ(), "MOLEPADDLE_CHILD=1", "EDGE_CONFIG="+path)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, out
}

func freeAddr(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// waitReady waits until the program can serve.
func waitReady(t *testing.T, listen string, out *output) {
	t.Helper()
	for tries := 0; ; tries++ {
		resp, err := http.Get("http://" + listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if tries > 3000 {
			t.Fatalf("not ready: %v; it said %s", err, out)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The program serves a request and ends on SIGTERM with exit code 0.
func TestProgram(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "done ", r.URL.Path)
	}))
	defer backend.Close()
	listen := freeAddr(t)
	cmd, out := child(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}}`,
		listen, settings, backend.Listener.Addr().String()))
	waitReady(t, listen, out)
	ask := func() *http.Response {
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/order/u1", strings.NewReader("x"))
		req.Header.Set("Request-Id", "1")
		req.Header.Set("Request-Timeout", "30000m")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%v; it said %s", err, out)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d; it said %s", resp.StatusCode, out)
		}
		return resp
	}
	ask()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

func TestBadConfig(t *testing.T) {
	cmd, out := child(t, `{"name":"n0","listen":"127.0.0.1"}`)
	if err := cmd.Wait(); err == nil {
		t.Fatal("started with a bad configuration")
	}
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("said %q, want one line that names listen", got)
	}
}

// On SIGHUP the program asks discovery at the address that its configuration names now,
// and goes on.
func TestReconfigure(t *testing.T) {
	watched := func() (string, chan string) {
		asked := make(chan string, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.RawQuery
			fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String(), asked
	}
	before, askedBefore := watched()
	after, askedAfter := watched()
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"k","health":"ready","share":1}]}}`,
			listen, discovery, settings)
	}
	cmd, out := childAt(t, path, config(before))
	waitReady(t, listen, out)
	<-askedBefore
	for _, text := range []string{"{", config(after)} { // half a file changes nothing
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		waitReady(t, listen, out)
	}
	if q := <-askedAfter; q != "follow=1&since=1" {
		t.Fatalf("asked %q", q)
	}
	waitReady(t, listen, out)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

// What may come in any order: two SIGTERMs, SIGHUP and SIGTERM, SIGTERM before the program is
// ready and while a request is out. It ends in order each time, and the request is answered.
func TestSignalsCross(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"twice":           {syscall.SIGTERM, syscall.SIGTERM},
		"reconfigured":    {syscall.SIGHUP, syscall.SIGTERM},
		"and configured":  {syscall.SIGTERM, syscall.SIGHUP},
		"again and again": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, release := make(chan struct{}, 10), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				came <- struct{}{}
				<-release
				fmt.Fprint(w, "done")
			}))
			defer backend.Close()
			listen := freeAddr(t)
			cmd, out := child(t, programConfig(listen, "127.0.0.1:1", backend.Listener.Addr().String(), 1024))
			waitReady(t, listen, out)
			answered := make(chan string, 1)
			go func() {
				status, err := askOnce(listen)
				answered <- fmt.Sprint(status, err)
			}()
			<-came
			for _, s := range signals {
				if err := cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(100 * time.Millisecond) // both are taken, and the request is still out
			close(release)
			if got := <-answered; got != "200 <nil>" {
				t.Errorf("answered %s; it said %s", got, out)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v; it said %s", err, out)
			}
		})
	}
}

// A SIGTERM that comes before the program can be ready ends it in order.
func TestSignalBeforeReady(t *testing.T) {
	listen := freeAddr(t)
	cmd, out := child(t, programConfig(listen, "127.0.0.1:1", "", 1024))
	for tries := 0; ; tries++ {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			defer c.Close()
			break
		}
		if tries > 3000 {
			t.Fatalf("does not listen; it said %s", out)
		}
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("ended with %v; it said %s", err, out)
	}
}

// Idle clients fill all descriptors that the program may have while discovery is away: it gets
// ready, serves who asks, hears of discovery's return and connects to the servers listed then.
func TestDescriptorsFull(t *testing.T) {
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
	cmd, out := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", files, exe)), &output{}
	cmd.Env = append(os.Environ(), "MOLEPADDLE_CHILD=1", "EDGE_CONFIG="+path)
	cmd.Stderr = out
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
	began := time.Now()
	for tries := 0; tries < 3000; tries++ {
		if c, err := net.Dial("tcp", listen); err == nil {
			c.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	idle()
	waitReady(t, listen, out)
	if took := time.Since(began); took > 10*time.Second {
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
		status, err := askOnce(listen)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("6 s after discovery's return: %d, %v; it said %s", status, err, out)
		}
	}
	for i := range 100 {
		if status, err := askOnce(listen); status != http.StatusOK {
			t.Fatalf("request %d: %d, %v; it said %s", i, status, err, out)
		}
	}
}

// programConfig is a whole configuration, with one backend in the list at hand or none.
func programConfig(listen, discovery, backend string, sockets int) string {
	hosts := ""
	if backend != "" {
		hosts = fmt.Sprintf(`{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}`, backend)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
 "settings":%s,"known":{"seq":1,"whole":true,"hosts":[%s]}}`, listen, discovery, sockets, settings, hosts)
}

// askOnce sends one request on a connection of its own.
func askOnce(listen string) (int, error) { return askFor(listen, "u1", "3000m") }

// askFor is askOnce for a key, with a time for the answer.
func askFor(listen, key, timeout string) (int, error) {
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
