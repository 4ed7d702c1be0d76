// Package process supervises the real processes of an experiment: it starts them, waits until they
// are ready, sends them signals, samples their resource usage, and ensures that each of them ends with
// the lab, however the lab ends. It needs Linux: /proc, process groups and the parent death signal.
//
// A Supervisor owns its processes and these goroutines: one that starts all processes, and for
// each run of a process one that waits for the end of the run. Close ends them all. Supervisor.mu guards
// the list of processes, Process.mu the state of one process; no goroutine holds both at the
// same time.
package process

import (
	"context"
	"net/http"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// readyTimeout bounds one request to a process's ReadyURL.
const readyTimeout = time.Second

// ExitFunc is called at the end of each run of a process, from the goroutine that waited for it. err is
// nil after exit code 0. expected reports whether the lab ended the run, by Kill or by a signal that ends
// processes.
type ExitFunc func(p *Process, err error, expected bool)

// Supervisor owns the processes of an experiment. It is safe for concurrent use.
type Supervisor struct {
	onExit ExitFunc

	ctx         context.Context // canceled by Close
	cancel      context.CancelFunc
	starts      chan startRequest
	running     sync.WaitGroup // the supervisor's goroutines
	readyClient *http.Client

	mu        sync.Mutex
	processes []*Process
}

// startRequest asks the starter to start a command. The starter sends the outcome to result, which is
// buffered so that the starter does not block.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// New returns a supervisor without processes, which calls onExit, unless that is nil, at the end of
// each run. The caller has to Close it.
func New(onExit ExitFunc) *Supervisor {
	s := &Supervisor{
		onExit:      onExit,
		starts:      make(chan startRequest),
		readyClient: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Add(1)
	go s.runStarter()
	return s
}

// runStarter starts all processes from one thread, which lives as long as the supervisor. The kernel kills
// a child when the thread that started it ends, so that no child outlives the lab even if the lab is
// killed.
func (s *Supervisor) runStarter() {
	defer s.running.Done()
	runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
	for {
		select {
		case request := <-s.starts:
			request.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
			request.result <- request.cmd.Start()
		case <-s.ctx.Done():
			return
		}
	}
}

// start starts a command from the starter's thread. It returns errClosed after Close.
func (s *Supervisor) start(cmd *exec.Cmd) error {
	request := startRequest{cmd: cmd, result: make(chan error, 1)}
	select {
	case s.starts <- request:
		return <-request.result
	case <-s.ctx.Done():
		return errClosed
	}
}

// Add returns a new process, which is not started yet.
func (s *Supervisor) Add(spec Spec) *Process {
	p := &Process{Spec: spec, supervisor: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p
}

// All returns the processes in the order in which they were added.
func (s *Supervisor) All() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Process(nil), s.processes...)
}

// Close kills the processes that are still running, and returns once they and the supervisor's
// goroutines have ended. No process can be started afterwards.
func (s *Supervisor) Close() {
	for _, p := range s.All() {
		p.Kill()
	}
	for _, p := range s.All() {
		if ended := p.Ended(); ended != nil {
			<-ended
		}
	}
	s.cancel()
	s.running.Wait()
}
