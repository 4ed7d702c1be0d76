package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// restoreServers restores a state with a given number of servers for each service.
func (cluster *testCluster) restoreServers(sizes map[string]int) {
	cluster.t.Helper()
	state := catalog.New()
	for service, size := range sizes {
		for i := range size {
			endpoint := newServiceEndpoint(service, fmt.Sprintf("%s-%d", service, i), 1)
			command := catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &endpoint}
			if result := state.Apply(&command); result.Code != catalog.Done {
				cluster.t.Fatalf("registration of %s: %+v", endpoint.Name, result)
			}
		}
	}
	text, err := state.Encode()
	if err != nil {
		cluster.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(cluster.t.Context(), waitTimeout)
	defer cancel()
	if _, err := cluster.client(cluster.waitForLeader()).Restore(ctx, text); err != nil {
		cluster.t.Fatal(err)
	}
}

// Two watches, of a service of 5,000 servers and one of 20, each receive only the entries of their own
// service: the number of lines and bytes depends on that service alone.
func TestWatchesReceiveOnlyTheirServices(t *testing.T) {
	cluster := newCluster(t, 1)
	const large, small, changes = 5000, 20, 40
	cluster.restoreServers(map[string]int{"large": large, "small": small, "": 10})
	if list := cluster.fullList(cluster.names[0], "service=large"); len(list.Endpoints) != large {
		t.Fatalf("%d servers of the large service are listed, want %d", len(list.Endpoints), large)
	}
	largeWatch, smallWatch := cluster.watchServices([]string{"large"}, cluster.names...), cluster.watchServices([]string{"small"}, cluster.names...)
	cluster.waitUntil("both watches have their first lists", func() bool { return largeWatch.size() == large && smallWatch.size() == small })
	_, largeFirstBytes, _ := largeWatch.received()
	_, smallFirstBytes, _ := smallWatch.received()
	if smallFirstBytes > 200*small || largeFirstBytes < 100*large {
		t.Errorf("the first lists had %d and %d bytes", largeFirstBytes, smallFirstBytes)
	}
	var version int64
	for i := range changes {
		version = cluster.registerInService("large", fmt.Sprint("large-", i), 2).Seq
	}
	cluster.waitUntil("the large watch has received the changes", func() bool { _, _, receivedVersion := largeWatch.received(); return receivedVersion >= version })
	lists, bytes, _ := largeWatch.received()
	if lists > 1+changes || bytes-largeFirstBytes > 250*changes {
		t.Errorf("%d changes were sent as %d lists and %d bytes", changes, lists-1, bytes-largeFirstBytes)
	}
	if lists, bytes, _ := smallWatch.received(); lists != 1 || bytes != smallFirstBytes {
		t.Errorf("the watch of the small service received %d lists and %d bytes more", lists-1, bytes-smallFirstBytes)
	}
	// A watch whose services have not changed resumes at its version, however many versions ago that is.
	_, _, receivedVersion := smallWatch.received()
	resumed := cluster.watchServicesFrom(receivedVersion, []string{"small"}, cluster.names...)
	cluster.waitUntil("the watch resumes", func() bool { n, _, _ := resumed.received(); return n > 0 })
	first := resumed.list(0)
	if first.Full || len(first.Endpoints) != 0 || first.Seq < version {
		t.Errorf("the resumed watch received %+v, want a list without entries at version %d or later", first, version)
	}
	largeWatch.stopAndVerify(t)
	smallWatch.stopAndVerify(t)
	resumed.stopAndVerify(t)
}

// BenchmarkServicesAtScale registers 39,000 servers in 1,900 services with one server of the control plane.
// It measures the sizes of its snapshot and lists, and the time until it lists all servers again after a
// kill.
func BenchmarkServicesAtScale(b *testing.B) {
	const servers, services, writers = 39_000, 1900, 32
	for range b.N {
		cluster := newCluster(b, 1)
		name := cluster.names[0]
		began := time.Now()
		var writing sync.WaitGroup
		next := make(chan int)
		for range writers {
			writing.Go(func() {
				for i := range next {
					for {
						ctx, cancel := context.WithTimeout(b.Context(), writeTimeout)
						_, err := cluster.servers[name].client.Register(ctx, newServiceEndpoint(fmt.Sprint("service-", i%services), fmt.Sprintf("server-%05d", i), 1))
						cancel()
						if err == nil {
							break
						}
					}
				}
			})
		}
		for i := range servers {
			next <- i
		}
		close(next)
		writing.Wait()
		b.ReportMetric(time.Since(began).Seconds(), "s/register")
		_, _, text := cluster.get(name, "/v1/snapshot")
		b.ReportMetric(float64(len(text)), "B/snapshot")
		var twenty []string
		for i := range 20 {
			twenty = append(twenty, fmt.Sprint("service-", i))
		}
		_, _, text = cluster.get(name, endpoints.Path+"?"+serviceQuery(twenty))
		b.ReportMetric(float64(len(text)), "B/list-of-20")
		_, _, text = cluster.get(name, endpoints.Path)
		b.ReportMetric(float64(len(text)), "B/list")
		cluster.kill(name)
		began = time.Now()
		cluster.start(name)
		cluster.waitUntil("all are listed again", func() bool {
			status, err := cluster.status(name)
			return err == nil && status.Listed == servers
		})
		b.ReportMetric(time.Since(began).Seconds(), "s/start")
	}
}
