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
	texts := map[string]string{}
	var text strings.Builder
	for i := range 4 {
		id := newID()
		ids = append(ids, id)
		texts[id] = vote(id, fmt.Sprintf("u%d", i), "key-"+id, 6*time.Second, 200)
		text.WriteString(texts[id])
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
	closed := false
	for _, id := range ids {
		var got reply
		if !closed {
			got = c.answer(sent.Add(6500 * time.Millisecond))
			r.say("client: id %s: %v", id, got)
			closed = got.err != nil
		}
		if closed { // the agent has ended the connection: once more, on a new one
			again, err := r.dial(a)
			if err != nil {
				got.err = err
			} else {
				got = again.ask(texts[id], time.Until(sent.Add(6500*time.Millisecond)))
				again.conn.Close()
			}
			r.say("client: id %s, sent once more on a new connection: %v", id, got)
		}
		if got.err != nil {
			r.breaks("id %s: taken before SIGTERM, never answered, also not on a new connection: %v", id, got.err)
		}
	}
	if r.trouble && !a.waitEnd(8*time.Second) {
		r.say("the agent did not end")
	}
}
