package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

const (
	// The timeouts are short, so that a writer soon goes on to the next address, as a server that renews its
	// lease does.
	writerClientTimeout = time.Second
	writerCallTimeout   = 1500 * time.Millisecond
	// writerRejectionPause keeps a writer from flooding a server that rejects its writes at once.
	writerRejectionPause = 5 * time.Millisecond
	// writerNameCount is the number of names that a writer registers in turn. It is large, as a later write of a
	// name hides the loss of an earlier one.
	writerNameCount = 3000
)

// writer registers one server after the other and records which writes were acknowledged.
type writer struct {
	stop context.CancelFunc
	done chan struct{}

	mu           sync.Mutex
	acknowledged map[string]float64
	writes       int
}

// startWriter starts a writer whose names begin with a prefix. The test must stop it with stopAndVerify.
func (cluster *testCluster) startWriter(prefix string) *writer {
	ctx, cancel := context.WithCancel(cluster.t.Context())
	w := &writer{acknowledged: map[string]float64{}, stop: cancel, done: make(chan struct{})}
	client := control.NewClient(cluster.client(cluster.names...).Addrs, writerClientTimeout)
	go func() {
		defer close(w.done)
		for i := 0; ctx.Err() == nil; i++ {
			client.Addrs = append(client.Addrs[1:], client.Addrs[0])
			w.write(client, fmt.Sprintf("%s-%d", prefix, i%writerNameCount), float64(i))
		}
	}()
	return w
}

// write registers one server. A call in progress continues after the writer is stopped, so that its outcome
// is known.
func (w *writer) write(client *control.Client, name string, startedMs float64) {
	call, cancel := context.WithTimeout(context.Background(), writerCallTimeout)
	defer cancel()
	if _, err := client.Register(call, newEndpoint(name, startedMs)); err != nil {
		var rejected *control.HTTPError
		if errors.As(err, &rejected) {
			time.Sleep(writerRejectionPause)
		}
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledged[name] = startedMs
	w.writes++
}

// count returns how many writes were acknowledged.
func (w *writer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes
}

// waitForWrites waits until more than n writes have been acknowledged from now on.
func (w *writer) waitForWrites(cluster *testCluster, n int) {
	cluster.t.Helper()
	before := w.count()
	cluster.waitUntil(fmt.Sprintf("more than %d further writes are acknowledged", n), func() bool { return w.count() > before+n })
}

// stopAndVerify stops the writer and requires that a consistent read through each of the servers named
// returns every acknowledged write, or a later one of the same name.
func (w *writer) stopAndVerify(cluster *testCluster, servers ...string) {
	cluster.t.Helper()
	w.stop()
	<-w.done
	for _, name := range servers {
		var entries []catalog.Entry
		cluster.waitUntil(name+" answers a consistent read", func() bool {
			ctx, cancel := context.WithTimeout(cluster.t.Context(), readTimeout)
			defer cancel()
			var err error
			entries, err = cluster.servers[name].client.Servers(ctx, true)
			return err == nil
		})
		started := startTimes(entries)
		for registered, startedMs := range w.acknowledged {
			// A later write whose answer was lost may be there too, never an earlier one.
			if got, ok := started[registered]; !ok || got < startedMs {
				cluster.t.Errorf("%s: %s was acknowledged with born_ms %v, the read has %v (present: %v)", name, registered, startedMs, got, ok)
			}
		}
	}
	if len(w.acknowledged) == 0 {
		cluster.t.Error("no write was acknowledged")
	}
}
