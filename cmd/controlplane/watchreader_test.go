package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// watchReader follows the endpoint list as an agent does, from server to server, and records every version
// that is lower than the one before.
type watchReader struct {
	stop context.CancelFunc
	done chan struct{}

	mu          sync.Mutex
	version     int64
	regressions []string
	listed      map[string]endpoints.Endpoint
	everListed  map[string]bool
	removed     []string // names that were removed from the list, in this order
}

// newWatchReader returns a reader without a list. It makes no call until its watch method is called.
func newWatchReader() *watchReader {
	return &watchReader{listed: map[string]endpoints.Endpoint{}, everListed: map[string]bool{}}
}

// startReader starts a reader whose first watch is at the first of the servers named.
func (cluster *testCluster) startReader(servers ...string) *watchReader {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	reader := newWatchReader()
	reader.stop, reader.done = cancel, make(chan struct{})
	addrs := cluster.client(servers...).Addrs
	// RejectOlder is not set, so that the reader receives lists with lower versions and can report them.
	client := endpoints.NewClient(endpoints.ClientConfig{Addresses: addrs, OrderSeed: orderSeedStartingAt(addrs), Fleet: 1})
	go func() {
		defer close(reader.done)
		for ctx.Err() == nil {
			reader.watch(ctx, client)
			time.Sleep(watchRestartPause)
		}
	}()
	cluster.t.Cleanup(cancel)
	return reader
}

// orderSeedStartingAt returns a seed for which the order of the addresses begins with the first of them.
func orderSeedStartingAt(addrs []string) uint64 {
	seed := uint64(0)
	for first := ""; first != addrs[0]; seed++ {
		selector := endpoints.NewAddressSelector(addrs, seed+1, 1)
		selector.BeginRound()
		first, _, _ = selector.Next(0, 0)
	}
	return seed
}

// watch applies the lists of one watch, which begins at the reader's version, until the watch ends.
func (r *watchReader) watch(ctx context.Context, client *endpoints.Client) {
	r.mu.Lock()
	since := r.version
	r.mu.Unlock()
	_ = client.Watch(ctx, since, func(list endpoints.List) { r.apply(&list) })
}

// lookup returns the endpoint that is currently listed under a name.
func (r *watchReader) lookup(name string) (endpoints.Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint, ok := r.listed[name]
	return endpoint, ok
}

// has reports whether a name is currently listed.
func (r *watchReader) has(name string) bool {
	_, ok := r.lookup(name)
	return ok
}

// wasListed reports whether a name was listed at any time.
func (r *watchReader) wasListed(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.everListed[name]
}

// apply applies a list of a watch to the listed endpoints, and records a version that decreased.
func (r *watchReader) apply(list *endpoints.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Seq < r.version {
		r.regressions = append(r.regressions, fmt.Sprintf("%d after %d", list.Seq, r.version))
	}
	r.version = list.Seq
	if list.Full {
		r.startFullList(list)
	}
	for _, endpoint := range list.Endpoints {
		r.everListed[endpoint.Name] = true
		if endpoint.Health == endpoints.Removed {
			r.removed = append(r.removed, endpoint.Name)
			delete(r.listed, endpoint.Name)
			continue
		}
		r.listed[endpoint.Name] = endpoint
	}
}

// startFullList discards all endpoints, and records those that the full list doesn't have as removed.
func (r *watchReader) startFullList(list *endpoints.List) {
	for name := range r.listed {
		if !slices.ContainsFunc(list.Endpoints, func(e endpoints.Endpoint) bool { return e.Name == name }) {
			r.removed = append(r.removed, name)
		}
	}
	r.listed = map[string]endpoints.Endpoint{}
}

// stopAndVerify stops the reader and requires that its versions never decreased.
func (r *watchReader) stopAndVerify(t *testing.T) {
	t.Helper()
	r.stop()
	<-r.done
	if len(r.regressions) > 0 {
		t.Errorf("versions decreased: %s", strings.Join(r.regressions, ", "))
	}
}
