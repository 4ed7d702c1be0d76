package main

import (
	"context"
	"fmt"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// newEndpoint returns the endpoint of a ready server with the default address, on which nothing listens.
func newEndpoint(name string, startedMs float64) endpoints.Endpoint {
	return endpoints.Endpoint{Name: name, Dial: "127.0.0.1:9", Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: startedMs}
}

// startTimes returns the start time of each registered server, by name.
func startTimes(entries []catalog.Entry) map[string]float64 {
	started := map[string]float64{}
	for i := range entries {
		started[entries[i].Endpoint.Name] = entries[i].Endpoint.StartedMs
	}
	return started
}

// requireAcknowledged waits until a consistent read is answered, and requires that the answer has every
// acknowledged registration, given as start times by name, or a later one with the same name.
func (cluster *testCluster) requireAcknowledged(acknowledged map[string]float64) {
	cluster.t.Helper()
	cluster.waitUntil("a consistent read is answered", func() bool {
		entries, err := cluster.client(cluster.names...).Servers(cluster.t.Context(), true)
		if err != nil {
			return false
		}
		started := startTimes(entries)
		for name, startedMs := range acknowledged {
			if started[name] < startedMs {
				cluster.t.Fatalf("%s was acknowledged with born_ms %v, the read has %v", name, startedMs, started[name])
			}
		}
		return true
	})
}

// register sends a registration to the servers of the cluster named, or to all, until one of them
// acknowledges it. It fails the test if none does within waitTimeout.
func (cluster *testCluster) register(name string, startedMs float64, servers ...string) catalog.Result {
	cluster.t.Helper()
	if len(servers) == 0 {
		servers = cluster.names
	}
	var result catalog.Result
	var err error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
		result, err = cluster.client(servers...).Register(ctx, newEndpoint(name, startedMs))
		cancel()
		if err == nil {
			return result
		}
	}
	cluster.t.Fatalf("the registration of %s was not acknowledged within %v: %v", name, waitTimeout, err)
	return result
}

// instanceRefs returns references to the servers s-0 to s-(n-1), each to the instance that started at 1 ms.
func instanceRefs(n int) (refs []catalog.InstanceRef) {
	for i := range n {
		refs = append(refs, catalog.InstanceRef{Name: fmt.Sprint("s-", i), StartedMs: 1})
	}
	return refs
}

// renewAll renews the leases of the instances that refs returns at an interval, until the test ends or the
// returned function is called.
func (cluster *testCluster) renewAll(interval time.Duration, refs func() []catalog.InstanceRef) (stop func()) {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := cluster.client(cluster.names...)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			call, cancelCall := context.WithTimeout(ctx, statusTimeout)
			_, _ = client.Renew(call, refs())
			cancelCall()
		}
	}()
	stop = func() { cancel(); <-done }
	cluster.t.Cleanup(stop)
	return stop
}
