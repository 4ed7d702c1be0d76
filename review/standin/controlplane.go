package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// controlPlane is a control plane of three servers, each with a data folder of its own. All other settings
// have their default values.
type controlPlane struct {
	r         *run
	names     []string
	http      map[string]string   // HTTP address by name
	processes map[string]*process // the running servers by name
}

// status holds the fields of a server's status that the cases use.
type status struct {
	State     string   `json:"state"`
	Applied   uint64   `json:"applied"`
	Committed uint64   `json:"committed"`
	Voters    []string `json:"voters"`
}

// client has a time limit that is longer than the control plane's own.
var client = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// newControlPlane writes the configuration of three servers and starts them.
func newControlPlane(r *run) (*controlPlane, error) {
	addresses, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	c := &controlPlane{r: r, http: map[string]string{}, processes: map[string]*process{}}
	raft := map[string]string{}
	for i := range 3 {
		name := fmt.Sprintf("st-%d", i+1)
		c.names = append(c.names, name)
		c.http[name], raft[name] = addresses[2*i], addresses[2*i+1]
	}
	for _, name := range c.names {
		text := fmt.Sprintf("name = %q\ndata = %q\nlisten = %q\nraft = %q\n", name, c.data(name), c.http[name], raft[name])
		for _, peer := range c.names {
			if peer != name {
				text += fmt.Sprintf("[peers.%s]\nhttp = %q\nraft = %q\n", peer, c.http[peer], raft[peer])
			}
		}
		if err := os.WriteFile(filepath.Join(r.dir, name+".toml"), []byte(text), 0o644); err != nil {
			return nil, err
		}
		if err := c.start(name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// data returns the data folder of a server.
func (c *controlPlane) data(name string) string { return filepath.Join(c.r.dir, "data-"+name) }

// log returns the name of a server's log.
func (c *controlPlane) log(name string) string { return filepath.Join(c.r.dir, name+".log") }

// start starts a server.
func (c *controlPlane) start(name string) (err error) {
	c.processes[name], err = startProgram(c.r, c.log(name), "bin/controlplane", "serve", "--config", filepath.Join(c.r.dir, name+".toml"))
	return err
}

// kill ends servers by SIGKILL.
func (c *controlPlane) kill(names ...string) {
	for _, name := range names {
		if p := c.processes[name]; p != nil {
			p.kill()
			delete(c.processes, name)
		}
	}
}

// status returns the status of a server.
func (c *controlPlane) status(name string) (s status, err error) {
	return s, call(http.MethodGet, c.http[name], "/v1/status", nil, &s)
}

// awaitHealthy waits until one of three voters leads and all have applied what it has committed. It returns the
// name of the leader.
func (c *controlPlane) awaitHealthy() (leader string, err error) {
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		leader, healthy, committed := "", 0, uint64(0)
		all := map[string]status{}
		for _, name := range c.names {
			s, err := c.status(name)
			if err != nil {
				break
			}
			all[name] = s
			if s.State == "leader" && len(s.Voters) == len(c.names) {
				leader, committed = name, s.Committed
			}
		}
		for _, s := range all {
			if s.Applied >= committed {
				healthy++
			}
		}
		if leader != "" && healthy == len(c.names) {
			return leader, nil
		}
	}
	return "", fmt.Errorf("the control plane was not healthy within 30 s")
}

// awaitLeader waits until a server says that it leads, and returns its name.
func (c *controlPlane) awaitLeader() (string, error) {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, name := range c.names {
			if s, err := c.status(name); err == nil && s.State == "leader" {
				return name, nil
			}
		}
	}
	return "", fmt.Errorf("no leader within 20 s")
}

// others returns the names of the servers other than the given one.
func (c *controlPlane) others(name string) (others []string) {
	for _, other := range c.names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// register registers a programme server. If it returns no error, the control plane has acknowledged the write.
func (c *controlPlane) register(via, name string, bornMs int) error {
	entry := host{Host: name, Dial: "127.0.0.1:9", Site: "kurume-main", Class: "fast-single", Health: "ready", Share: 1, BornMs: float64(bornMs)}
	return call(http.MethodPut, c.http[via], "/v1/servers/"+name, entry, nil)
}

// httpError is an answer with a status other than 2xx.
type httpError struct {
	status int
	text   string
}

func (e *httpError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.text) }

// call sends one request with a JSON body, or none if body is nil, and decodes the answer into dest unless that
// is nil.
func call(method, addr, path string, body, dest any) error {
	var text io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		text = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, text)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &httpError{resp.StatusCode, strings.TrimSpace(string(answer))}
	}
	if dest == nil {
		return nil
	}
	return json.Unmarshal(answer, dest)
}

// operate runs the operators' command line and records it with what it printed.
func operate(r *run, addr string, args ...string) error {
	cmd := exec.Command("bin/controlplane", append([]string{"--at", addr}, args...)...)
	cmd.Dir = r.root
	out, err := cmd.CombinedOutput()
	r.rec.log("operator: controlplane %s: %v\n%s", strings.Join(args, " "), err, out)
	return err
}
