package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// scopedControlPlane is a control-plane server that lists the endpoints of the requested services. It sends
// each query that it receives to queries, and answers those without service a once release is closed.
type scopedControlPlane struct {
	addr    string
	queries chan string
	release chan struct{}
	hosts   []endpoints.Endpoint
}

// startScopedControlPlane starts a control-plane server that lists hosts.
func startScopedControlPlane(t *testing.T, hosts []endpoints.Endpoint) *scopedControlPlane {
	t.Helper()
	s := &scopedControlPlane{queries: make(chan string, 100), release: make(chan struct{}), hosts: hosts}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	s.addr = server.Listener.Addr().String()
	return s
}

func (s *scopedControlPlane) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.queries <- r.URL.RawQuery
	services := q[endpoints.ServiceParam]
	if !slices.Contains(services, "a") {
		<-s.release
	}
	w.Header().Set(endpoints.ScopeHeader, fmt.Sprint(len(services)))
	l := endpoints.List{Seq: 7, Full: q.Get("since") == "" || q.Get("since") == "0", Endpoints: []endpoints.Endpoint{}}
	for _, h := range s.hosts {
		if l.Full && slices.Contains(services, h.Service) {
			l.Endpoints = append(l.Endpoints, h)
		}
	}
	_ = json.NewEncoder(w).Encode(l)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for q.Get("follow") != "" {
		w.(http.Flusher).Flush()
		select {
		case <-heartbeat.C:
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}

// awaitQuery waits for a call with exactly the query want.
func (s *scopedControlPlane) awaitQuery(t *testing.T, want string) {
	t.Helper()
	for timeout := time.After(30 * time.Second); ; {
		select {
		case got := <-s.queries:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("no call with the query %s", want)
		}
	}
}

// countingServer starts a backend that counts its requests.
func countingServer(t *testing.T, name, service string) (endpoints.Endpoint, *atomic.Int64) {
	t.Helper()
	count := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		time.Sleep(2 * time.Millisecond)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(server.Close)
	return endpoints.Endpoint{Name: name, Dial: server.Listener.Addr().String(), Site: "a", Class: "k", Health: endpoints.Ready,
		Weight: 1, Service: service}, count
}

// waitForRequests waits until count has grown by additional.
func waitForRequests(t *testing.T, description string, count *atomic.Int64, additional int64) {
	t.Helper()
	want := count.Load() + additional
	for deadline := time.Now().Add(30 * time.Second); count.Load() < want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %d requests of %d", description, count.Load(), want)
		}
	}
}

// requestLoad is a group of clients, each of which sends one request after the other, every one with a new key.
type requestLoad struct {
	clients          sync.WaitGroup
	stopping         chan struct{}
	requests, failed atomic.Int64
	stop             func() // ends the load and waits for its last responses
}

// startLoad starts clients that send requests. Each request that is not served fails the test.
func startLoad(t *testing.T, listen string, clients int) *requestLoad {
	t.Helper()
	l := &requestLoad{stopping: make(chan struct{})}
	l.stop = sync.OnceFunc(func() {
		close(l.stopping)
		l.clients.Wait()
	})
	t.Cleanup(l.stop) // before the agent is killed, even if the test fails
	for range clients {
		l.clients.Go(func() {
			for {
				select {
				case <-l.stopping:
					return
				default:
				}
				// A new key for each request: the policy sends those of one key to one server while it has capacity.
				if status, err := postKey(listen, fmt.Sprint("u", l.requests.Add(1)), "30000m"); status != http.StatusOK {
					l.failed.Add(1)
					t.Errorf("answered %d, %v", status, err)
				}
			}
		})
	}
	return l
}

// servicesConfig returns a configuration that subscribes to services, a JSON list, at a control plane. Its
// times are longer than in settings, by which one server is overloaded by four clients on a busy machine.
func servicesConfig(listen string, controlPlane *scopedControlPlane, services string) string {
	longTimeouts := strings.Replace(settings, `"aimMs":500,"giveUpMs":1000`, `"aimMs":20000,"giveUpMs":30000`, 1)
	return fmt.Sprintf(`{"name":"n0","listen":%q,"stewards":[%q],"services":%s,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, listen, controlPlane.addr, services, longTimeouts)
}

// SIGHUP changes the services under load: the known servers keep serving until the list of the new
// services arrives, and no request fails, even if the control plane's address changes at the same time.
func TestServicesChangeUnderLoad(t *testing.T) {
	a, requestsA := countingServer(t, "s-a", "a")
	b, requestsB := countingServer(t, "s-b", "b")
	x, requestsX := countingServer(t, "s-x", "x")
	hosts := []endpoints.Endpoint{a, b, x}
	first, second := startScopedControlPlane(t, hosts), startScopedControlPlane(t, hosts)
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, stderr := startProgramAt(t, path, servicesConfig(listen, first, `["a"]`))
	waitReady(t, listen, stderr)
	load := startLoad(t, listen, 4)
	waitForRequests(t, "service a", requestsA, 20)

	reloadProgram(t, cmd, path, servicesConfig(listen, first, `["b"]`))
	first.awaitQuery(t, "follow=1&since=0&service=b")
	waitForRequests(t, "service a, before the list of b arrives", requestsA, 50)
	if requestsB.Load() > 0 {
		t.Error("service b received requests before its list arrived")
	}
	close(first.release)
	waitForRequests(t, "service b", requestsB, 50)
	before := requestsA.Load()
	waitForRequests(t, "service b", requestsB, 50)
	if requestsA.Load() > before {
		t.Errorf("service a received %d requests after it was unsubscribed", requestsA.Load()-before)
	}

	reloadProgram(t, cmd, path, servicesConfig(listen, second, `["b", "a"]`))
	second.awaitQuery(t, "follow=1&since=0&service=a&service=b")
	waitForRequests(t, "service a again", requestsA, 20)
	waitForRequests(t, "service b still", requestsB, 20)
	load.stop()
	close(second.release)
	if load.failed.Load() > 0 || requestsX.Load() > 0 {
		t.Errorf("%d of %d requests failed, %d reached a service that is not subscribed to",
			load.failed.Load(), load.requests.Load(), requestsX.Load())
	}
	stopGracefully(t, cmd, stderr)
}
