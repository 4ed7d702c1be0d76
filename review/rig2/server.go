package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is one programme server. It works on a request once its last byte has arrived.
type server struct {
	r    *run
	name string
	site string
	ln   net.Listener

	// work handles one request: it writes the answer to c and returns whether the connection stays open.
	// nil stands for answer.
	work    func(s *server, c net.Conn, q *query) bool
	service time.Duration
	hangs   atomic.Bool   // it takes requests and answers none
	window  time.Duration // how long a repeat of a key is dropped

	mu   sync.Mutex
	open map[net.Conn]bool
	ids  map[string]int // attempts by request id
}

// query is one request that arrived at a server.
type query struct {
	method, uri, id, key string
	body                 []byte
	arrived              time.Time
	number               int // of the requests on its connection, from 0
}

// keys are the votes that were recorded, by key: all servers know what one of them has met.
type keys struct {
	mu  sync.Mutex
	met map[string]time.Time
	ran map[string]int
}

var votes = keys{met: map[string]time.Time{}, ran: map[string]int{}}

// newServer starts a programme server and lists it.
func (r *run) newServer(d *discovery, name, site string) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("server: %v", err)
	}
	s := &server{r: r, name: name, site: site, ln: ln, service: 20 * time.Millisecond, window: 12 * time.Second,
		open: map[net.Conn]bool{}, ids: map[string]int{}}
	go s.serve()
	r.atEnd = append(r.atEnd, s.close)
	d.set(s.entry("ready"))
	return s
}

// entry is the server's entry in the list.
func (s *server) entry(health string) entry {
	return entry{Host: s.name, Dial: s.ln.Addr().String(), Site: s.site, Class: "fast-single", Health: health, Share: 1}
}

func (s *server) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

func (s *server) serve() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		go s.handle(c)
	}
}

// attempts returns how many attempts of a request have arrived whole.
func (s *server) attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// handle answers the requests on one connection in turn.
func (s *server) handle(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for number := 0; ; {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		q := &query{method: req.Method, uri: req.RequestURI, id: req.Header.Get("Request-Id"),
			key: req.Header.Get("Idempotency-Key"), body: body, arrived: time.Now(), number: number}
		if q.id == "" {
			if req.URL.Path != "/status/load" && req.URL.Path != "/health" {
				io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if s.hangs.Load() {
				waitEnd(c)
				return
			}
			text := "TEXT inflight=0, util=0.1"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		number++
		s.mu.Lock()
		s.ids[q.id]++
		s.mu.Unlock()
		s.r.say("%s: got %s %s, id %s, %d bytes, timeout %s", s.name, q.method, q.uri, q.id, len(body), req.Header.Get("Request-Timeout"))
		if s.hangs.Load() {
			s.r.say("%s: hangs on id %s", s.name, q.id)
			waitEnd(c)
			return
		}
		work := s.work
		if work == nil {
			work = answer
		}
		if !work(s, c, q) || req.Close {
			return
		}
	}
}

// waitEnd waits until the peer ends the connection.
func waitEnd(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(60 * time.Second))
	io.Copy(io.Discard, c)
}

// execute does a request's work, and drops a repeat of a key within the window. It returns the body of the
// answer.
func (s *server) execute(q *query) []byte {
	ran := true
	if q.key != "" {
		votes.mu.Lock()
		if at, met := votes.met[q.key]; met && q.arrived.Sub(at) < s.window {
			ran = false
		} else {
			votes.met[q.key] = q.arrived
			votes.ran[q.key]++
		}
		votes.mu.Unlock()
	}
	time.Sleep(s.service)
	s.r.say("%s: id %s key %q ran %v", s.name, q.id, q.key, ran)
	return bodyOf(q.id)
}

// bodyOf is the body of the answer to a request.
func bodyOf(id string) []byte { return []byte("answer to " + id) }

// answer works on a request and answers it.
func answer(s *server, c net.Conn, q *query) bool {
	_, err := c.Write(whole(s.execute(q)))
	return err == nil
}

// whole is a plain answer with a body.
func whole(body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
