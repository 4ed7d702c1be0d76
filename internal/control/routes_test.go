package control

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The server doesn't fail on any request: it answers with a status that the API uses, and with one
// line if it rejects the request. A rejected request changes nothing.
func FuzzHTTP(f *testing.F) {
	validEntry := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, seed := range []apiRequest{
		{"PUT", "/v1/servers/x", validEntry}, {"PUT", "/v1/servers/x", strings.Replace(validEntry, "1,", "1e999,", 1)},
		{"PATCH", "/v1/servers/x", `{"share":2,"if":-1}`}, {"PATCH", "/v1/servers/x", `{"health":"draining"}`},
		{"DELETE", "/v1/servers/x?born_ms=NaN", ""}, {"POST", "/v1/servers/x/drain?born_ms=5", ""},
		{"POST", "/v1/renewals", `{"refs":[{"name":"x","born_ms":5}]}`}, {"POST", "/v1/seen", `{"seq":9007199254740993}`},
		{"PUT", "/v1/snapshot", `{"form":1,"seq":5,"entries":{"a":{}}}`}, {"PUT", "/v1/peers/steward", ""},
		{"GET", "/v1/endpoints?since=9&consistent=1", ""}, {"GET", "/v1/servers/%00", ""}, {"POST", "/v1/guard/confirm", "[]"},
		{"GET", "/metrics", ""}, {"GET", "/v1/status", "{"},
	} {
		f.Add(seed.method, seed.path, seed.body)
	}
	server, _ := startSingleServer(f)
	handler := server.handler()
	f.Fuzz(func(t *testing.T, method, path, body string) {
		req, err := http.NewRequest(method, "http://a/"+strings.TrimPrefix(path, "/"), strings.NewReader(body))
		if err != nil || req.URL.Query().Get("follow") == "1" {
			return // an invalid request, or a watch, which doesn't end on its own
		}
		req.RequestURI = req.URL.RequestURI()
		before := server.fsm.revision()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		response := w.Body.String()
		switch {
		case w.Code/100 == 4:
			if strings.Count(response, "\n") != 1 || len(response) > 2000 {
				t.Errorf("%s %q %q: status %d, response %q, want one line of at most 2000 bytes", method, path, body, w.Code, response)
			}
			if server.fsm.revision() != before {
				t.Errorf("%s %q %q: rejected with status %d, but the revision went from %d to %d", method, path, body, w.Code, before, server.fsm.revision())
			}
		case w.Code/100 == 5 && w.Code != http.StatusServiceUnavailable && w.Code != http.StatusInsufficientStorage:
			t.Errorf("%s %q %q: unexpected status %d, response %q", method, path, body, w.Code, response)
		}
		if server.fsm.revision() < before || server.fsm.revision() > maxRevision {
			t.Fatalf("%s %q %q: the revision went from %d to %d", method, path, body, before, server.fsm.revision())
		}
		select {
		case err := <-server.fatalErrors:
			t.Fatalf("%s %q %q: fatal error: %v", method, path, body, err)
		default:
		}
	})
}

// Clients that send slowly, stop in the middle of a request or send an invalid request don't delay other
// clients, and are disconnected within a bounded time. Their requests have no effect.
func TestSlowSendersAreCutOff(t *testing.T) {
	server, addr := startSingleServer(t)
	before := server.fsm.revision()
	body := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	header := fmt.Sprintf("PUT /v1/servers/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
	type outcome struct {
		name     string
		response string
		elapsed  time.Duration
	}
	outcomes := make(chan outcome)
	for name, chunks := range map[string][]string{
		"half a header": {header[:30]}, "half a body": {header, body[:40]}, "no body": {header},
		"byte by byte": append([]string{header}, strings.Split(body, "")...), // at 100 ms per byte, which takes longer than bodyTimeout
		"not HTTP":     {"\x16\x03\x01\r\n\r\n"},
	} {
		go func() {
			start := time.Now()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				outcomes <- outcome{name, err.Error(), 0}
				return
			}
			defer conn.Close()
			go func() {
				for _, chunk := range chunks {
					if _, err := io.WriteString(conn, chunk); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
			_ = conn.SetReadDeadline(start.Add(30 * time.Second))
			text, _ := io.ReadAll(conn)
			outcomes <- outcome{name, string(text), time.Since(start)}
		}()
	}
	// Other clients are served in the meantime.
	client := NewClient([]string{addr}, 5*time.Second)
	for range 20 {
		if _, err := client.List(t.Context()); err != nil {
			t.Errorf("request while other clients send slowly: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for range 5 {
		got := <-outcomes
		if got.elapsed > 20*time.Second || got.response != "" && !strings.Contains(got.response, " 400 ") && !strings.Contains(got.response, " 408 ") {
			t.Errorf("%s: after %v, response %q; want status 400 or 408 or a closed connection within 20 s", got.name, got.elapsed, got.response)
		}
	}
	if server.fsm.revision() != before {
		t.Errorf("slow senders changed the revision from %d to %d", before, server.fsm.revision())
	}
}
