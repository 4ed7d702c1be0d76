package main

import (
	"fmt"
	"net"
	"sync/atomic"
)

func init() { cases["spoilt"] = spoilt }

// spoilt has programme servers send some answers in a form that HTTP/1.1 does not allow, and close the connection:
// a transfer coding in an answer of HTTP/1.0, or a blank between the field's name and its colon.
func spoilt(r *run) {
	d := r.newDiscovery()
	var answered, bad atomic.Int64
	for i := range 3 {
		s := r.newServer(d, fmt.Sprintf("s-%d", i+1), []string{"kurume-main", "yame-annex"}[i%2])
		s.work = func(s *server, c net.Conn, q *query) bool {
			body := s.execute(q)
			n := answered.Add(1)
			if !r.trouble || n <= 20 || n%20 != 0 {
				_, err := c.Write(whole(body))
				return err == nil
			}
			head := "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			if bad.Add(1)%2 == 0 {
				head = "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
			}
			text := fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
			r.say("%s: spoilt answer to id %s: %q", s.name, q.id, text)
			fmt.Fprint(c, text)
			return false
		}
	}
	a := r.newAgent("n1", d, settings(3, nil, nil))
	a.start()
	r.load(a, 4, spoiltSeconds, func(client int, id string, got reply) {
		if got.err == nil && got.status == 200 && got.body != string(bodyOf(id)) {
			r.breaks("client %d: id %s was answered with 200 and the body %q; its server had made %q", client, id, got.body, bodyOf(id))
		}
	})
	r.say("%d spoilt answers", bad.Load())
}

const spoiltSeconds = 15
