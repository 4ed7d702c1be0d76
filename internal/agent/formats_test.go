package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/policy"
)

// The tests in this file pin the formats that an agent shares with other programs: the keys of its configuration,
// and the bytes of the requests and responses that it writes. A renamed Go identifier must not change them.

// fullConfig has every key of a configuration that the agent reads, except for the remaining settings, whose keys
// the tests of internal/simwire pin.
const fullConfig = `{
	"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.5, "memory_mb": 192, "sockets": 1024},
	"known": {"seq": 7, "whole": true, "hosts": [{"host": "s-0", "dial": "127.0.0.1:3", "site": "z1", "class": "k1",
		"block": 4, "health": "ready", "share": 1.25, "born_ms": 1700000000000, "service": "s"}]},
	"settings": {"classes": [{"name": "look", "aimMs": 100, "giveUpMs": 500, "effect": "free", "credit": 1},
			{"name": "order", "aimMs": 100, "giveUpMs": 500, "effect": "single_shot", "credit": 1}],
		"tenants": [{"name": "t0"}, {"name": "t1"}], "membershipMode": "on_request",
		"failureDomains": ["z0", "z1"], "shapes": ["k0", "k1", "k2"]},
	"stewards": ["127.0.0.1:4", "127.0.0.1:5"], "services": ["s", "u"], "log_level": "warn"}`

func TestEveryKeyOfAConfigurationIsRead(t *testing.T) {
	got, err := ParseConfig([]byte(fullConfig))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name: "n0", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Seed: 0x8c1f30d27a5be964,
		Limits: Limits{Cores: 1.5, MemoryMB: 192, Sockets: 1024},
		Settings: policy.Settings{Classes: []policy.Class{
			{Name: "look", TargetMs: 100, DeadlineMs: 500, Effect: policy.Idempotent, Credit: 1},
			{Name: "order", TargetMs: 100, DeadlineMs: 500, Effect: policy.NonIdempotent, Credit: 1}},
			Tenants: []policy.Tenant{{Name: "t0"}, {Name: "t1"}}, Membership: "on_request"},
		Names: nameIndex{zones: map[string]int{"z0": 0, "z1": 1}, kinds: map[string]int{"k0": 0, "k1": 1, "k2": 2},
			classes: map[string]int{"look": 0, "order": 1}, tenants: map[string]int{"t0": 0, "t1": 1}},
		CachedList: endpoints.List{Seq: 7, Full: true, Endpoints: []endpoints.Endpoint{{Name: "s-0", Dial: "127.0.0.1:3", Site: "z1",
			Class: "k1", Block: 4, Health: "ready", Weight: 1.25, StartedMs: 1700000000000, Service: "s"}}},
		ControlPlane: []string{"127.0.0.1:4", "127.0.0.1:5"}, Services: []string{"s", "u"}, LogLevel: slog.LevelWarn,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as\n%+v\nwant\n%+v", got, want)
	}
	v := reflect.ValueOf(*want)
	for i := range v.NumField() {
		if f := v.Type().Field(i); v.Field(i).IsZero() && f.Type != reflect.TypeFor[error]() {
			t.Errorf("fullConfig does not set %s", f.Name)
		}
	}
}

