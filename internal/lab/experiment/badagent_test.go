package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// TestMain makes the test binary an agent when it is started as one: "agent honest", or
// "agent" and the rule that it breaks on purpose.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "agent" {
		if err := testAgent(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// proxy is a plain agent: one attempt a request, at each ready and warm server in turn.
type proxy struct {
	breaks string
	client *http.Transport
	turn   atomic.Int64
	mu     sync.Mutex
	hosts  map[string]endpoints.Endpoint
	stolen string // an old server that a drain doesn't keep it from
	cold   string
}

func testAgent(breaks string) error {
	text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	var conf struct {
		Known endpoints.List `json:"known"`
	}
	if err := json.Unmarshal(text, &conf); err != nil {
		return err
	}
	p := &proxy{breaks: breaks, client: &http.Transport{}, hosts: map[string]endpoints.Endpoint{}}
	p.learn(conf.Known)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go p.watch(ctx, conf.Known.Seq)
	s := &http.Server{Addr: os.Getenv("EDGE_LISTEN"), Handler: p}
	go func() {
		<-ctx.Done()
		_ = s.Shutdown(context.Background())
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (p *proxy) watch(ctx context.Context, since int64) {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + os.Getenv("EDGE_DISCOVERY") + "/v1/endpoints?follow=1&since=" + strconv.FormatInt(since, 10))
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var l endpoints.List
			if json.Unmarshal(lines.Bytes(), &l) == nil {
				since = l.Seq
				p.learn(l)
			}
		}
		resp.Body.Close()
	}
}

func (p *proxy) learn(l endpoints.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range l.Endpoints {
		if h.Health == "draining" {
			p.stolen = h.Dial
		} else if h.Dial == p.stolen {
			p.stolen = ""
		}
		if h.Health == "ready" && h.StartedMs > 0 {
			p.cold = h.Dial
		}
		p.hosts[h.Name] = h
	}
}

// choose picks the next server that is ready and has stood for long.
func (p *proxy) choose() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.breaks == "drain" && p.stolen != "" {
		return p.stolen
	}
	if p.breaks == "cold" && p.cold != "" {
		return p.cold
	}
	for range 4 * len(p.hosts) {
		h, ok := p.hosts[serverName(int(p.turn.Add(1))%len(p.hosts))]
		if ok && h.Health == "ready" && h.StartedMs == 0 {
			return h.Dial
		}
	}
	return ""
}

// send sends one attempt; the second result is false where no answer came.
func (p *proxy) send(r *http.Request, dial string, id string, body []byte) (int, string, bool) {
	// The body can't be had twice, so that the transport sends nothing again.
	out, _ := http.NewRequest(r.Method, "http://"+dial+r.RequestURI, io.NopCloser(bytes.NewReader(body)))
	out.ContentLength = int64(len(body))
	out.Header = http.Header{"Request-Id": {id}, "Request-Timeout": {r.Header.Get("Request-Timeout")}}
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		out.Header.Set("Idempotency-Key", k)
	}
	wait, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("Request-Timeout"), "u"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Microsecond*9/10)
	defer cancel()
	resp, err := p.client.RoundTrip(out.WithContext(ctx))
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err == nil
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	dial := p.choose()
	if dial == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := p.turn.Load()%10 == 0 // one in ten is where the rule is broken
	if p.breaks == "stranger" && now {
		p.send(r, dial, "made-up-"+id, body)
	}
	status, text, ok := p.send(r, dial, id, body)
	single := strings.HasPrefix(r.URL.Path, "/order/")
	switch {
	case p.breaks == "duplicate" && single:
		p.send(r, p.choose(), id, body)
	case p.breaks == "refuse" && single:
		status = http.StatusTooManyRequests
	case p.breaks == "again" && now:
		time.AfterFunc(150*time.Millisecond, func() { p.send(r.WithContext(context.Background()), p.choose(), id, body) })
	case p.breaks == "silent" && now:
		<-r.Context().Done()
		return
	case p.breaks == "lost" && now:
		panic(http.ErrAbortHandler)
	case p.breaks == "twice" && now && ok:
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		_, _ = io.WriteString(c, answer+answer)
		c.Close()
		return
	case p.breaks == "crash" && now:
		os.Exit(3)
	case p.breaks == "forged" && now:
		text = "all is well"
	}
	switch {
	case !ok:
		w.WriteHeader(http.StatusBadGateway)
	case status == http.StatusOK:
		_, _ = io.WriteString(w, text)
	default:
		w.WriteHeader(status)
	}
}
