// Package process supervises the real processes of an experiment: it starts them, tells
// when they are ready, sends them signals, watches what they use, and sees to it that
// each one ends with the lab, however the lab ends.
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
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Spec is a process to be started, and started again under the same name.
type Spec struct {
	Name     string
	Path     string
	Args     []string
	Env      []string // on top of a bare environment
	Dir      string
	Log      string // the file that its output is appended to
	ReadyURL string // 200 there is ready; "": ready once it runs
	MemoryMB float64
}

// Usage is what a process used at a moment.
type Usage struct {
	RSSMB       float64       `json:"rss_mb"`
	Descriptors int           `json:"descriptors"`
	CPU         time.Duration `json:"cpu_ns"`
}

// Supervisor owns processes.
type Supervisor struct {
	// Exited is told of each end. wanted says that the lab asked for it.
	Exited func(p *Process, err error, wanted bool)

	ctx    context.Context
	cancel context.CancelFunc
	starts chan start
	wait   sync.WaitGroup
	client *http.Client

	mu  sync.Mutex
	all []*Process
}

type start struct {
	cmd *exec.Cmd
	err chan error
}

// Process is one that was started at least once.
type Process struct {
	Spec
	sup *Supervisor

	mu     sync.Mutex
	cmd    *exec.Cmd
	log    *os.File
	ended  chan struct{} // closed when the present run has ended
	wanted bool
	life   int
	peak   Usage
	last   Usage
	spent  time.Duration // processor time of the runs before
}

// New makes a supervisor of nothing.
func New(exited func(p *Process, err error, wanted bool)) *Supervisor {
	s := &Supervisor{Exited: exited, starts: make(chan start),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wait.Add(1)
	go s.starter()
	return s
}

// starter starts all processes from one thread that lives as long as the supervisor:
// the kernel kills a child with the thread that started it, so none outlives the lab
// even where that is killed.
func (s *Supervisor) starter() {
	defer s.wait.Done()
	runtime.LockOSThread()
	for {
		select {
		case st := <-s.starts:
			st.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
			st.err <- st.cmd.Start()
		case <-s.ctx.Done():
			// The thread ends with this goroutine; Close has ended the children before.
			return
		}
	}
}

// Add makes a process that is not started yet.
func (s *Supervisor) Add(spec Spec) *Process {
	p := &Process{Spec: spec, sup: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
	return p
}

// All returns the processes in the order in which they were added.
func (s *Supervisor) All() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Process(nil), s.all...)
}

// Close kills what still runs and waits for it to be gone.
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
	s.wait.Wait()
}

// Start starts the process. It fails if it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return fmt.Errorf("process %s: it runs already", p.Name)
	}
	if err := os.MkdirAll(filepath.Dir(p.Log), 0o755); err != nil {
		return fmt.Errorf("process %s: log: %w", p.Name, err)
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("process %s: log: %w", p.Name, err)
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + os.TempDir()}, p.Env...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Dir, log, log
	st := start{cmd, make(chan error, 1)}
	select {
	case p.sup.starts <- st:
		err = <-st.err
	case <-p.sup.ctx.Done():
		err = errors.New("the lab is ending")
	}
	if err != nil {
		log.Close()
		return fmt.Errorf("process %s: %w", p.Name, err)
	}
	p.cmd, p.log, p.wanted, p.ended = cmd, log, false, make(chan struct{})
	p.life++
	p.spent += p.last.CPU
	p.last = Usage{}
	p.sup.wait.Add(1)
	go p.reap(cmd, log, p.ended)
	return nil
}

func (p *Process) reap(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	defer p.sup.wait.Done()
	err := cmd.Wait()
	log.Close()
	p.mu.Lock()
	wanted := p.wanted
	close(ended)
	p.mu.Unlock()
	if p.sup.Exited != nil {
		p.sup.Exited(p, err, wanted)
	}
}

// runs tells whether the process runs. The caller holds the lock.
func (p *Process) runs() bool {
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

// Runs tells whether the process runs.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs()
}

// Ended is closed when the present run has ended; nil before the first.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return nil
	}
	return p.ended
}

// StartCount counts the starts.
func (p *Process) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// Signal sends a signal. SIGTERM, SIGINT and SIGKILL make its end wanted.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return fmt.Errorf("process %s: it does not run", p.Name)
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL || sig == syscall.SIGINT {
		p.wanted = true
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("process %s: %v: %w", p.Name, sig, err)
	}
	return nil
}

// Kill ends the process at once, with all that it started; a stopped one too.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		p.wanted = true
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
}

// readyLook is how often a process is asked whether it is ready.
const readyLook = 10 * time.Millisecond

// WaitReady waits until the process is ready, has ended, or the context has.
func (p *Process) WaitReady(ctx context.Context) error {
	ended := p.Ended()
	if ended == nil {
		return fmt.Errorf("process %s: it was not started", p.Name)
	}
	if p.ReadyURL == "" {
		return nil
	}
	t := time.NewTicker(readyLook)
	defer t.Stop()
	for {
		if resp, err := p.sup.client.Get(p.ReadyURL); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-t.C:
		case <-ended:
			return fmt.Errorf("process %s: it ended before it was ready: %s", p.Name, p.LastLogLine())
		case <-ctx.Done():
			return fmt.Errorf("process %s: not ready: %w", p.Name, ctx.Err())
		}
	}
}

// LastLogLine is the last line that the process wrote.
func (p *Process) LastLogLine() string {
	text, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	text = bytes.TrimSpace(text)
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// SampleUsage reads what the process uses now, and returns it with the most it ever used. A
// process over its memory is killed, as the platform does, and said to be over.
func (p *Process) SampleUsage() (now, peak Usage, over bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return p.last, p.peak, false
	}
	u, err := read(p.cmd.Process.Pid)
	if err != nil { // it has just ended
		return p.last, p.peak, false
	}
	p.last = u
	p.peak.RSSMB = max(p.peak.RSSMB, u.RSSMB)
	p.peak.Descriptors = max(p.peak.Descriptors, u.Descriptors)
	p.peak.CPU = p.spent + u.CPU
	if over = p.MemoryMB > 0 && u.RSSMB > p.MemoryMB; over {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
	return u, p.peak, over
}

func read(pid int) (Usage, error) {
	var u Usage
	dir := "/proc/" + strconv.Itoa(pid)
	statm, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return u, fmt.Errorf("use of process %d: %w", pid, err)
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, fmt.Errorf("use of process %d: %w", pid, err)
	}
	if f := strings.Fields(string(statm)); len(f) > 1 {
		pages, _ := strconv.ParseFloat(f[1], 64)
		u.RSSMB = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	// The name stands in brackets and may hold spaces; user and system time are the
	// 12th and 13th fields behind it, in hundredths of a second.
	if f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(f) > 12 {
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		u.CPU = time.Duration(user+system) * 10 * time.Millisecond
	}
	dirents, err := os.Open(dir + "/fd")
	if err != nil {
		return u, fmt.Errorf("use of process %d: %w", pid, err)
	}
	defer dirents.Close()
	names, err := dirents.Readdirnames(-1)
	if err != nil {
		return u, fmt.Errorf("use of process %d: %w", pid, err)
	}
	u.Descriptors = len(names)
	return u, nil
}
