package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client is one connection of the application to its agent.
type client struct {
	r    *run
	conn net.Conn
	in   *bufio.Reader
}

// reply is what a client got for a request.
type reply struct {
	status int
	body   string
	closes bool
	err    error
	at     time.Time
}

var idCounter atomic.Int64

// newID returns a fresh request id.
func newID() string { return fmt.Sprintf("%016x", uint64(0x9b1f03aa00000000)+uint64(idCounter.Add(1))) }

// dial connects to the agent.
func (r *run) dial(a *agent) (*client, error) {
	conn, err := net.DialTimeout("tcp", a.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{r: r, conn: conn, in: bufio.NewReader(conn)}, nil
}

// read is the text of a schedule-read.
func read(id, key string, timeout time.Duration) string {
	return fmt.Sprintf("GET /schedule-read/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n\r\n",
		key, id, timeout.Milliseconds())
}

// vote is the text of a vote-submit with a body of a size.
func vote(id, key, idempotencyKey string, timeout time.Duration, size int) string {
	field := ""
	if idempotencyKey != "" {
		field = "Idempotency-Key: " + idempotencyKey + "\r\n"
	}
	return fmt.Sprintf("POST /vote-submit/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		key, id, timeout.Milliseconds(), field, size, strings.Repeat("v", size))
}

// write sends bytes.
func (c *client) write(text string) error {
	c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(c.conn, text)
	return err
}

// answer waits for an answer up to a time.
func (c *client) answer(until time.Time) reply {
	c.conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), closes: resp.Close, err: err, at: time.Now()}
}

// String tells what was answered.
func (p reply) String() string {
	if p.err != nil {
		return fmt.Sprintf("no whole answer (%v)", p.err)
	}
	return fmt.Sprintf("%d %q closes=%v", p.status, cut(p.body), p.closes)
}

func cut(text string) string {
	if len(text) > 80 {
		return text[:80] + "..."
	}
	return text
}

// ask sends one request and waits for its answer.
func (c *client) ask(text string, patience time.Duration) reply {
	sent := time.Now()
	if err := c.write(text); err != nil {
		return reply{err: err, at: time.Now()}
	}
	return c.answer(sent.Add(patience))
}

// load has clients send schedule-reads for some seconds, each one after the other with short rests, and passes each
// answer to check.
func (r *run) load(a *agent, clients, seconds int, check func(client int, id string, got reply)) {
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var served, other atomic.Int64
	var done sync.WaitGroup
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			var c *client
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = r.dial(a); err != nil {
						r.say("client %d: no connection: %v", i, err)
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id := newID()
				got := c.ask(read(id, fmt.Sprintf("k%d-%d", i, n%100), 5*time.Second), 6*time.Second)
				if got.err == nil && got.status == 200 {
					served.Add(1)
				} else {
					other.Add(1)
				}
				r.say("client %d: id %s: %v", i, id, got)
				check(i, id, got)
				if got.err != nil || got.closes {
					c.conn.Close()
					c = nil
				}
				time.Sleep(time.Duration(rand.Int64N(int64(60 * time.Millisecond))))
			}
			if c != nil {
				c.conn.Close()
			}
		}()
	}
	done.Wait()
	r.say("%d requests served, %d not", served.Load(), other.Load())
}
