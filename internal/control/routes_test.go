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

// Any request gets an answer of one line with a status that the API uses; the server goes on
// leading, and a request that it rejects changes nothing.
func FuzzHTTP(f *testing.F) {
	good := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, seed := range []apiRequest{
		{"PUT", "/v1/servers/x", good}, {"PUT", "/v1/servers/x", strings.Replace(good, "1,", "1e999,", 1)},
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
	f.Fuzz(func(t *testing.T, method, path, text string) {
		req, err := http.NewRequest(method, "http://a/"+strings.TrimPrefix(path, "/"), strings.NewReader(text))
		if err != nil || req.URL.Query().Get("follow") == "1" {
			return // not a valid request, or a watch, which doesn't end by itself
		}
		req.RequestURI = req.URL.RequestURI()
		before := server.fsm.revision()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		answer := w.Body.String()
		switch {
		case w.Code/100 == 4:
			if strings.Count(answer, "\n") != 1 || len(answer) > 2000 {
				t.Errorf("%s %q %q: %d %q", method, path, text, w.Code, answer)
			}
			if server.fsm.revision() != before {
				t.Errorf("%s %q %q: rejected with %d, and the revision went from %d to %d", method, path, text, w.Code, before, server.fsm.revision())
			}
		case w.Code/100 == 5 && w.Code != http.StatusServiceUnavailable && w.Code != http.StatusInsufficientStorage:
			t.Errorf("%s %q %q: %d %q", method, path, text, w.Code, answer)
		}
		if server.fsm.revision() < before || server.fsm.revision() > maxRevision {
			t.Fatalf("%s %q %q: the revision went from %d to %d", method, path, text, before, server.fsm.revision())
		}
		select {
		case err := <-server.fatalErrors:
			t.Fatalf("%s %q %q ended the server: %v", method, path, text, err)
		default:
		}
	})
}

// Clients that send slowly, stop half way or send no valid request don't delay others and are cut off
// within a bounded time; nothing that they sent has an effect.
func TestSlowSendersAreCutOff(t *testing.T) {
	server, addr := startSingleServer(t)
	before := server.fsm.revision()
	body := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	head := fmt.Sprintf("PUT /v1/servers/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
	type outcome struct {
		name     string
		response string
		took     time.Duration
	}
	outcomes := make(chan outcome)
	for name, pieces := range map[string][]string{
		"half a head": {head[:30]}, "half a body": {head, body[:40]}, "no body": {head},
		"drop by drop": append([]string{head}, strings.Split(body, "")...), // 100 ms each: longer than a body may take
		"no request":   {"\x16\x03\x01\r\n\r\n"},
	} {
		go func() {
			began := time.Now()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				outcomes <- outcome{name, err.Error(), 0}
				return
			}
			defer conn.Close()
			go func() {
				for _, p := range pieces {
					if _, err := io.WriteString(conn, p); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
			_ = conn.SetReadDeadline(began.Add(30 * time.Second))
			text, _ := io.ReadAll(conn)
			outcomes <- outcome{name, string(text), time.Since(began)}
		}()
	}
	// Other clients are served meanwhile.
	client := NewClient([]string{addr}, 5*time.Second)
	for range 20 {
		if _, err := client.List(t.Context()); err != nil {
			t.Errorf("while others send slowly: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for range 5 {
		got := <-outcomes
		if got.took > 20*time.Second || got.response != "" && !strings.Contains(got.response, " 400 ") && !strings.Contains(got.response, " 408 ") {
			t.Errorf("%s: after %v %q", got.name, got.took, got.response)
		}
	}
	if server.fsm.revision() != before {
		t.Errorf("the revision went from %d to %d", before, server.fsm.revision())
	}
}
