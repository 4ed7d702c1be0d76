package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"knotrouter/internal/lab/syscallfault"
)

// faultyProgram is the program with system calls that fail from setFaults(true) until setFaults(false).
type faultyProgram struct {
	t          *testing.T
	faults     string // in the form that syscallfault reads, or noDescriptors
	faultFile  string // system calls fail while it exists
	configPath string
	cmd        *exec.Cmd
	stderr     *stderrBuffer
	ended      chan error
}

// startFaulty starts the program; its calls fail from the start if failing is set.
func startFaulty(t *testing.T, faults, config string, failing bool) *faultyProgram {
	t.Helper()
	dir := t.TempDir()
	p := &faultyProgram{t: t, faults: faults, faultFile: filepath.Join(dir, "failing"), configPath: filepath.Join(dir, "config.json"),
		ended: make(chan error, 1)}
	p.cmd, p.stderr = newProgram(t, p.configPath, config)
	if failing {
		p.setFaults(true)
	}
	if faults != noDescriptors {
		p.cmd.Env = append(p.cmd.Env, syscallfault.FaultsVariable+"="+faults, syscallfault.WhileVariable+"="+p.faultFile, oneMallocArena)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// noDescriptors is the fault of a process that has reached its limit of open descriptors (EMFILE).
const noDescriptors = "no descriptors"

// limitDescriptors limits the program's descriptors to those in use if on is set, and to a thousand otherwise.
func (p *faultyProgram) limitDescriptors(on bool) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: 1000, Max: 1000}
	if on {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Fatal(err)
	}
}

// oneMallocArena keeps the C library, which the test binary may be linked with, from opening
// /sys/devices/system/cpu/online in a new thread. Meanwhile the thread holds a processor (P) of the Go
// scheduler, and if the program has only one, syscallfault can't decide on the call.
const oneMallocArena = "MALLOC_ARENA_MAX=1"

// setFaults switches the faults on or off.
func (p *faultyProgram) setFaults(on bool) {
	p.t.Helper()
	if p.faults == noDescriptors {
		p.limitDescriptors(on)
		return
	}
	var err error
	if on {
		err = os.WriteFile(p.faultFile, nil, 0o600)
	} else if err = os.Remove(p.faultFile); os.IsNotExist(err) {
		err = nil
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// requireRunning fails the test if the program has ended.
func (p *faultyProgram) requireRunning() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.t.Fatalf("ended: %v; stderr: %s", err, p.stderr)
	default:
	}
}

// okServer returns a backend that answers at once.
func okServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done") }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// If accept fails temporarily, with any error that accept(2) documents, the connection is accepted as soon
// as accept succeeds again, and its request is answered in time.
func TestAcceptFailsTemporarily(t *testing.T) {
	for _, errno := range []string{"ECONNABORTED", "EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EPERM",
		"ENETDOWN", "EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			listen := freeAddr(t)
			p := startFaulty(t, "accept4:"+errno, programConfig(listen, "127.0.0.1:1", okServer(t), 1024), false)
			waitReady(t, listen, p.stderr)
			p.setFaults(true)
			const faultTime = 1200 * time.Millisecond
			statuses := make(chan string, 4)
			for i := range 4 {
				go func() {
					status, err := postKey(listen, fmt.Sprint("u", i), "3000m")
					statuses <- fmt.Sprint(status, err)
				}()
			}
			time.Sleep(faultTime)
			p.setFaults(false)
			succeedingSince := time.Now()
			for range 4 {
				if got := <-statuses; got != "200 <nil>" {
					t.Errorf("answered %s; stderr: %s", got, p.stderr)
				}
			}
			if took := time.Since(succeedingSince); took > 250*time.Millisecond {
				t.Errorf("the waiting requests were answered %v after accept succeeded again", took)
			}
			p.requireRunning()
		})
	}
}

// maxQueuedRequestRuns bounds the runs of TestDeadlineOfAQueuedRequest.
const maxQueuedRequestRuns = 10

// A request whose connection could not be accepted at first is forwarded with the time that remains of its
// timeout. A run in which it was not queued is repeated: an accept that was let through before the fault,
// and executed after the client's connect, has accepted its connection.
func TestDeadlineOfAQueuedRequest(t *testing.T) {
	for range maxQueuedRequestRuns {
		if runQueuedRequest(t) {
			return
		}
	}
	t.Fatalf("the request was queued in none of %d runs", maxQueuedRequestRuns)
}

// runQueuedRequest sends a request while accepts fail, and checks the timeout that the server receives. It
// returns false if the server received the request before accepts succeeded again.
func runQueuedRequest(t *testing.T) (wasQueued bool) {
	t.Helper()
	receivedTimeout := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receivedTimeout <- r.Header.Get("Request-Timeout")
	}))
	t.Cleanup(s.Close)
	listen := freeAddr(t)
	p := startFaulty(t, "accept4:ENFILE", programConfig(listen, "127.0.0.1:1", s.Listener.Addr().String(), 1024), false)
	waitReady(t, listen, p.stderr)
	p.setFaults(true)
	sending := make(chan struct{}) // a goroutine that starts late must not count as time in the queue
	go func() {
		close(sending)
		_, _ = postKey(listen, "u1", "3000m")
	}()
	<-sending
	const queueTime = 600 * time.Millisecond
	time.Sleep(queueTime)
	if len(receivedTimeout) > 0 {
		return false
	}
	p.setFaults(false)
	text := <-receivedTimeout
	var ms int
	if _, err := fmt.Sscanf(text, "%dm", &ms); err != nil {
		t.Fatalf("received timeout %q: %v", text, err)
	}
	if remaining := 3*time.Second - queueTime; time.Duration(ms)*time.Millisecond > remaining+timingTolerance {
		t.Errorf("the server received the timeout %s; the client had %v left", text, remaining)
	}
	return true
}

