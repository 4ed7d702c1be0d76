package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// unresponsiveAddress returns an address that takes connections and answers none of them.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			}
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
		for _, conn := range conns {
			conn.Close()
		}
	})
	return listener.Addr().String()
}

// A lost zone has more silent servers than a steward probes in one question's time if it probes
// a few at a time. All of them have to be settled by a quorum of the stewards all the same.
func TestUnresponsiveZoneExpires(t *testing.T) {
	const total, silent = 600, 120 // a fifth: the guard against mass failure holds at two fifths
	cluster := newCluster(t, 3)
	cluster.extraConfig = "heartbeat = \"300ms\"\nlease_ttl = \"3s\"\n"
	for _, name := range cluster.names {
		cluster.kill(name)
		cluster.configure(name, cluster.names)
	}
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.waitForLeader()
	stop := renewRepeatedly(cluster, total-silent)
	defer stop()
	dial := unresponsiveAddress(t)
	registerAll(cluster, total, dial)
	listed := func() int {
		status, err := cluster.status(cluster.waitForLeader())
		if err != nil {
			return -1
		}
		return status.Listed
	}
	began := time.Now()
	cluster.waitUntil("the silent zone is off the list, and nobody else", func() bool { return listed() == total-silent })
	t.Logf("%d silent servers of %d were off the list after %v", silent, total, time.Since(began).Round(100*time.Millisecond))
	if n := listed(); n != total-silent {
		t.Errorf("%d servers are listed, want %d", n, total-silent)
	}
}

// renewRepeatedly renews the leases of the first servers until the returned function is called.
func renewRepeatedly(cluster *testCluster, servers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := cluster.client(cluster.names...)
		ticker := time.NewTicker(300 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			call, cancelCall := context.WithTimeout(ctx, 2*time.Second)
			_, _ = client.Renew(call, instanceRefs(servers))
			cancelCall()
		}
	}()
	return func() { cancel(); <-done }
}

// registerAll registers servers at one address, several at a time.
func registerAll(cluster *testCluster, servers int, dial string) {
	cluster.t.Helper()
	const workers = 16
	work := make(chan int)
	failed := make(chan error, workers)
	var all sync.WaitGroup
	for range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			client := cluster.client(cluster.names...)
			for i := range work {
				if err := registerAt(client.Register, fmt.Sprint("s-", i), dial); err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}
		}()
	}
	for i := range servers {
		work <- i
	}
	close(work)
	all.Wait()
	select {
	case err := <-failed:
		cluster.t.Fatal(err)
	default:
	}
}

// registerAt registers one server and tries again until it is taken or too much time is over.
func registerAt(register registerFunc, name, dial string) error {
	host := newEndpoint(name, 1)
	host.Dial = dial
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		_, err = register(ctx, host)
		cancel()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s was never taken: %w", name, err)
}

// registerFunc is control.Client's Register.
type registerFunc = func(context.Context, endpoints.Endpoint) (catalog.Result, error)
