package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// First arguments with which the test binary runs a helper program instead of the tests.
const (
	serveCommand     = "child"     // ADDRESS: answer every HTTP request at the address
	superviseCommand = "supervise" // FOLDER: start a child, print its process ID and wait
	failCommand      = "fail"      // write two lines to stderr and exit
)

// TestMain runs the tests, or the program that the first argument names.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == 3 && os.Args[1] == serveCommand:
		_ = http.ListenAndServe(os.Args[2], http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	case len(os.Args) == 3 && os.Args[1] == superviseCommand:
		superviseChild(os.Args[2])
	case len(os.Args) == 2 && os.Args[1] == failCommand:
		fmt.Fprintln(os.Stderr, "first line\ncannot start")
		os.Exit(3)
	default:
		os.Exit(m.Run())
	}
}

// superviseChild starts a child, prints its process ID and waits to be killed.
func superviseChild(dir string) {
	p := New(nil).Add(childSpec("grandchild", dir, freeAddr()))
	if err := p.Start(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(p.cmd.Process.Pid)
	select {}
}

// waitTimeout bounds every wait for an expected event.
const waitTimeout = 30 * time.Second

// freeAddr returns an address that nothing listens on.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// childSpec returns the spec of the test binary as an HTTP server at addr.
func childSpec(name, dir, addr string) Spec {
	exe, _ := os.Executable()
	return Spec{Name: name, Path: exe, Args: []string{serveCommand, addr}, Log: filepath.Join(dir, name+".log"), ReadyURL: "http://" + addr + "/"}
}

// newSupervisor returns a supervisor that is closed at the end of the test.
func newSupervisor(t *testing.T, onExit ExitFunc) *Supervisor {
	t.Helper()
	s := New(onExit)
	t.Cleanup(s.Close)
	return s
}

// waitContext returns a context that ends after waitTimeout, or with the test.
func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// start starts a process.
func start(t *testing.T, p *Process) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
}

// startReady starts a process and waits until it is ready.
func startReady(t *testing.T, p *Process) {
	t.Helper()
	start(t, p)
	if err := p.WaitReady(waitContext(t)); err != nil {
		t.Fatal(err)
	}
}

// sendSignal sends a signal to a running process.
func sendSignal(t *testing.T, p *Process, sig syscall.Signal) {
	t.Helper()
	if err := p.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// processState returns the state letter of a process as /proc shows it, "" if there is none.
func processState(t *testing.T, pid int) string {
	t.Helper()
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return ""
	}
	if err != nil {
		t.Fatal(err)
	}
	_, fields, found := strings.Cut(string(stat), ") ")
	if !found || fields == "" {
		t.Fatalf("/proc/%d/stat is %q", pid, stat)
	}
	return fields[:1]
}

// waitForState waits until a process is in one of the states.
func waitForState(t *testing.T, pid int, states ...string) {
	t.Helper()
	var state string
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		state = processState(t, pid)
		for _, wanted := range states {
			if state == wanted {
				return
			}
		}
	}
	t.Fatalf("process %d is in state %q, want one of %q", pid, state, states)
}

// waitUntilEnded waits until a process has ended, reaped or not.
func waitUntilEnded(t *testing.T, pid int) {
	t.Helper()
	waitForState(t, pid, "", "Z")
}

// answers reports whether a process answers an HTTP request within a time.
func answers(p *Process, within time.Duration) bool {
	client := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(p.ReadyURL)
	if err == nil {
		resp.Body.Close()
	}
	return err == nil
}

// Calls that need a running or started process fail without one, and a running process can't be started
// again.
func TestCallsInWrongStateFail(t *testing.T) {
	p := newSupervisor(t, nil).Add(childSpec("p", t.TempDir(), freeAddr()))
	if err := p.Signal(syscall.SIGTERM); !errors.Is(err, ErrNotRunning) {
		t.Errorf("signal to a process that is not running: %v, want ErrNotRunning", err)
	}
	if err := p.WaitReady(waitContext(t)); !errors.Is(err, ErrNotStarted) {
		t.Errorf("wait for a process that was not started: %v, want ErrNotStarted", err)
	}
	startReady(t, p)
	if err := p.Start(); !errors.Is(err, ErrRunning) {
		t.Errorf("start of a running process: %v, want ErrRunning", err)
	}
}

