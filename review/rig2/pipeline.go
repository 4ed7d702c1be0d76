package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline ends an agent as planned while it holds requests that a client sent at once on one connection.
func pipeline(r *run) {
	d := r.newDiscovery()
	var servers []*server
	for i := range 3 {
		s := r.newServer(d, fmt.Sprintf("s-%d", i+1), "kurume-main")
		s.service = 700 * time.Millisecond
		servers = append(servers, s)
	}
	a := r.newAgent("n1", d, settings(3, nil, nil))
	a.start()
	c, err := r.dial(a)
	if err != nil {
		r.cannot("connect: %v", err)
	}
	defer c.conn.Close()
	var ids []string
	var text strings.Builder
	for i := range 4 {
		id := newID()
		ids = append(ids, id)
		text.WriteString(vote(id, fmt.Sprintf("u%d", i), "key-"+id, 6*time.Second, 200))
	}
	if err := c.write(text.String()); err != nil {
		r.cannot("write: %v", err)
	}
	sent := time.Now()
	r.say("client: sent %d votes at once", len(ids))
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		a.signal(syscall.SIGTERM)
	}
	lost := false
	for _, id := range ids {
		if lost {
			r.breaks("id %s: taken before SIGTERM, never answered", id)
			continue
		}
		got := c.answer(sent.Add(6500 * time.Millisecond))
		r.say("client: id %s: %v", id, got)
		if got.err != nil {
			lost = true
			r.breaks("id %s: taken before SIGTERM, never answered: %v", id, got.err)
		}
	}
	if r.trouble && !a.waitEnd(8*time.Second) {
		r.say("the agent did not end")
	}
}
