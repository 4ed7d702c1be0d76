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
)

// unresponsiveAddress returns an address that accepts connections and never answers.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
				conns = append(conns, conn)
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

// A failed zone has more unresponsive servers than a server of the control plane can check within one
// timeout if it checks only a few at a time. A quorum still decides on all of them.
func TestUnresponsiveZoneExpires(t *testing.T) {
	const total, unresponsive = 600, 120 // a fifth: the mass-failure guard takes effect at two fifths
	cluster := newCluster(t, 3)
	cluster.extraConfig = "heartbeat = \"300ms\"\nlease_ttl = \"3s\"\n"
	cluster.restartAll(nil)
	cluster.waitForLeader()
	cluster.renewAll(300*time.Millisecond, func() []catalog.InstanceRef { return instanceRefs(total - unresponsive) })
	registerAll(cluster, total, unresponsiveAddress(t))
	began := time.Now()
	cluster.waitUntil("only the unresponsive zone is removed from the list", func() bool { return cluster.listedCount() == total-unresponsive })
	t.Logf("%d unresponsive servers of %d were removed from the list after %v", unresponsive, total, time.Since(began).Round(100*time.Millisecond))
	if listed := cluster.listedCount(); listed != total-unresponsive {
		t.Errorf("%d servers are listed, want %d", listed, total-unresponsive)
	}
}

// registerAll registers the servers s-0 and so on at one address, several at a time.
func registerAll(cluster *testCluster, servers int, dial string) {
	cluster.t.Helper()
	const workers = 16
	work := make(chan int)
	failed := make(chan error, workers)
	var registering sync.WaitGroup
	for range workers {
		registering.Go(func() {
			for i := range work {
				if err := registerAt(cluster, fmt.Sprint("s-", i), dial); err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}
		})
	}
	for i := range servers {
		work <- i
	}
	close(work)
	registering.Wait()
	select {
	case err := <-failed:
		cluster.t.Fatal(err)
	default:
	}
}

// registerAt registers one server until it is acknowledged. It returns the last error after waitTimeout.
func registerAt(cluster *testCluster, name, dial string) error {
	client := cluster.client(cluster.names...)
	endpoint := newEndpoint(name, 1)
	endpoint.Dial = dial
	var err error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		ctx, cancel := context.WithTimeout(cluster.t.Context(), writeTimeout)
		_, err = client.Register(ctx, endpoint)
		cancel()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("the registration of %s was not acknowledged within %v: %w", name, waitTimeout, err)
}
