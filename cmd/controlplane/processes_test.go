package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/lab/process"
)

// executable returns the path of the test binary, which TestMain runs as the program that an environment
// variable selects.
func executable(t testing.TB) string {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// startProcess starts a process that isn't running. It fails the test if the process can't be started.
func startProcess(t testing.TB, p *process.Process) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatalf("%s did not start: %v", p.Name, err)
	}
}

// signalProcess sends a signal to a process. It fails the test if the process isn't running.
func signalProcess(t testing.TB, p *process.Process, signal syscall.Signal) {
	t.Helper()
	if err := p.Signal(signal); err != nil {
		t.Fatalf("%s was not sent signal %v: %v", p.Name, signal, err)
	}
}

// killProcess sends SIGKILL to a process and returns once the process has ended. The process must have
// been started before; it may have ended.
func killProcess(p *process.Process) {
	ended := p.Ended()
	p.Kill()
	<-ended
}

// shutDownProcess sends SIGTERM to a process and waits for the end of the graceful shutdown. It fails the
// test if the process isn't running, or still runs after waitTimeout.
func shutDownProcess(t testing.TB, p *process.Process) {
	t.Helper()
	beginShutDown(t, p)()
}

// beginShutDown sends SIGTERM to a process, and returns a function that waits for the end of the graceful
// shutdown, as waitForEnd does. It fails the test if the process isn't running.
func beginShutDown(t testing.TB, p *process.Process) (wait func()) {
	t.Helper()
	ended := p.Ended()
	signalProcess(t, p, syscall.SIGTERM)
	return func() {
		t.Helper()
		waitForEnd(t, p, ended)
	}
}

// waitForEnd waits until the channel ended is closed, which Ended returned for this run of the process. It
// fails the test if the process still runs after waitTimeout.
func waitForEnd(t testing.TB, p *process.Process, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s still runs after %v", p.Name, waitTimeout)
	}
}

// processLog returns what a process has written to its log over all its runs, or "" if there is no log yet.
func processLog(p *process.Process) string {
	text, _ := os.ReadFile(p.Log)
	return string(text)
}

// tail returns the last n bytes of a text, or the whole text if it is shorter.
func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// logIfFailed logs the last n bytes of the process's log if the test has failed.
func logIfFailed(t testing.TB, p *process.Process, n int) {
	t.Helper()
	if t.Failed() {
		t.Logf("%s:\n%s", p.Name, tail(processLog(p), n))
	}
}
