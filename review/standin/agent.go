package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// settings is the settings object of the wire page's example, which is one of the deployment
// chikugo-studio.
const settings = `{"classes": [{"aimMs": 1200.0, "credit": 3.0, "effect": "free", "giveUpMs": 5000.0, "group": "all", "keyTtlMs": 5000.0, "lateShare": 0.0, "name": "schedule-read", "streamed": false}, {"aimMs": 1500.0, "credit": 9.0, "effect": "guarded", "giveUpMs": 6000.0, "group": "all", "keyTtlMs": 12000.0, "lateShare": 0.0, "name": "vote-submit", "streamed": false}],
 "clients": {"marksRetry": true},
 "contract": {"answerSlackMs": 20.0, "askWithinMs": 10000.0, "coldFrom": 0.13, "coldMs": 24000.0, "drainGraceMs": 500.0, "fallMultiple": 4.0, "tipAfterMs": 1000.0},
 "failureDomains": ["kurume-main", "yame-annex"],
 "family": "mesh", "familyInfo": {"warmKeys": true}, "index": 0,
 "limits": {"cancelling": true, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 10184, "keepaliveMs": 30000.0, "maxAttempts": 6, "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 25462, "parallelTries": true, "peerMessages": false, "probing": true, "retryAfter": true},
 "membershipMode": "on_request",
 "objectiveMix": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
 "overShareWorth": 0.1,
 "prices": {"connection": 0.0, "crossZone": 0.1, "handshake": 0.0, "lateFail": 0.023, "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.25},
 "replicasOfMe": 3, "report": {"how": "on_probe", "names": ["util", "inflight"]},
 "roundMs": 5.0, "shapes": ["fast-single", "slow-single"], "tenants": [], "tier": 0, "tiers": ["prog-servers"],
 "weights": "nominal", "worthBy": "request", "zone": 0}`

// limits are the limits of an agent, as the configuration states them.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// agent is a real agent, started by the command of the deploy file.
type agent struct {
	*process
	listen string
}

// startAgent starts an agent in the folder root, with the list of d as its known list, and waits until it is
// ready. It puts the agent's files into dir.
func startAgent(root, dir string, d *discovery, l limits) (*agent, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml: no run command")
	}
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	listen := addresses[0]
	config, err := json.MarshalIndent(map[string]any{"name": "n1", "listen": listen, "discovery": d.addr,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": l, "known": d.list,
		"settings": json.RawMessage(settings)}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o644); err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "agent.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	a := &agent{listen: listen}
	cmd := exec.Command("/bin/sh", "-c", string(run[1]))
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+d.addr,
		"EDGE_CONFIG="+path, "TMPDIR="+tmp)
	if a.process, err = startProcess(cmd); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return a, nil
			}
		}
		if a.hasEnded() {
			return nil, fmt.Errorf("the agent ended at its start: %v", a.err)
		}
	}
	a.kill()
	return nil, errors.New("the agent was not ready within 10 s")
}

// memoryMB returns the memory of the agent's process (VmRSS) in MB, or 0 if the process has ended.
func (a *agent) memoryMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(status), "VmRSS:")
	kb := 0
	if _, err := fmt.Sscan(rest, &kb); !found || err != nil {
		return 0
	}
	return float64(kb) / 1024
}