// An error names the key, or the environment variable that holds the path of the configuration.
func TestErrorsNameTheKey(t *testing.T) {
	if _, err := LoadConfig(""); err == nil || err.Error() != "EDGE_CONFIG: not set" {
		t.Errorf("no path: error %v", err)
	}
	if _, err := LoadConfig("/no/such/file"); err == nil || !strings.HasPrefix(err.Error(), "EDGE_CONFIG: ") {
		t.Errorf("missing file: error %v", err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"n0"`, `""`, `config: name: missing`},
		{`"n0"`, `3`, `config: name: cannot be a number`},
		{`"127.0.0.1:1"`, `"x"`, `config: listen: no address with a port: "x"`},
		{`"127.0.0.1:2"`, `"x:y"`, `config: discovery: no port number: "x:y"`},
		{`"8c1f30d27a5be964"`, `"x"`, `config: seed: not 64 bits in hexadecimal: "x"`},
		{`"cores": 1.5`, `"cores": 0`, `config: limits.cores: must be above 0 and at most 1024, is 0`},
		{`"memory_mb": 192`, `"memory_mb": 1`, `config: limits.memory_mb: must be 16 or above, is 1`},
		{`"sockets": 1024`, `"sockets": 1`, `config: limits.sockets: must be 64 or above, is 1`},
		{`"127.0.0.1:5"`, `"x"`, `config: stewards[1]: no address with a port: "x"`},
		{`"127.0.0.1:5"`, `"127.0.0.1:4"`, `config: stewards[1]: named twice: "127.0.0.1:4"`},
		{`["127.0.0.1:4", "127.0.0.1:5"]`, `[]`, `config: services: only with stewards, which are not set`},
		{`"warn"`, `"loud"`, `config: log_level: must be debug, info, warn or error, is "loud"`},
		{`"name": "order"`, `"name": ""`, `config: settings: classes[1].name: missing`},
		{`"settings"`, `"setting"`, `config: settings: missing`},
		{`"on_request"`, `"x"`, `config: settings: membershipMode: unknown mode "x"`},
	} {
		text := strings.Replace(fullConfig, c.from, c.to, 1)
		if _, err := ParseConfig([]byte(text)); fmt.Sprint(err) != c.want {
			t.Errorf("%s instead of %s: error %v, want %s", c.to, c.from, err, c.want)
		}
	}
}

// All agents, of any version, derive the same number from a server's name and from an affinity key.
func TestServerAndKeyHashesAreStable(t *testing.T) {
	if got := fmt.Sprintf("%x", policyAddr("s-0")); got != "5a655c3fc0d7" {
		t.Errorf("address of server s-0: %s", got)
	}
	if got := fmt.Sprintf("%x", affinityKey("u1")); got != "8c47b07b56747f3" {
		t.Errorf("hash of affinity key u1: %s", got)
	}
}

// recordingBackend starts a backend that answers the first request of each connection with the given bytes. It
// reports the bytes of the request.
func recordingBackend(t *testing.T, answer string) (addr string, received chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	received = make(chan string, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var head strings.Builder
				reader := bufio.NewReader(io.TeeReader(c, &head))
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				received <- head.String()
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return ln.Addr().String(), received
}

// exchange sends the bytes of a request and returns all bytes received until the connection is closed.
func exchange(t *testing.T, addr, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// These are the exact bytes that a server and a client receive for one request, for each kind of response.
func TestBytesToServersAndClients(t *testing.T) {
	timeout := regexp.MustCompile(`Request-Timeout: \d{1,5}m`)
	const rejection = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	for _, c := range []struct {
		name, request, answer, toServer, toClient string
	}{
		{"served", "POST /send/u1?a=b HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\nIdempotency-Key: k1\r\n" +
			"Client-Retry: 1\r\nWork-Hint: 5\r\nTenant: a\r\nOther: z\r\nContent-Type: text/x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nServer-Load: TEXT util=0.5\r\nX-Other: y\r\nContent-Type: text/y\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone",
			"POST /send/u1?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Type: text/x\r\nIdempotency-Key: k1\r\nRequest-Id: id1\r\nRequest-Timeout: TIME\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/y\r\nConnection: close\r\n\r\ndone"},
		{"served without a body", "GET /look/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\nConnection: close\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "GET /look/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: TIME\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		{"failed", "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
			"HTTP/1.1 500 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "POST /order/u1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nRequest-Id: id1\r\nRequest-Timeout: TIME\r\n\r\nbody", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		{"refused", "POST /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
			rejection, "", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.6\r\nConnection: close\r\n\r\n"},
		{"unknown class", "POST /none/u1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", rejection, "", "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 25\r\nContent-Type: text/plain\r\n\r\nunknown class of request\n"},
		{"no id", "GET /look/u1 HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 30000m\r\n\r\n", rejection, "", "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 20\r\nContent-Type: text/plain\r\n\r\nRequest-Id: missing\n"},
		{"no key", "POST /send/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n", rejection, "", "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 25\r\nContent-Type: text/plain\r\n\r\nIdempotency-Key: missing\n"},
		{"no time", "GET /look/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\nRequest-Timeout: 3\r\n\r\n", rejection, "", "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 48\r\nContent-Type: text/plain\r\n\r\nRequest-Timeout: no number with the unit m or u\n"},
		{"method", "GET /order/u1 HTTP/1.1\r\nHost: x\r\nRequest-Id: id1\r\n\r\n", rejection, "", "HTTP/1.1 405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 30\r\nContent-Type: text/plain\r\n\r\nthis class is asked with POST\n"},
		{"ready", "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", rejection, "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, received := recordingBackend(t, c.answer)
			_, base, _, _ := startAgent(t, testConfig(unreachableAddr, addr))
			if got := exchange(t, strings.TrimPrefix(base, "http://"), c.request); got != c.toClient {
				t.Errorf("sent to the client: %q", got)
			}
			if c.toServer == "" {
				return
			}
			select {
			case got := <-received:
				if got = timeout.ReplaceAllString(got, "Request-Timeout: TIME"); got != c.toServer {
					t.Errorf("sent to the server: %q", got)
				}
			case <-time.After(10 * time.Second):
				t.Error("no request arrived at the server")
			}
		})
	}
}

// An agent sends these requests to discovery: a watch, and a deregistration when it shuts down.
func TestRequestsToDiscovery(t *testing.T) {
	received := make(chan string, 100)
	list := `{"seq":7,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","site":"a","class":"k","block":1,"health":"ready","share":1,"born_ms":0}]}`
	incarnation := regexp.MustCompile(`Member-Life: [A-Z2-7]{26}`)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fields := []string{r.Method + " " + r.URL.String()}
		for _, key := range slices.Sorted(maps.Keys(r.Header)) {
			fields = append(fields, key+": "+r.Header.Get(key))
		}
		received <- incarnation.ReplaceAllString(strings.Join(fields, "; "), "Member-Life: LIFE")
		_, _ = io.WriteString(w, list+"\n")
		w.(http.Flusher).Flush()
		if r.Method == http.MethodGet {
			<-r.Context().Done() // a watch stays open
		}
	})}
	t.Cleanup(func() { server.Close() })
	var addrs []string
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, ln.Addr().String())
		go func() { _ = server.Serve(ln) }()
	}
	config := testConfig(unreachableAddr)
	config["stewards"], config["services"] = addrs, []string{"u", "s"}
	config["settings"].(map[string]any)["membershipMode"] = "on_request"
	_, _, stop, ended := startAgent(t, config)
	next := func() string {
		select {
		case s := <-received:
			return s
		case <-time.After(20 * time.Second):
			return "nothing"
		}
	}
	if got := next(); got != "GET /v1/endpoints?follow=1&since=0&service=s&service=u; Connection: close; "+
		"Member-Life: LIFE; Member-Name: n0; Other-Addresses: 1; User-Agent: Go-http-client/1.1" {
		t.Errorf("first request: %q", got)
	}
	stop()
	<-ended
	if got := next(); got != "DELETE /v1/members/n0; Connection: close; Member-Life: LIFE; User-Agent: Go-http-client/1.1" {
		t.Errorf("request at shutdown: %q", got)
	}
}
