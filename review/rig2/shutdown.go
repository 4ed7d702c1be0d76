package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = shutdown }

// shutdown ends an agent as planned (SIGTERM) while half of the programme servers hang. Clients connect up to
// 0.4 s after the signal and send on these connections, which the agent keeps open.
func shutdown(r *run) {
	const longest = 2 * time.Second // the longest deadline of any class
	d := r.newDiscovery()
	var servers []*server
	for i := range 4 {
		servers = append(servers, r.newServer(d, fmt.Sprintf("s-%d", i+1), []string{"kurume-main", "yame-annex"}[i%2]))
	}
	deadlines := object{"aimMs": 800.0, "giveUpMs": float64(longest.Milliseconds())}
	a := r.newAgent("n1", d, settings(3, deadlines, deadlines))
	a.start()
	warm, err := r.dial(a)
	if err != nil {
		r.cannot("connect: %v", err)
	}
	for i := range 60 {
		if got := warm.ask(read(newID(), fmt.Sprintf("warm%d", i), longest), 3*time.Second); got.status != 200 {
			r.cannot("a request before the disruption was not served: %v", got)
		}
	}
	warm.conn.Close()
	if r.trouble {
		r.say("s-1 and s-2 hang from now on")
		servers[0].hangs.Store(true)
		servers[1].hangs.Store(true)
	}
	a.signal(syscall.SIGTERM)
	termAt := time.Now()
	type asked struct {
		id    string
		sent  time.Time
		got   reply
		wrote error
	}
	results := make([]asked, 12)
	var done sync.WaitGroup
	for i := range results {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Until(termAt.Add(390 * time.Millisecond)))
			id := newID()
			results[i].id = id
			c, err := r.dial(a)
			if err != nil {
				r.say("client %d: no connection: %v", i, err)
				results[i].wrote = err
				return
			}
			defer c.conn.Close()
			if late := time.Since(termAt); late > 400*time.Millisecond {
				r.say("client %d: connected only %.3f s after SIGTERM, sends nothing", i, late.Seconds())
				results[i].wrote = errors.New("connected late")
				return
			}
			time.Sleep(time.Until(termAt.Add(600 * time.Millisecond)))
			results[i].wrote = c.write(read(id, fmt.Sprintf("key%d", i), longest))
			results[i].sent = time.Now()
			r.say("client %d: sent id %s %.3f s after SIGTERM: %v", i, id, time.Since(termAt).Seconds(), results[i].wrote)
			// An answer counts up to 0.5 s after the request's time.
			results[i].got = c.answer(results[i].sent.Add(longest + 500*time.Millisecond))
			r.say("client %d: id %s, %.3f s after its last byte: %v", i, id, time.Since(results[i].sent).Seconds(), results[i].got)
		}()
	}
	// SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s after SIGTERM.
	if !a.waitEnd(time.Until(termAt.Add(longest + 700*time.Millisecond + 300*time.Millisecond))) {
		a.signal(syscall.SIGKILL)
	}
	r.say("the agent's process ended %.3f s after SIGTERM", time.Since(termAt).Seconds())
	done.Wait()
	taken := 0
	for i, q := range results {
		attempts := 0
		for _, s := range servers {
			attempts += s.attempts(q.id)
		}
		if q.wrote != nil || attempts == 0 {
			continue // the connection was closed before the agent had read the request
		}
		taken++
		if q.got.err != nil {
			r.breaks("client %d: id %s was forwarded to a programme server and never answered: %v", i, q.id, q.got.err)
		}
	}
	r.say("%d of %d requests were taken and forwarded", taken, len(results))
	if taken == 0 {
		r.cannot("no request was taken after SIGTERM")
	}
}
