package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/lab/process"
)

// executable returns the path of the test binary, which TestMain makes any of the programs.
func executable(t testing.TB) string {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func startProcess(t testing.TB, p *process.Process) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatalf("%s did not start: %v", p.Name, err)
	}
}

func signalProcess(t testing.TB, p *process.Process, signal syscall.Signal) {
	t.Helper()
	if err := p.Signal(signal); err != nil {
		t.Fatalf("%s got no signal %v: %v", p.Name, signal, err)
	}
}

// killProcess sends SIGKILL and returns once the process has ended.
func killProcess(p *process.Process) {
	ended := p.Ended()
	p.Kill()
	<-ended
}

// shutDownProcess sends SIGTERM and waits for the end of the graceful shutdown.
func shutDownProcess(t testing.TB, p *process.Process) {
	t.Helper()
	ended := p.Ended()
	signalProcess(t, p, syscall.SIGTERM)
	waitForEnd(t, p, ended)
}

// waitForEnd waits until the channel that Ended returned for the process is closed.
func waitForEnd(t testing.TB, p *process.Process, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s still runs after %v", p.Name, waitTimeout)
	}
}

// processLog returns what the process has written to its log, or nothing if there is no log yet.
func processLog(p *process.Process) string {
	text, _ := os.ReadFile(p.Log)
	return string(text)
}

// tail returns the end of a text, of at most n bytes.
func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// logIfFailed shows the end of the process's log, of at most n bytes, if the test has failed.
func logIfFailed(t testing.TB, p *process.Process, n int) {
	t.Helper()
	if t.Failed() {
		t.Logf("%s:\n%s", p.Name, tail(processLog(p), n))
	}
}
