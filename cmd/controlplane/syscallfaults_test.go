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

// faultyCluster is a cluster in which system calls of one server, the victim, fail while a file exists. The
// victim is the first leader.
type faultyCluster struct {
	*testCluster
	victim    string
	faultFile string // path of the files that start faults, to which a dash and the server's name are added
}

// newFaultyCluster starts n servers and waits until one leads, which becomes the victim. The faults have the
// format of syscallfault.FaultsVariable.
func newFaultyCluster(t *testing.T, n int, faults string) *faultyCluster {
	t.Helper()
	cluster := newUnstartedCluster(t, n)
	faulty := &faultyCluster{testCluster: cluster, faultFile: filepath.Join(cluster.dir, "failing")}
	for _, name := range cluster.names {
		cluster.configure(name, cluster.names)
		cluster.setenv(name, syscallfault.FaultsVariable, faults)
		cluster.setenv(name, syscallfault.WhileVariable, faulty.faultFile+"-"+name)
		cluster.start(name)
	}
	faulty.victim = cluster.waitForLeader()
	return faulty
}

// startFault makes the victim's system calls fail until endFault is called.
func (faulty *faultyCluster) startFault() {
	faulty.t.Helper()
	if err := os.WriteFile(faulty.faultFile+"-"+faulty.victim, nil, 0o600); err != nil {
		faulty.t.Fatal(err)
	}
}

// endFault ends the fault that startFault started.
func (faulty *faultyCluster) endFault() {
	faulty.t.Helper()
	if err := os.Remove(faulty.faultFile + "-" + faulty.victim); err != nil {
		faulty.t.Fatal(err)
	}
}

// writeFor registers servers for a duration, with start times from firstStartedMs on, and adds the start
// time of each acknowledged registration to the map by its name.
func (faulty *faultyCluster) writeFor(duration time.Duration, firstStartedMs int, acknowledged map[string]float64) {
	faulty.t.Helper()
	for i, end := firstStartedMs, time.Now().Add(duration); time.Now().Before(end); i++ {
		name := fmt.Sprint("server-", i%50)
		ctx, cancel := context.WithTimeout(faulty.t.Context(), time.Second)
		_, err := faulty.client(faulty.names...).Register(ctx, newEndpoint(name, float64(i)))
		cancel()
		if err != nil {
			time.Sleep(rejectedWritePause)
			continue
		}
		acknowledged[name] = float64(i)
	}
}

// writeOnceAt sends one registration to one server, as the instance that started at 1 ms. It reports whether
// the registration was acknowledged; if so, it adds the registration to the map.
func (faulty *faultyCluster) writeOnceAt(server, name string, acknowledged map[string]float64) bool {
	faulty.t.Helper()
	ctx, cancel := context.WithTimeout(faulty.t.Context(), statusTimeout)
	defer cancel()
	if _, err := faulty.servers[server].client.Register(ctx, newEndpoint(name, 1)); err != nil {
		return false
	}
	acknowledged[name] = 1
	return true
}

// No acknowledged write is lost when the writes or syncs of a disk fail for a while, even if the server is
// killed meanwhile, and writes are accepted again afterwards. A server that exited is restarted, as its
// platform would do. Its log says why writes failed, without a stack trace.
func TestDiskErrorsKeepAcknowledgedWrites(t *testing.T) {
	for _, faults := range []string{"fdatasync:EIO", "pwrite64:ENOSPC", "pwrite64:EIO,fdatasync:EIO"} {
		for _, n := range []int{1, 3} {
			for _, killed := range []bool{false, true} {
				t.Run(fmt.Sprint(faults, n, killed), func(t *testing.T) {
					t.Parallel()
					checkDiskErrors(t, faults, n, killed)
				})
			}
		}
	}
}

// diskErrorPollInterval is how long checkDiskErrors writes between two checks of the log for a disk error.
const diskErrorPollInterval = 100 * time.Millisecond

// checkDiskErrors makes the disk of one of n servers fail, kills that server meanwhile if killed is set, and
// requires that every acknowledged write is present afterwards and that the log says why writes failed.
func checkDiskErrors(t *testing.T, faults string, n int, killed bool) {
	t.Helper()
	cluster := newFaultyCluster(t, n, faults)
	acknowledged := map[string]float64{}
	cluster.writeFor(time.Second, 1, acknowledged)
	cluster.register("before", 1) // a busy machine may not have acknowledged a write within the second
	acknowledged["before"] = 1
	cluster.startFault()
	cluster.writeFor(2*time.Second, 100_000, acknowledged)
	proc := cluster.servers[cluster.victim].proc
	nextStartedMs := 150_000 // above all start times that two seconds of writes reach
	cluster.waitUntil("the disk has failed", func() bool {
		if loggedDiskError(processLog(proc)) {
			return true
		}
		cluster.writeFor(diskErrorPollInterval, nextStartedMs, acknowledged)
		nextStartedMs += 1000 // more than the writes of one interval
		return false
	})
	if killed {
		cluster.kill(cluster.victim)
	}
	cluster.endFault()
	// A server that met a disk error may still be shutting down. A single server that acknowledges a write is
	// not, and of three servers the two others are enough.
	cluster.waitUntil("the victim has ended, or acknowledges a write", func() bool {
		return isClosed(proc.Ended()) || cluster.writeOnceAt(cluster.victim, "resumed", acknowledged)
	})
	if isClosed(proc.Ended()) {
		cluster.start(cluster.victim)
	}
	cluster.writeFor(time.Second, 1_000_000, acknowledged)
	cluster.register("after", 1)
	cluster.requireAcknowledged(acknowledged)
	log := processLog(proc)
	if !loggedDiskError(log) {
		t.Error("the disk never failed")
	}
	if strings.Contains(log, "goroutine ") {
		t.Errorf("the server wrote %q", tail(log, 2000))
	}
}

// loggedDiskError reports whether a server's log has a disk error.
func loggedDiskError(log string) bool {
	return strings.Contains(log, "input/output error") || strings.Contains(log, "no space left on device")
}

// A server whose accept calls fail briefly, with any error, answers again within maxRecovery.
func TestAcceptFailsForAMoment(t *testing.T) {
	const (
		maxRecovery        = 3 * time.Second
		waitingConns       = 3
		connectionHoldTime = 50 * time.Millisecond // for which each connection waits, and the server's calls fail
	)
	for _, errno := range []string{"ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO", "ENETDOWN", "EPERM", "EHOSTUNREACH"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			cluster := newFaultyCluster(t, 1, "accept4:"+errno)
			addr := cluster.servers[cluster.victim].http
			cluster.register("before", 1)
			cluster.startFault()
			for range waitingConns { // accept is called, and fails, while a connection waits
				if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
					defer conn.Close()
				}
				time.Sleep(connectionHoldTime)
			}
			cluster.endFault()
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for deadline := time.Now().Add(maxRecovery); ; time.Sleep(retryInterval) {
				resp, err := client.Get("http://" + addr + endpoints.Path)
				if err == nil {
					resp.Body.Close()
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("no answer within %v after the fault: %v", maxRecovery, err)
				}
			}
		})
	}
}
