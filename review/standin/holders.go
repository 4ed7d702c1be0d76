package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	leasedTask = "work.release"
	leaseTTL   = 2 * time.Second
)

// act is one effect under a leased task, as the project's worker sends it. The worker reads the machine's
// monotonic clock and then checks its context, so at that time it believed that it held the task.
type act struct {
	Task    string        `json:"duty"`
	Process string        `json:"process"`
	Fence   int64         `json:"fence"`
	Mono    time.Duration `json:"mono"`
}

// receiver is a stand-in for what a leased task acts on. It keeps the first and the last act of each term.
type receiver struct {
	addr string
	rec  *record

	mu    sync.Mutex
	terms []*term // in the order of their first acts
}

// term holds the acts of one process under one fencing token.
type term struct {
	first, last act
	acts        int
}

// startReceiver starts a receiver on a free loopback address.
func startReceiver(rec *record) (*receiver, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &receiver{addr: ln.Addr().String(), rec: rec}
	go http.Serve(ln, r)
	return r, nil
}

// ServeHTTP records one act.
func (r *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var a act
	if json.NewDecoder(req.Body).Decode(&a) != nil || a.Task != leasedTask {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.terms {
		if t.first.Process == a.Process && t.first.Fence == a.Fence {
			t.last = a
			t.acts++
			return
		}
	}
	r.terms = append(r.terms, &term{first: a, last: a, acts: 1})
	r.rec.log("receiver: first act of %s with fencing token %d", a.Process, a.Fence)
}

// holder returns the process that acted within the last 200 ms and has the highest fencing token, or "".
func (r *receiver) holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest *term
	for _, t := range r.terms {
		if newest == nil || t.first.Fence > newest.first.Fence {
			newest = t
		}
	}
	if newest == nil {
		return ""
	}
	return newest.first.Process
}

// awaitHolder waits until the named process has acted under the newest fencing token.
func (r *receiver) awaitHolder(process string) error {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if r.holder() == process {
			return nil
		}
	}
	return errors.New(process + " did not act within 20 s")
}

// overlap returns for how long two processes believed at the same time that they held the task, and which.
func (r *receiver) overlap() (longest time.Duration, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.terms {
		r.rec.log("receiver: %s acted %d times with fencing token %d, from %.3f s to %.3f s of the machine's clock",
			a.first.Process, a.acts, a.first.Fence, a.first.Mono.Seconds(), a.last.Mono.Seconds())
		for _, b := range r.terms[:i] {
			both := min(a.last.Mono, b.last.Mono) - max(a.first.Mono, b.first.Mono)
			if a.first.Process != b.first.Process && both > longest {
				longest, text = both, fmt.Sprintf("%s and %s", b.first.Process, a.first.Process)
			}
		}
	}
	return longest, text
}

// playHolders plays a control plane of three servers and two workers. The operators save the state, define a
// leased task, restore the state that they saved, define the task again, now with the other worker as the preferred
// one, and ask for its move there. Without the disruption they do the same, but restore nothing.
func playHolders(r *run) (broken string, err error) {
	c, err := newControlPlane(r)
	if err != nil {
		return "", err
	}
	defer c.kill(c.names...)
	if _, err := c.awaitHealthy(); err != nil {
		return "", err
	}
	place, err := startReceiver(r.rec)
	if err != nil {
		return "", err
	}
	var addresses []string
	for _, name := range c.names {
		addresses = append(addresses, c.http[name])
	}
	at := strings.Join(addresses, ",")
	for _, name := range []string{"w-1", "w-2"} {
		w, err := startProgram(r, filepath.Join(r.dir, name+".log"), "bin/lab", "worker", "--name", name, "--at", at, "--place", place.addr)
		if err != nil {
			return "", err
		}
		defer w.kill()
	}
	if err := c.awaitSessions("w-1", "w-2"); err != nil {
		return "", err
	}
	saved := filepath.Join(r.dir, "saved.json")
	if err := operate(r, at, "snapshot", "save", saved); err != nil {
		return "", err
	}
	if err := operate(r, at, "duties", "define", leasedTask, "--ttl", leaseTTL.String(), "--process", "w-1"); err != nil {
		return "", err
	}
	if err := place.awaitHolder("w-1"); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if r.trouble {
		if err := operate(r, at, "snapshot", "restore", saved); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second) // longer than twice the lease
	if err := operate(r, at, "duties"); err != nil {
		return "", err
	}
	if err := operate(r, at, "duties", "define", leasedTask, "--ttl", leaseTTL.String(), "--process", "w-2"); err != nil {
		return "", err
	}
	// Where w-1 holds the task by the control plane's own account, it is asked to hand it over; after a restore
	// the command is rejected, as w-1 does not hold it there.
	_ = operate(r, at, "duties", "move", leasedTask, "--to", "w-2")
	if err := place.awaitHolder("w-2"); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	if err := operate(r, at, "duties", "show", leasedTask); err != nil {
		return "", err
	}
	if both, processes := place.overlap(); both > 0 {
		return fmt.Sprintf("%s both believed for %.1f s that they held the task", processes, both.Seconds()), nil
	}
	return "", nil
}

// awaitSessions waits until the processes have a session.
func (c *controlPlane) awaitSessions(processes ...string) error {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		var sessions []struct {
			Process string `json:"process"`
		}
		if err := call(http.MethodGet, c.http[c.names[0]], "/v1/sessions?consistent=1", nil, &sessions); err != nil {
			continue
		}
		open := map[string]bool{}
		for _, s := range sessions {
			open[s.Process] = true
		}
		missing := 0
		for _, process := range processes {
			if !open[process] {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return errors.New("the workers had no session within 20 s")
}
