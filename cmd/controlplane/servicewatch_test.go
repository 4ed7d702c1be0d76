package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// scopeHeader is the response header with the number of services of a call that the server understood.
const scopeHeader = "Service-Scope"

// serviceQuery returns the query parameters that select services.
func serviceQuery(services []string) string { return url.Values{"service": services}.Encode() }

// serviceWatch watches services, and continues at the next server of the control plane when a call ends. It
// applies each line that it receives as the protocol requires, and records lines that violate the protocol.
type serviceWatch struct {
	services []string
	stop     context.CancelFunc
	done     chan struct{}

	mu         sync.Mutex
	version    int64
	entries    map[string]endpoints.Endpoint
	lists      []endpoints.List
	bytes      int      // of the lists
	violations []string // of the protocol
}

// watchServices starts a watch whose first call is to the first of the servers named.
func (cluster *testCluster) watchServices(services []string, servers ...string) *serviceWatch {
	return cluster.watchServicesFrom(0, services, servers...)
}

// watchServicesFrom starts a watch that resumes after the version since.
func (cluster *testCluster) watchServicesFrom(since int64, services []string, servers ...string) *serviceWatch {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	watch := &serviceWatch{services: services, stop: cancel, done: make(chan struct{}), version: since, entries: map[string]endpoints.Endpoint{}}
	var addrs []string
	for _, name := range servers {
		addrs = append(addrs, cluster.servers[name].http)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		defer close(watch.done)
		for i := 0; ctx.Err() == nil; i++ {
			watch.readFrom(ctx, client, addrs[i%len(addrs)])
			select {
			case <-time.After(watchRestartPause):
			case <-ctx.Done():
			}
		}
	}()
	cluster.t.Cleanup(func() {
		cancel()
		<-watch.done
	})
	return watch
}

// readFrom applies the lines of one call to a server until the call ends.
func (w *serviceWatch) readFrom(ctx context.Context, client *http.Client, addr string) {
	w.mu.Lock()
	since := w.version
	w.mu.Unlock()
	address := fmt.Sprintf("http://%s%s?follow=1&since=%d&%s", addr, endpoints.Path, since, serviceQuery(w.services))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		w.recordViolation("%s: %v", address, err)
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if got := resp.Header.Get(scopeHeader); got != strconv.Itoa(len(w.services)) {
		w.recordViolation("%s: %q", scopeHeader, got)
	}
	lines := bufio.NewReaderSize(resp.Body, 1<<16)
	for first := true; ; first = false {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		if len(line) > 1 && !w.apply(line, first) {
			return
		}
	}
}

// recordViolation adds a violation of the protocol, which stopAndVerify reports.
func (w *serviceWatch) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// apply applies a line, and reports whether to keep reading lines of the call. A server without a quorum
// serves its own list if no other server has a better one, so a watch leaves a server whose first list is
// older than its own. Later versions of a call must never decrease.
func (w *serviceWatch) apply(line []byte, first bool) (keepReading bool) {
	list, err := endpoints.Parse(line)
	if err != nil {
		w.recordViolation("%.200q: %v", line, err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Seq < w.version && first {
		return false
	}
	if list.Seq < w.version {
		w.violations = append(w.violations, fmt.Sprintf("version %d after %d", list.Seq, w.version))
	}
	w.version, w.bytes, w.lists = list.Seq, w.bytes+len(line), append(w.lists, list)
	if list.Full {
		clear(w.entries)
	}
	for _, endpoint := range list.Endpoints {
		switch {
		case !slices.Contains(w.services, endpoint.Service):
			w.violations = append(w.violations, fmt.Sprintf("received %+v, of another service", endpoint))
		case endpoint.Health != endpoints.Removed:
			w.entries[endpoint.Name] = endpoint
		case w.entries[endpoint.Name].Service == endpoint.Service:
			delete(w.entries, endpoint.Name)
		}
	}
	return true
}

// names returns the entries as name@service, sorted and separated by spaces.
func (w *serviceWatch) names() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.entries))
	for _, endpoint := range w.entries {
		names = append(names, endpoint.Name+"@"+endpoint.Service)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// size returns the number of entries.
func (w *serviceWatch) size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.entries)
}

// list returns the received list with an index; -1 is the last.
func (w *serviceWatch) list(i int) endpoints.List {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < 0 {
		i += len(w.lists)
	}
	return w.lists[i]
}

// received returns how many lists and bytes were received, and the version of the last.
func (w *serviceWatch) received() (lists, bytes int, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lists), w.bytes, w.version
}

// stopAndVerify stops the watch and requires that it saw no violation of the protocol.
func (w *serviceWatch) stopAndVerify(t *testing.T) {
	t.Helper()
	w.stop()
	<-w.done
	if len(w.violations) > 0 {
		t.Errorf("a watch of %q: %s", w.services, strings.Join(w.violations, "; "))
	}
}

// newServiceEndpoint returns the endpoint of a ready server of a service.
func newServiceEndpoint(service, name string, startedMs float64) endpoints.Endpoint {
	endpoint := newEndpoint(name, startedMs)
	endpoint.Service = service
	return endpoint
}

// registerInService sends a registration to the servers of the cluster named, or to all, until one of them
// acknowledges it. It fails the test if none does within waitTimeout.
func (cluster *testCluster) registerInService(service, name string, startedMs float64, servers ...string) catalog.Result {
	cluster.t.Helper()
	if len(servers) == 0 {
		servers = cluster.names
	}
	var result catalog.Result
	cluster.waitUntil(name+" is registered", func() bool {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
		defer cancel()
		var err error
		result, err = cluster.client(servers...).Register(ctx, newServiceEndpoint(service, name, startedMs))
		return err == nil
	})
	return result
}

// get makes one GET call to a server and reads its answer. It fails the test if the server doesn't answer.
func (cluster *testCluster) get(server, path string) (status int, header http.Header, text []byte) {
	cluster.t.Helper()
	resp, err := http.Get("http://" + cluster.servers[server].http + path)
	if err != nil {
		cluster.t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err = io.ReadAll(resp.Body); err != nil {
		cluster.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, text
}

// fullList waits until a server serves the list that a query selects, and returns the list. It fails the
// test if the answer is not a full list or doesn't have the scope header, or after waitTimeout.
func (cluster *testCluster) fullList(server, query string) endpoints.List {
	cluster.t.Helper()
	var list endpoints.List
	cluster.waitUntil(server+" serves a list", func() bool {
		status, header, text := cluster.get(server, endpoints.Path+"?"+query)
		if status != http.StatusOK {
			return false
		}
		if header.Get(scopeHeader) == "" {
			cluster.t.Fatalf("%s: no header %s", query, scopeHeader)
		}
		var err error
		if list, err = endpoints.Parse(text); err != nil || !list.Full {
			cluster.t.Fatalf("%s: not a full list: %.200s: %v", query, text, err)
		}
		return true
	})
	return list
}
