package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one programme server in the list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// discovery is a sound discovery service: GET /v1/endpoints, with follow=1 as a watch.
type discovery struct {
	r  *run
	ln net.Listener

	mu      sync.Mutex
	seq     int64
	order   []string
	entries map[string]entry
	changed map[string]int64 // version of an entry's last change
	wake    chan struct{}    // closed at the next change
	// answerLate delays the first byte of each answer. silent, if it is not nil, is closed while
	// watches that were open at its closing write nothing more.
	answerLate time.Duration
	silent     chan struct{}
}

// newDiscovery starts a discovery service.
func (r *run) newDiscovery() *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("discovery: %v", err)
	}
	d := &discovery{r: r, ln: ln, seq: 40, entries: map[string]entry{}, changed: map[string]int64{},
		wake: make(chan struct{}), silent: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(ln)
	r.atEnd = append(r.atEnd, func() { server.Close() })
	return d
}

func (d *discovery) addr() string { return d.ln.Addr().String() }

// set adds or changes an entry.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.entries[e.Host]; !known {
		d.order = append(d.order, e.Host)
	}
	d.seq++
	d.entries[e.Host], d.changed[e.Host] = e, d.seq
	close(d.wake)
	d.wake = make(chan struct{})
}

// list returns the whole list.
func (d *discovery) list() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// since returns what changed after a version, or the whole list for version 0. The lock must be held.
func (d *discovery) since(version int64) object {
	hosts := []entry{}
	for _, host := range d.order {
		e := d.entries[host]
		if d.changed[host] > version && (version > 0 || e.Health != "gone") {
			hosts = append(hosts, e)
		}
	}
	return object{"seq": d.seq, "whole": version == 0, "hosts": hosts}
}

// ServeHTTP answers one call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/v1/endpoints" {
		http.NotFound(w, req)
		return
	}
	d.mu.Lock()
	late, silent := d.answerLate, d.silent
	d.mu.Unlock()
	time.Sleep(late)
	if req.URL.Query().Get("follow") != "1" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(d.list())
		return
	}
	version, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	d.r.say("discovery: a watch since %d", version)
	first := true
	for {
		d.mu.Lock()
		news, wake := d.since(version), d.wake
		send := first || d.seq > version
		version = d.seq
		d.mu.Unlock()
		if isClosed(silent) {
			<-req.Context().Done()
			return
		}
		if send {
			text, _ := json.Marshal(news)
			fmt.Fprintf(w, "%s\n", text)
			d.r.say("discovery: told version %d: %s", version, text)
		} else {
			fmt.Fprint(w, "\n")
		}
		first = false
		w.(http.Flusher).Flush()
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-silent:
		case <-req.Context().Done():
			return
		}
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
