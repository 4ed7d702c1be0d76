package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The errors of a process that is not in the state that a call needs.
var (
	ErrRunning    = errors.New("already running") // returned by Start
	ErrNotRunning = errors.New("not running")     // returned by Signal and PeakRSSMB
	ErrNotStarted = errors.New("not started")     // returned by WaitReady
)

// errClosed is the error of a start after the supervisor was closed.
var errClosed = errors.New("supervisor closed")

// EndedError is the error of a process that ended before it was ready.
type EndedError struct {
	LastLogLine string // last line of the process's log
}

// Error quotes the last line of the process's log, which usually names the cause.
func (e *EndedError) Error() string { return "ended before it was ready: " + e.LastLogLine }

// Spec describes a process, which can be started any number of times.
type Spec struct {
	Name     string
	Path     string // path of the program
	Args     []string
	Env      []string // environment variables in addition to PATH, HOME and TMPDIR, the only ones inherited from the lab
	Dir      string   // working directory; "" means the lab's
	Log      string   // file to which the process's output is appended; a missing folder is created
	ReadyURL string   // URL that answers 200 once the process is ready; "" means that it is ready once started
	MemoryMB float64  // resident memory above which SampleUsage kills the process; 0: unlimited
}

// Process is a process of a supervisor. It is safe for concurrent use; its Spec may be changed only
// while no other goroutine uses the process.
type Process struct {
	Spec
	supervisor *Supervisor

	mu         sync.Mutex
	cmd        *exec.Cmd     // command of the latest run
	ended      chan struct{} // closed when the latest run has ended; nil before the first
	expected   bool          // the lab requested the end of the latest run
	startCount int
	usage      usageHistory
}

// Start starts the process. It returns ErrRunning if the process is running, and an error if its log
// can't be opened or its program can't be executed.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return fmt.Errorf("process %s: %w", p.Name, ErrRunning)
	}
	log, err := openLog(p.Log)
	if err != nil {
		return fmt.Errorf("process %s: log: %w", p.Name, err)
	}
	cmd := p.command(log)
	if err := p.supervisor.start(cmd); err != nil {
		log.Close()
		return fmt.Errorf("process %s: %w", p.Name, err)
	}
	p.cmd, p.expected, p.ended = cmd, false, make(chan struct{})
	p.startCount++
	p.usage.beginRun()
	p.supervisor.running.Add(1)
	go p.awaitEnd(cmd, log, p.ended)
	return nil
}

// openLog opens a log for appending, and creates its folder if that is missing.
func openLog(path string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// command returns the command that starts the process with its output in log.
func (p *Process) command(log *os.File) *exec.Cmd {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + os.TempDir()}, p.Env...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Dir, log, log
	return cmd
}

// awaitEnd waits for the end of a run, closes ended, and reports the end to the supervisor's owner.
func (p *Process) awaitEnd(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	defer p.supervisor.running.Done()
	err := cmd.Wait()
	log.Close()
	p.mu.Lock()
	expected := p.expected
	close(ended)
	p.mu.Unlock()
	if p.supervisor.onExit != nil {
		p.supervisor.onExit(p, err, expected)
	}
}

// isRunning reports whether the process is running. The caller holds p.mu.
func (p *Process) isRunning() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRunning()
}

// Ended returns a channel that is closed when the latest run has ended, or nil if the process was never
// started. To wait for the end of the current run, call Ended before the process can have been started
// again.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// StartCount returns how many times the process was started.
func (p *Process) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process, but not to processes that it started. After SIGTERM, SIGINT or
// SIGKILL, the end of the run counts as expected. It returns ErrNotRunning if the process is not running.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return fmt.Errorf("process %s: %w", p.Name, ErrNotRunning)
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL || sig == syscall.SIGINT {
		p.expected = true
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("process %s: %v: %w", p.Name, sig, err)
	}
	return nil
}

// Kill kills the process, even if it is stopped by a signal, and the processes that it started. It does
// not wait for them to end. It has no effect if the process is not running.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		p.expected = true
		p.killGroup()
	}
}

// killGroup sends SIGKILL to the process group that the process leads. The caller holds p.mu and has
// checked that the process is running.
func (p *Process) killGroup() { _ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) }

// readyInterval is the interval between requests to a process's ReadyURL.
const readyInterval = 10 * time.Millisecond

// WaitReady waits until the process is ready. It returns ErrNotStarted if it was never started, an
// *EndedError if the run ends first, and the context's error if the context ends first.
func (p *Process) WaitReady(ctx context.Context) error {
	ended := p.Ended()
	if ended == nil {
		return fmt.Errorf("process %s: %w", p.Name, ErrNotStarted)
	}
	if p.ReadyURL == "" {
		return nil
	}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		if p.isReady() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ended:
			return fmt.Errorf("process %s: %w", p.Name, &EndedError{LastLogLine: p.LastLogLine()})
		case <-ctx.Done():
			return fmt.Errorf("process %s: not ready: %w", p.Name, ctx.Err())
		}
	}
}

// isReady requests ReadyURL and reports whether the answer was 200.
func (p *Process) isReady() bool {
	resp, err := p.supervisor.readyClient.Get(p.ReadyURL)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// LastLogLine returns the last line of the process's log, over all runs, or the text of the error if
// the log can't be read.
func (p *Process) LastLogLine() string {
	text, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimSpace(text)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}
