package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The limits of the agent are within those that the pages name (32 to 192 MB, 256 to 1,024 descriptors).
	headsMemoryMB = 64
	headsSockets  = 512
	// Each of the bad peers sends one head of about headBytes and stays.
	badPeers  = 200
	headBytes = 60_000
	// loadInterval is the time between two proper requests.
	loadInterval = 100 * time.Millisecond
)

// padding returns short header fields of about headBytes in all.
func padding() string {
	var b strings.Builder
	for i := 0; b.Len() < headBytes; i++ {
		fmt.Fprintf(&b, "z%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// unfinishedRequest returns the head of a request whose body never comes.
func unfinishedRequest(id, padding string) string {
	return fmt.Sprintf("POST /vote-submit/%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\n"+
		"Request-Timeout: 2000m\r\nIdempotency-Key: %s\r\nContent-Length: 212\r\n%s\r\n", id, id, id, padding)
}

// playHeads plays a light load of proper requests for 6 s. After 2 s, bad peers connect, send the head of a
// request and stay. The platform ends the agent when its memory is over its limit.
func playHeads(r *run) (broken string, err error) {
	hosts, err := startServers(r.rec, 3, 50*time.Millisecond)
	if err != nil {
		return "", err
	}
	d, err := startDiscovery(r.rec, hosts)
	if err != nil {
		return "", err
	}
	a, err := startAgent(r.root, r.dir, d, limits{Cores: 1, MemoryMB: headsMemoryMB, Sockets: headsSockets})
	if err != nil {
		return "", err
	}
	defer a.kill()
	platform := watchMemory(r.rec, a)
	var clients sync.WaitGroup
	var lost atomic.Int32
	fields := padding()
	begin := time.Now()
	for i := 0; time.Since(begin) < 6*time.Second; i++ {
		if i == int(2*time.Second/loadInterval) && r.trouble {
			r.rec.log("platform: the agent has %.1f MB; %d peers connect now", a.memoryMB(), badPeers)
			for p := range badPeers {
				clients.Go(func() { playBadPeer(r.rec, a.listen, fmt.Sprintf("%016x", 1<<20+p), fields) })
			}
		}
		clients.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			taken, status, body, err := ask(a.listen, getRequest(id, 5*time.Second), 6*time.Second)
			r.rec.log("client: request %s: taken %v, status %d, %q, error %v", id, taken, status, body, err)
			if taken && err != nil {
				lost.Add(1)
			}
		})
		time.Sleep(loadInterval)
	}
	clients.Wait()
	crashed := a.hasEnded()
	r.rec.log("platform: the most memory was %.1f MB of %d MB; proper requests that were taken and not answered: %d",
		platform.peakMB(), headsMemoryMB, lost.Load())
	if crashed {
		return fmt.Sprintf("the agent crashed: at %.1f MB it was over its %d MB and was killed; %d proper requests were taken and not answered",
			platform.peakMB(), headsMemoryMB, lost.Load()), nil
	}
	return "", nil
}

// playBadPeer sends the head of one request and waits for the error or the close that it is owed.
func playBadPeer(rec *record, addr, id, padding string) {
	begin := time.Now()
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		rec.log("peer %s: %v", id, err)
		return
	}
	defer conn.Close()
	text := unfinishedRequest(id, padding)
	_ = conn.SetDeadline(begin.Add(5 * time.Second))
	n, err := io.WriteString(conn, text)
	if err != nil {
		rec.log("peer %s: sent %d of %d bytes: %v", id, n, len(text), err)
		return
	}
	status, _, err := readAnswer(bufio.NewReader(conn))
	rec.log("peer %s: sent a head of %d bytes; status %d, error %v, %.1f s after the connect", id, n, status, err,
		time.Since(begin).Seconds())
}

// memoryWatch is the platform's limit of memory: it kills an agent that is over it.
type memoryWatch struct{ peakKB atomic.Int64 }

func (m *memoryWatch) peakMB() float64 { return float64(m.peakKB.Load()) / 1024 }

// watchMemory reads the agent's memory until the agent ends.
func watchMemory(rec *record, a *agent) *memoryWatch {
	m := &memoryWatch{}
	go func() {
		for ; !a.hasEnded(); time.Sleep(5 * time.Millisecond) {
			mb := a.memoryMB()
			m.peakKB.Store(max(m.peakKB.Load(), int64(mb*1024)))
			if mb > headsMemoryMB {
				rec.log("platform: the agent has %.1f MB, over its limit of %d MB: it is killed", mb, headsMemoryMB)
				a.kill()
				return
			}
		}
	}()
	return m
}
