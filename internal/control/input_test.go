package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startSingleServer starts a steward that stands startSingleServer, and returns where it answers.
func startSingleServer(t testing.TB) (*Server, string) {
	t.Helper()
	c := Defaults()
	c.Data, c.Raft, c.Heartbeat = t.TempDir(), "127.0.0.1:0", 100*time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = ln.Addr().String()
	ln.Close()
	s, err := Start(context.Background(), &c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for end := time.Now().Add(time.Minute); s.fsm.revision() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never leads")
		}
	}
	return s, c.Listen
}

// FuzzHTTP: whatever is asked, a steward answers with one line and a status of its own, and
// stays one that leads, lists and takes the next write; what it refuses changes nothing.
func FuzzHTTP(f *testing.F) {
	good := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, seed := range [][3]string{
		{"PUT", "/v1/servers/x", good}, {"PUT", "/v1/servers/x", strings.Replace(good, "1,", "1e999,", 1)},
		{"PATCH", "/v1/servers/x", `{"share":2,"if":-1}`}, {"PATCH", "/v1/servers/x", `{"health":"draining"}`},
		{"DELETE", "/v1/servers/x?born_ms=NaN", ""}, {"POST", "/v1/servers/x/drain?born_ms=5", ""},
		{"POST", "/v1/renewals", `{"refs":[{"name":"x","born_ms":5}]}`}, {"POST", "/v1/seen", `{"seq":9007199254740993}`},
		{"PUT", "/v1/snapshot", `{"form":1,"seq":5,"entries":{"a":{}}}`}, {"PUT", "/v1/peers/steward", ""},
		{"GET", "/v1/endpoints?since=9&consistent=1", ""}, {"GET", "/v1/servers/%00", ""}, {"POST", "/v1/guard/confirm", "[]"},
		{"GET", "/metrics", ""}, {"GET", "/v1/status", "{"},
	} {
		f.Add(seed[0], seed[1], seed[2])
	}
	s, _ := startSingleServer(f)
	handler := s.handler()
	f.Fuzz(func(t *testing.T, method, path, text string) {
		req, err := http.NewRequest(method, "http://a/"+strings.TrimPrefix(path, "/"), strings.NewReader(text))
		if err != nil || req.URL.Query().Get("follow") == "1" {
			return // no request at all; or a watch, which has no end of its own
		}
		req.RequestURI = req.URL.RequestURI()
		before := s.fsm.revision()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		said := w.Body.String()
		switch {
		case w.Code/100 == 4:
			if strings.Count(said, "\n") != 1 || len(said) > 2000 {
				t.Errorf("%s %q %q: %d %q", method, path, text, w.Code, said)
			}
			if s.fsm.revision() != before {
				t.Errorf("%s %q %q: refused with %d, and the version went from %d to %d", method, path, text, w.Code, before, s.fsm.revision())
			}
		case w.Code/100 == 5 && w.Code != http.StatusServiceUnavailable && w.Code != http.StatusInsufficientStorage:
			t.Errorf("%s %q %q: %d %q", method, path, text, w.Code, said)
		}
		if s.fsm.revision() < before || s.fsm.revision() > maxRevision {
			t.Fatalf("%s %q %q: the version went from %d to %d", method, path, text, before, s.fsm.revision())
		}
		select {
		case err := <-s.fatalErrors:
			t.Fatalf("%s %q %q ended the steward: %v", method, path, text, err)
		default:
		}
	})
}

// Senders that are slow, stop half way or send no proper request hold up nobody and are
// done with in a bounded time; nothing of what they sent has an effect.
func TestSlowSenders(t *testing.T) {
	s, addr := startSingleServer(t)
	before := s.fsm.revision()
	body := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	head := fmt.Sprintf("PUT /v1/servers/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
	type end struct {
		what string
		said string
		took time.Duration
	}
	ends := make(chan end)
	for what, pieces := range map[string][]string{
		"half a head": {head[:30]}, "half a body": {head, body[:40]}, "no body": {head},
		"drop by drop": append([]string{head}, strings.Split(body, "")...), // 100 ms each: longer than a body may take
		"no request":   {"\x16\x03\x01\r\n\r\n"},
	} {
		go func() {
			began := time.Now()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				ends <- end{what, err.Error(), 0}
				return
			}
			defer c.Close()
			go func() {
				for _, p := range pieces {
					if _, err := io.WriteString(c, p); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
			_ = c.SetReadDeadline(began.Add(30 * time.Second))
			text, _ := io.ReadAll(c)
			ends <- end{what, string(text), time.Since(began)}
		}()
	}
	// Meanwhile others are served.
	client := NewClient([]string{addr}, 5*time.Second)
	for range 20 {
		if _, err := client.List(t.Context()); err != nil {
			t.Errorf("beside slow senders: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for range 5 {
		e := <-ends
		if e.took > 20*time.Second || e.said != "" && !strings.Contains(e.said, " 400 ") && !strings.Contains(e.said, " 408 ") {
			t.Errorf("%s: after %v %q", e.what, e.took, e.said)
		}
	}
	if s.fsm.revision() != before {
		t.Errorf("the version went from %d to %d", before, s.fsm.revision())
	}
}
