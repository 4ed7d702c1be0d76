package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is one entry of the list of servers, in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// list is a list of servers, in discovery's form.
type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a stand-in for discovery: it serves the whole list and watches, as the protocol page says. The
// list does not change.
type discovery struct {
	addr string
	rec  *record
	list list
}

// startDiscovery serves the hosts on a free loopback address.
func startDiscovery(rec *record, hosts []host) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), rec: rec, list: list{Seq: 41, Whole: true, Hosts: hosts}}
	go http.Serve(ln, d)
	return d, nil
}

// ServeHTTP answers a call for the list, or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	d.rec.log("discovery: %s", r.URL.RequestURI())
	_ = json.NewEncoder(w).Encode(d.list)
	for r.URL.Query().Get("follow") == "1" && r.Context().Err() == nil {
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "\n")
	}
}

// server is a stand-in for a programme server. It runs each request for the time work and answers 200 with
// the request's id.
type server struct {
	name string
	rec  *record
	work time.Duration
}

// startServers starts n servers and returns their entries of the list.
func startServers(rec *record, n int, work time.Duration) ([]host, error) {
	var hosts []host
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &server{name: fmt.Sprintf("s-%d", i+1), rec: rec, work: work}
		go (&http.Server{Handler: s, IdleTimeout: 30 * time.Second}).Serve(ln)
		hosts = append(hosts, host{Host: s.name, Dial: ln.Addr().String(), Site: "kurume-main", Class: "fast-single",
			Block: i / 4, Health: "ready", Share: 1})
	}
	return hosts, nil
}

// ServeHTTP runs one request, or answers a probe.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		return
	case "/status/load":
		_, _ = io.WriteString(w, "TEXT util=0.3, inflight=1")
		return
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.rec.log("server %s: runs %s: %s %s, Request-Timeout %s", s.name, id, r.Method, r.URL.Path, r.Header.Get("Request-Timeout"))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.log("server %s: %s was given up", s.name, id)
		return
	}
	s.rec.log("server %s: answers %s", s.name, id)
	_, _ = io.WriteString(w, "answer to "+id)
}
