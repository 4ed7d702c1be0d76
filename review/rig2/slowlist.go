package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["slowlist"] = slowlist }

// slowlist has a slow discovery: it takes some seconds until it answers a call, and answers every call. An agent
// starts with a current list; later a programme server drains.
func slowlist(r *run) {
	late := 4 * time.Second
	if text := os.Getenv("LATE_MS"); text != "" {
		n, _ := strconv.Atoi(text)
		late = time.Duration(n) * time.Millisecond
	}
	d := r.newDiscovery()
	var mu sync.Mutex
	var arrivals []time.Time // of requests at s-1
	for i := range 4 {
		s := r.newServer(d, fmt.Sprintf("s-%d", i+1), []string{"kurume-main", "yame-annex"}[i%2])
		if i == 0 {
			s.work = func(s *server, c net.Conn, q *query) bool {
				mu.Lock()
				arrivals = append(arrivals, q.arrived)
				mu.Unlock()
				return answer(s, c, q)
			}
		}
	}
	first := d.entries["s-1"]
	if r.trouble {
		d.answerLate = late
	}
	a := r.newAgent("n1", d, settings(3, nil, nil))
	a.start()
	var done sync.WaitGroup
	done.Go(func() { r.load(a, 3, 30, func(int, string, reply) {}) })
	time.Sleep(10 * time.Second)
	first.Health = "draining"
	d.set(first)
	drainAt := time.Now()
	r.say("s-1 drains from now on; it completes what it holds, and stays up")
	done.Wait()
	// The change counts as told 6 s after discovery had it; then there are 500 ms of grace and 50 ms on sockets.
	bound := drainAt.Add(6*time.Second + 500*time.Millisecond + 50*time.Millisecond)
	before, after := 0, 0
	var last time.Time
	for _, at := range arrivals {
		switch {
		case at.Before(drainAt):
			before++
		case at.After(bound):
			after++
			last = at
		}
	}
	r.say("s-1 got %d requests before it drained, %d after the bound", before, after)
	if before == 0 {
		r.cannot("s-1 got no request before it drained")
	}
	if after > 0 {
		r.breaks("s-1 got %d requests later than 6.55 s after it began to drain, the last %.1f s after", after, last.Sub(drainAt).Seconds())
	}
}
