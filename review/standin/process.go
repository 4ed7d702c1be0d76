package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"syscall"
)

// process is a process that the case has started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	err   error         // how the process ended; valid once ended is closed
}

// startProcess starts the command. The process ends at the latest with this program.
func startProcess(cmd *exec.Cmd) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// startProgram starts a program of the folder bin with its standard error appended to the file at log.
func startProgram(r *run, log string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, file, file
	return startProcess(cmd)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// freeAddresses returns n loopback addresses with ports that are free now. The ports are below the range from
// which the system takes the ports of outgoing connections, so that a process can listen there again after a
// restart.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil && tries < 1000 {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}
