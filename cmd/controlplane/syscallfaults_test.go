package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/syscallfault"
)

// faultyCluster is the leader of some stewards with system calls, of its disk above all, that fail while a
// file is there.
type faultyCluster struct {
	*testCluster
	victim    string
	faultFile string
}

func newFaultyCluster(t *testing.T, n int, faults string) *faultyCluster {
	t.Helper()
	cluster := newUnstartedCluster(t, n)
	faulty := &faultyCluster{testCluster: cluster, faultFile: filepath.Join(cluster.dir, "failing")}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		p := cluster.servers[name].proc
		p.Env = append(p.Env, syscallfault.FaultsVariable+"="+faults, syscallfault.WhileVariable+"="+faulty.faultFile+"-"+name)
		cluster.start(name)
	}
	faulty.victim = cluster.waitForLeader()
	return faulty
}

// setFault has the victim's disk setFault from now on, or no more.
func (faulty *faultyCluster) setFault(on bool) {
	faulty.t.Helper()
	var err error
	if file := faulty.faultFile + "-" + faulty.victim; on {
		err = os.WriteFile(file, nil, 0o600)
	} else {
		err = os.Remove(file)
	}
	if err != nil {
		faulty.t.Fatal(err)
	}
}

// A disk whose writes or syncs fail for a while, and a kill in the midst of it, cost nothing that was
// acknowledged, and writes are taken again once it is well. A steward that ended is started anew, as
// its platform would; it has said why in one line.
func TestDiskErrorsKeepAcknowledgedWrites(t *testing.T) {
	for _, faults := range []string{"fdatasync:EIO", "pwrite64:ENOSPC", "pwrite64:EIO,fdatasync:EIO"} {
		for _, n := range []int{1, 3} {
			for _, killed := range []bool{false, true} {
				t.Run(fmt.Sprint(faults, n, killed), func(t *testing.T) {
					t.Parallel()
					cluster := newFaultyCluster(t, n, faults)
					acknowledged := map[string]float64{}
					write := func(span time.Duration, from int) {
						for i, end := from, time.Now().Add(span); time.Now().Before(end); i++ {
							name := fmt.Sprint("server-", i%50)
							ctx, cancel := context.WithTimeout(context.Background(), time.Second)
							if _, err := cluster.client(cluster.names...).Register(ctx, newEndpoint(name, float64(i))); err == nil {
								acknowledged[name] = float64(i)
							} else {
								time.Sleep(10 * time.Millisecond)
							}
							cancel()
						}
					}
					write(time.Second, 1)
					before := len(acknowledged)
					cluster.setFault(true)
					write(2*time.Second, 100_000)
					proc := cluster.servers[cluster.victim].proc
					if killed {
						cluster.kill(cluster.victim)
					}
					cluster.setFault(false)
					select {
					case <-proc.Ended():
						cluster.start(cluster.victim)
					default:
					}
					write(time.Second, 200_000)
					cluster.register("after", 1)
					if before == 0 {
						t.Fatal("nothing was taken before")
					}
					cluster.requireAcknowledged(acknowledged)
					text, _ := os.ReadFile(proc.Log)
					if !strings.Contains(string(text), "input/output error") && !strings.Contains(string(text), "no space left on device") {
						t.Error("its disk never failed")
					}
					if strings.Contains(string(text), "goroutine ") {
						t.Errorf("said %q", text[max(0, len(text)-2000):])
					}
				})
			}
		}
	}
}

// A steward whose connections can't be accepted for a moment, whatever the error, is heard again right
// after.
func TestAcceptFailsForAMoment(t *testing.T) {
	for _, errno := range []string{"ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO", "ENETDOWN", "EPERM", "EHOSTUNREACH"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			cluster := newFaultyCluster(t, 1, "accept4:"+errno)
			cluster.register("before", 1)
			cluster.setFault(true)
			for range 3 { // a connection that waits has the calls fail
				if c, err := net.DialTimeout("tcp", cluster.servers[cluster.victim].http, time.Second); err == nil {
					defer c.Close()
				}
				time.Sleep(50 * time.Millisecond)
			}
			cluster.setFault(false)
			fresh := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for end := time.Now().Add(3 * time.Second); ; time.Sleep(20 * time.Millisecond) {
				resp, err := fresh.Get("http://" + cluster.servers[cluster.victim].http + endpoints.Path)
				if err == nil {
					resp.Body.Close()
					break
				}
				if time.Now().After(end) {
					t.Fatalf("not heard again within 3 s: %v", err)
				}
			}
		})
	}
}
