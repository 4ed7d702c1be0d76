package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// settings returns the settings of a small deployment, in the form and with the figures of the wire
// page's example. read and vote change keys of the two classes.
func settings(replicas int, read, vote object) object {
	classes := []object{
		{"aimMs": 1200.0, "credit": 3.0, "effect": "free", "giveUpMs": 5000.0, "group": "all", "keyTtlMs": 5000.0,
			"lateShare": 0.0, "name": "schedule-read", "streamed": false},
		{"aimMs": 1500.0, "credit": 9.0, "effect": "guarded", "giveUpMs": 6000.0, "group": "all", "keyTtlMs": 12000.0,
			"lateShare": 0.0, "name": "vote-submit", "streamed": false},
	}
	for key, value := range read {
		classes[0][key] = value
	}
	for key, value := range vote {
		classes[1][key] = value
	}
	return object{
		"classes": classes,
		"clients": object{"marksRetry": true},
		"contract": object{"answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.13, "coldMs": 24000.0,
			"drainGraceMs": 500.0, "fallMultiple": 4.0, "tipAfterMs": 1000.0},
		"failureDomains": []string{"kurume-main", "yame-annex"},
		"family":         "mesh",
		"familyInfo":     object{"warmKeys": true},
		"index":          0,
		"limits": object{"cancelling": true, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 10184,
			"keepaliveMs": 30000.0, "maxAttempts": 6, "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 25462,
			"parallelTries": true, "peerMessages": false, "probing": true, "retryAfter": true},
		"membershipMode": "on_request",
		"objectiveMix":   object{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
		"overShareWorth": 0.1,
		"prices": object{"connection": 0.0, "crossZone": 0.1, "handshake": 0.0, "lateFail": 0.023, "membershipMode": 0.0,
			"moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.25},
		"replicasOfMe": replicas,
		"report":       object{"how": "on_probe", "names": []string{"util", "inflight"}},
		"roundMs":      5.0,
		"shapes":       []string{"fast-single", "slow-single"},
		"tenants":      []object{},
		"tier":         0,
		"tiers":        []string{"prog-servers"},
		"weights":      "nominal",
		"worthBy":      "request",
		"zone":         0,
	}
}

// freeAddress returns a loopback address that nobody listens on.
func (r *run) freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// agent is one agent's process.
type agent struct {
	r      *run
	name   string
	addr   string
	config object
	path   string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// newAgent returns an agent that is not started.
func (r *run) newAgent(name string, d *discovery, settings object) *agent {
	dir, err := os.MkdirTemp("", "rig2")
	if err != nil {
		r.cannot("no temporary folder: %v", err)
	}
	r.atEnd = append(r.atEnd, func() { os.RemoveAll(dir) })
	a := &agent{r: r, name: name, addr: r.freeAddress(), path: filepath.Join(dir, "config.json")}
	a.config = object{"name": name, "listen": a.addr, "discovery": d.addr(), "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":    d.list(),
		"settings": settings}
	a.writeConfig()
	return a
}

// writeConfig writes the configuration file.
func (a *agent) writeConfig() {
	text, err := json.Marshal(a.config)
	if err == nil {
		err = os.WriteFile(a.path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(a.path+".new", a.path)
	}
	if err != nil {
		a.r.cannot("configuration: %v", err)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the agent with the deploy file's command and waits until it is ready.
func (a *agent) start() {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		a.r.cannot("deploy file: %v", err)
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		a.r.cannot("deploy file: no run")
	}
	a.cmd = exec.Command("/bin/sh", "-c", string(line[1]))
	log, err := os.Create(a.path + ".log")
	if err != nil {
		a.r.cannot("log: %v", err)
	}
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+a.path, "EDGE_NAME="+a.name, "EDGE_LISTEN="+a.addr,
		"EDGE_DISCOVERY="+fmt.Sprint(a.config["discovery"]))
	if err := a.cmd.Start(); err != nil {
		a.r.cannot("agent: %v", err)
	}
	a.ended = make(chan struct{})
	ended, cmd := a.ended, a.cmd
	go func() {
		cmd.Wait()
		a.r.say("agent %s ended: %v", a.name, cmd.ProcessState)
		log.Close()
		close(ended)
	}()
	a.r.atEnd = append(a.r.atEnd, func() {
		cmd.Process.Kill()
		<-ended
		if text, err := os.ReadFile(a.path + ".log"); err == nil {
			a.r.say("log of agent %s:\n%s", a.name, text)
		}
	})
	for since := time.Now(); time.Since(since) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + a.addr + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				a.r.say("agent %s is ready", a.name)
				http.DefaultClient.CloseIdleConnections()
				return
			}
		}
	}
	a.r.cannot("the agent was not ready within 30 s")
}

// signal sends a signal to the agent's process.
func (a *agent) signal(s syscall.Signal) {
	a.r.say("%v to agent %s", s, a.name)
	if err := a.cmd.Process.Signal(s); err != nil {
		a.r.cannot("signal: %v", err)
	}
}

// waitEnd waits for the end of the process.
func (a *agent) waitEnd(limit time.Duration) bool {
	select {
	case <-a.ended:
		return true
	case <-time.After(limit):
		return false
	}
}
