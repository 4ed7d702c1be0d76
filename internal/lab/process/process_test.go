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

// TestMain makes the test binary a child, or a supervisor of one, when it is started so.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == 3 && os.Args[1] == "child":
		_ = http.ListenAndServe(os.Args[2], http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	case len(os.Args) == 3 && os.Args[1] == "supervise":
		s := New(nil)
		p := s.Add(spec("grandchild", os.Args[2], freeAddr()))
		if err := p.Start(); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(p.cmd.Process.Pid)
		select {}
	case len(os.Args) == 2 && os.Args[1] == "fail":
		fmt.Fprintln(os.Stderr, "first line\nno such luck")
		os.Exit(3)
	default:
		os.Exit(m.Run())
	}
}

const soon = 30 * time.Second

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func spec(name, dir, addr string) Spec {
	exe, _ := os.Executable()
	return Spec{Name: name, Path: exe, Args: []string{"child", addr}, Log: filepath.Join(dir, name+".log"), ReadyURL: "http://" + addr + "/"}
}

func gone(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		state, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
		if errors.Is(err, os.ErrNotExist) || strings.Contains(string(state), ") Z") {
			return
		}
	}
	t.Fatalf("process %d still runs", pid)
}

func stopped(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if state, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat"); err == nil && strings.Contains(string(state), ") T") {
			return
		}
	}
	t.Fatalf("process %d does not stand still", pid)
}

// A process is started, is ready, stands still, goes on, ends on its signal, and is
// started again under its name; its ends are told with who wanted them.
func TestLife(t *testing.T) {
	type end struct{ wanted bool }
	ends := make(chan end, 10)
	s := New(func(_ *Process, _ error, wanted bool) { ends <- end{wanted} })
	defer s.Close()
	p := s.Add(spec("p", t.TempDir(), freeAddr()))
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	if err := p.Signal(syscall.SIGTERM); err == nil {
		t.Error("a signal to nobody is no error")
	}
	start := func() {
		t.Helper()
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if err := p.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
	start()
	if err := p.Start(); err == nil {
		t.Error("started twice at once")
	}
	use, _, _ := p.SampleUsage()
	if use.RSSMB <= 1 || use.Descriptors < 3 {
		t.Errorf("uses %+v", use)
	}
	answers := func(within time.Duration) bool {
		c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get(p.ReadyURL)
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	// The signal is sent, not yet obeyed, when the call returns.
	stopped(t, p.cmd.Process.Pid)
	if answers(200 * time.Millisecond) {
		t.Error("a stopped process answers")
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if !answers(soon) {
		t.Error("a process that goes on does not answer")
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if e := <-ends; !e.wanted {
		t.Error("an end by SIGTERM counts as a crash")
	}
	start()
	// Killed by somebody else: nobody wanted that.
	if err := syscall.Kill(p.cmd.Process.Pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if e := <-ends; e.wanted {
		t.Error("a crash counts as wanted")
	}
	if p.StartCount() != 2 || p.Runs() {
		t.Errorf("life %d, runs %v", p.StartCount(), p.Runs())
	}
	p.MemoryMB = 1
	start()
	if _, _, over := p.SampleUsage(); !over {
		t.Error("a process over its memory is not seen")
	}
	<-ends
}

func TestFailsBeforeReady(t *testing.T) {
	s := New(nil)
	defer s.Close()
	sp := spec("f", t.TempDir(), freeAddr())
	sp.Args = []string{"fail"}
	p := s.Add(sp)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	if err := p.WaitReady(ctx); err == nil || !strings.Contains(err.Error(), "no such luck") {
		t.Errorf("said %v, want the last line of its log", err)
	}
	none := s.Add(Spec{Name: "none", Path: "/nowhere/program", Log: filepath.Join(t.TempDir(), "l")})
	if err := none.Start(); err == nil || !strings.Contains(err.Error(), "process none") {
		t.Errorf("a missing program: %v", err)
	}
}

// No process outlives its supervisor: not its Close, though one stands still, and not
// its own death.
func TestNoneIsLeft(t *testing.T) {
	s := New(nil)
	dir := t.TempDir()
	var pids []int
	for i := range 3 {
		p := s.Add(spec(fmt.Sprint("c", i), dir, freeAddr()))
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		pids = append(pids, p.cmd.Process.Pid)
	}
	if err := s.All()[1].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	s.Close()
	for _, pid := range pids {
		gone(t, pid)
	}
	exe, _ := os.Executable()
	cmd := exec.Command(exe, "supervise", dir)
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
		t.Fatalf("the supervisor said %q", line)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	gone(t, pid)
}
