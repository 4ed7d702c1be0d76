package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"knotrouter/internal/catalog"
)

const (
	backendRenewInterval = 300 * time.Millisecond
	backendRenewTimeout  = 700 * time.Millisecond
)

// backendGroup is a group of registered backends, s-0, s-1 and so on, that answer health checks and renew their
// leases at the servers of the control plane in turn. A reader watches whether any of them leaves the list.
type backendGroup struct {
	cluster   *testCluster
	names     []string
	listeners []net.Listener
	reader    *watchReader
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu             sync.Mutex
	renewalsPaused bool
	renewAt        []string
	// firstTwoRenewAt is where the first two backends renew if it is not nil; the others renew at renewAt.
	firstTwoRenewAt []string
}

// startBackends starts n backends that renew their leases at the servers renewAt, and a reader that watches at
// the server readAt. It returns once all backends are listed.
func (cluster *testCluster) startBackends(n int, readAt string, renewAt ...string) *backendGroup {
	cluster.t.Helper()
	ctx, cancel := context.WithCancel(cluster.t.Context())
	backends := &backendGroup{cluster: cluster, renewAt: renewAt, stop: cancel}
	var servers []*http.Server
	cluster.t.Cleanup(func() {
		cancel()
		for _, server := range servers {
			server.Close()
		}
		backends.done.Wait()
	})
	for i := range n {
		servers = append(servers, backends.startBackend(fmt.Sprint("s-", i)))
	}
	backends.reader = cluster.startReader(readAt)
	cluster.waitUntil("all backends are listed", func() bool {
		for _, name := range backends.names {
			if !backends.reader.has(name) {
				return false
			}
		}
		return true
	})
	backends.done.Go(func() { backends.renewUntilDone(ctx) })
	return backends
}

// startBackend starts a backend that answers health checks, and registers it.
func (backends *backendGroup) startBackend(name string) *http.Server {
	cluster := backends.cluster
	cluster.t.Helper()
	listener, err := net.Listen("tcp", cluster.addrs.IP()+":0")
	if err != nil {
		cluster.t.Fatal(err)
	}
	backends.listeners = append(backends.listeners, listener)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	backends.done.Go(func() { _ = server.Serve(listener) })
	endpoint := newEndpoint(name, 1)
	endpoint.Dial = listener.Addr().String()
	cluster.waitUntil(name+" is registered", func() bool {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), readTimeout)
		defer cancel()
		_, err := cluster.client(cluster.names...).Register(ctx, endpoint)
		return err == nil
	})
	backends.names = append(backends.names, name)
	return server
}

// renewUntilDone renews the leases of all backends at an interval until the context ends. It ignores failed
// renewals.
func (backends *backendGroup) renewUntilDone(ctx context.Context) {
	all := instanceRefs(len(backends.names))
	for i := 0; ctx.Err() == nil; i++ {
		backends.mu.Lock()
		paused, renewAt, firstTwoRenewAt := backends.renewalsPaused, backends.renewAt, backends.firstTwoRenewAt
		backends.mu.Unlock()
		renew := func(at []string, refs []catalog.InstanceRef) {
			call, cancel := context.WithTimeout(ctx, backendRenewTimeout)
			defer cancel()
			_, _ = backends.cluster.servers[at[i%len(at)]].client.Renew(call, refs)
		}
		switch {
		case paused:
		case firstTwoRenewAt != nil:
			renew(firstTwoRenewAt, all[:2])
			renew(renewAt, all[2:])
		default:
			renew(renewAt, all)
		}
		time.Sleep(backendRenewInterval)
	}
}

// splitRenewals makes the first two backends renew at the servers firstTwoAt, and all others at othersAt.
func (backends *backendGroup) splitRenewals(firstTwoAt, othersAt []string) {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.renewAt, backends.firstTwoRenewAt = othersAt, firstTwoAt
}

// pauseRenewals stops the renewals. The backends still answer health checks.
func (backends *backendGroup) pauseRenewals() {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.renewalsPaused = true
}

// requireAllListed requires that no backend was ever taken off the list.
func (backends *backendGroup) requireAllListed() {
	backends.cluster.t.Helper()
	reader := backends.reader
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if len(reader.removed) > 0 {
		backends.cluster.t.Errorf("running backends were taken off the list: %v", reader.removed)
	}
	if len(reader.listed) < len(backends.names) {
		backends.cluster.t.Errorf("%d backends are listed, want %d", len(reader.listed), len(backends.names))
	}
}