const (
	// connectFaultTime is how long connects are to fail in TestConnectFailsTemporarily: two attempts
	// fail after one connect timeout of the settings (150 ms), and one more after two. The fourth
	// attempt, which ends at 450 ms, is under way when connects succeed again.
	connectFaultTime = 400 * time.Millisecond
	// maxConnectFaultTime is three connect timeouts. In a longer network fault the fourth attempt fails
	// too, which uses up the retry budget: the agent then sends nothing for a second, as intended.
	maxConnectFaultTime = 3 * 150 * time.Millisecond
	// maxConnectFaultRuns bounds the runs with one fault.
	maxConnectFaultRuns = 10
)

// If connects to servers fail temporarily, every request still gets a final response, and the
// servers are used again once connects succeed: they are not at fault. A run in which the test
// itself was delayed, so that connects failed for maxConnectFaultTime or longer, is repeated.
func TestConnectFailsTemporarily(t *testing.T) {
	for _, fault := range []string{noDescriptors, "connect:EADDRNOTAVAIL", "connect:ENETUNREACH", "connect:EHOSTUNREACH",
		"connect:ENOBUFS", "connect:ENOMEM"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for range maxConnectFaultRuns {
				if faultTime := runConnectFault(t, fault); faultTime < maxConnectFaultTime {
					return
				}
			}
			t.Fatalf("in each of %d runs connects failed for %v or longer", maxConnectFaultRuns, maxConnectFaultTime)
		})
	}
}

// runConnectFault starts the program and sends it twenty requests while connects fail. It checks the
// responses, and that the backend is used again soon after connects succeed if connects failed for
// less than maxConnectFaultTime. It returns how long they failed.
func runConnectFault(t *testing.T, fault string) (faultTime time.Duration) {
	t.Helper()
	const requestCount = 20
	listen := freeAddr(t)
	p := startFaulty(t, fault, programConfig(listen, "127.0.0.1:1", okServer(t), 1024), false)
	waitReady(t, listen, p.stderr)
	failingSince := time.Now()
	p.setFaults(true)
	var requests sync.WaitGroup
	for i := range requestCount {
		requests.Go(func() { checkFinalResponse(t, listen, i) })
		time.Sleep(time.Until(failingSince.Add(time.Duration(i+1) * connectFaultTime / requestCount)))
	}
	p.setFaults(false)
	succeedingSince := time.Now()
	requests.Wait()
	if faultTime = succeedingSince.Sub(failingSince); faultTime < maxConnectFaultTime {
		p.checkServedAgain(listen, succeedingSince)
	}
	p.requireRunning()
	return faultTime
}

// If connects fail for lack of a local resource, in enough attempts to use up the retry budget, every
// request still gets a final response, and the server is used again as soon as connects succeed: the
// failures are not the server's, and nothing was sent.
func TestConnectsFailLocallyForLong(t *testing.T) {
	const faultTime, interval = 600 * time.Millisecond, 20 * time.Millisecond
	for _, fault := range []string{"connect:EADDRNOTAVAIL", "connect:ENOBUFS", "connect:ENOMEM"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			listen := freeAddr(t)
			p := startFaulty(t, fault, programConfig(listen, "127.0.0.1:1", okServer(t), 1024), false)
			waitReady(t, listen, p.stderr)
			p.setFaults(true)
			failingSince := time.Now()
			var requests sync.WaitGroup
			for i := 0; time.Since(failingSince) < faultTime; i++ {
				requests.Go(func() { checkFinalResponse(t, listen, i) })
				time.Sleep(interval)
			}
			p.setFaults(false)
			succeedingSince := time.Now()
			requests.Wait()
			p.checkServedAgain(listen, succeedingSince)
			p.requireRunning()
		})
	}
}

// checkFinalResponse sends request i and checks that it is answered within its timeout.
func checkFinalResponse(t *testing.T, listen string, i int) {
	t.Helper()
	startedAt := time.Now()
	status, err := postKey(listen, fmt.Sprint("u", i), "800m")
	if took := time.Since(startedAt); err != nil || took > 850*time.Millisecond ||
		status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Errorf("request %d: %d, %v, after %v", i, status, err, took)
	}
}

// checkServedAgain sends requests until one is served, and checks that this is soon after connects
// began to succeed again.
func (p *faultyProgram) checkServedAgain(listen string, succeedingSince time.Time) {
	p.t.Helper()
	status, err := 0, error(nil)
	for status != http.StatusOK && time.Since(succeedingSince) < 5*time.Second {
		status, err = postKey(listen, "after", "300m")
	}
	if took := time.Since(succeedingSince); took > 700*time.Millisecond {
		p.t.Errorf("served %v after connects succeeded again: %d, %v; stderr: %s", took, status, err, p.stderr)
	}
}

// Temporary failures of system calls delay the start and do not end the program.
func TestStartWhileCallsFail(t *testing.T) {
	for _, fault := range []string{"bind:EADDRINUSE", "bind:EADDRNOTAVAIL", "bind:ENOMEM", "listen:ENOBUFS", "openat:ENFILE", "openat:EIO"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			listen := freeAddr(t)
			p := startFaulty(t, fault, programConfig(listen, "127.0.0.1:1", okServer(t), 1024), true)
			time.Sleep(700 * time.Millisecond)
			p.requireRunning()
			p.setFaults(false)
			waitReady(t, listen, p.stderr)
			if status, err := post(listen); status != http.StatusOK {
				t.Errorf("answered %d, %v; stderr: %s", status, err, p.stderr)
			}
		})
	}
}
