package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["second"] = second }

// second has programme servers send a second copy of some answers some milliseconds after the first.
func second(r *run) {
	late := 12 * time.Millisecond
	if text := os.Getenv("LATE_MS"); text != "" {
		n, _ := strconv.Atoi(text)
		late = time.Duration(n) * time.Millisecond
	}
	d := r.newDiscovery()
	var answered, spoilt atomic.Int64
	for i := range 3 {
		s := r.newServer(d, fmt.Sprintf("s-%d", i+1), []string{"kurume-main", "yame-annex"}[i%2])
		s.work = func(s *server, c net.Conn, q *query) bool {
			body := s.execute(q)
			if _, err := c.Write(whole(body)); err != nil {
				return false
			}
			if n := answered.Add(1); r.trouble && n > 100 && n%20 == 0 {
				spoilt.Add(1)
				time.AfterFunc(late, func() {
					_, err := c.Write(whole(body))
					r.say("%s: second answer to id %s, %v after the first: %v", s.name, q.id, late, err)
				})
			}
			return true
		}
	}
	a := r.newAgent("n1", d, settings(3, nil, nil))
	a.start()
	r.load(a, 4, 20, func(client int, id string, got reply) {
		if got.err == nil && got.status == 200 && got.body != string(bodyOf(id)) {
			r.breaks("client %d: id %s was answered with %q", client, id, got.body)
		}
	})
	r.say("%d second answers, %d foreign answers", spoilt.Load(), len(r.broken))
}