// A process is suspended by SIGSTOP and resumes after SIGCONT.
func TestStoppedProcessResumes(t *testing.T) {
	p := newSupervisor(t, nil).Add(childSpec("p", t.TempDir(), freeAddr()))
	startReady(t, p)
	sendSignal(t, p, syscall.SIGSTOP)
	waitForState(t, p.cmd.Process.Pid, "T") // Signal returns before the process has stopped
	if answers(p, 200*time.Millisecond) {
		t.Error("a stopped process answers")
	}
	sendSignal(t, p, syscall.SIGCONT)
	if !answers(p, waitTimeout) {
		t.Error("a resumed process does not answer")
	}
}

// The end of a run is reported as expected if the lab requested it, and as unexpected after a crash or a
// kill for exceeding the memory limit. The process can be started again after each.
func TestEndsAreReported(t *testing.T) {
	ends := make(chan bool, 10) // whether the end was expected
	s := newSupervisor(t, func(_ *Process, _ error, expected bool) { ends <- expected })
	p := s.Add(childSpec("p", t.TempDir(), freeAddr()))

	startReady(t, p)
	if err := p.Start(); !errors.Is(err, ErrRunning) { // the failed start neither disturbs the run nor counts
		t.Errorf("start of a running process: %v, want ErrRunning", err)
	}
	usage, _, _ := p.SampleUsage()
	if usage.RSSMB <= 1 || usage.Descriptors < 3 {
		t.Errorf("implausible usage %+v", usage)
	}
	sendSignal(t, p, syscall.SIGSTOP)
	waitForState(t, p.cmd.Process.Pid, "T")
	sendSignal(t, p, syscall.SIGCONT)
	sendSignal(t, p, syscall.SIGTERM)
	if expected := <-ends; !expected {
		t.Error("an end by SIGTERM counts as unexpected")
	}

	startReady(t, p)
	// The kill bypasses the supervisor, so the end counts as a crash.
	if err := syscall.Kill(p.cmd.Process.Pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if expected := <-ends; expected {
		t.Error("a crash counts as expected")
	}
	if p.StartCount() != 2 || p.Running() {
		t.Errorf("started %d times, running %v; want 2 and false", p.StartCount(), p.Running())
	}

	p.MemoryMB = 1
	startReady(t, p)
	if _, _, killed := p.SampleUsage(); !killed {
		t.Error("a process over its memory limit is not killed")
	}
	if expected := <-ends; expected {
		t.Error("a kill for too much memory counts as expected")
	}
}

// For a process that ends before it is ready, the error contains the last line of its log; for a missing
// program, the name of the process.
func TestFailsBeforeReady(t *testing.T) {
	s := newSupervisor(t, nil)
	spec := childSpec("f", t.TempDir(), freeAddr())
	spec.Args = []string{failCommand}
	p := s.Add(spec)
	start(t, p)
	err := p.WaitReady(waitContext(t))
	if ended := new(EndedError); !errors.As(err, &ended) || !strings.Contains(err.Error(), "cannot start") {
		t.Errorf("got %v, want the last line of its log", err)
	}
	missing := s.Add(Spec{Name: "none", Path: "/nowhere/program", Log: filepath.Join(t.TempDir(), "l")})
	if err := missing.Start(); err == nil || !strings.Contains(err.Error(), "process none") {
		t.Errorf("start of a missing program: %v, want an error with the process's name", err)
	}
}

// Close ends all processes, including one that is stopped by a signal.
func TestCloseEndsAllProcesses(t *testing.T) {
	s := newSupervisor(t, nil)
	dir := t.TempDir()
	var pids []int
	for i := range 3 {
		p := s.Add(childSpec(fmt.Sprint("c", i), dir, freeAddr()))
		start(t, p)
		pids = append(pids, p.cmd.Process.Pid)
	}
	sendSignal(t, s.All()[1], syscall.SIGSTOP)
	s.Close()
	for _, pid := range pids {
		waitUntilEnded(t, pid)
	}
}

// A process ends with its supervisor's process, even if the latter is killed.
func TestProcessEndsWithKilledSupervisor(t *testing.T) {
	exe, _ := os.Executable()
	cmd := exec.Command(exe, superviseCommand, t.TempDir())
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("the supervisor printed %q", line)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	waitUntilEnded(t, pid)
}
