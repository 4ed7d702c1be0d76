package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// busyPeerTime is how long one peer sends at full speed, and besideInterval the time between two proper requests
	// beside it.
	busyPeerTime, besideInterval = 5 * time.Second, 50 * time.Millisecond
	// minServedBeside is how much of the proper requests has to be served beside it, in percent.
	minServedBeside = 90
	// batchBytes is the size of what the peer writes at once.
	batchBytes = 32 << 10
)

// sendBackToBack sends batches at full speed until the time is over: batch(n) is the n-th. It reads what it is answered,
// and connects again when its connection ends. It returns how many bytes it has sent.
func sendBackToBack(listen string, until time.Time, batch func(n int) string) (sent int) {
	for n := 0; time.Now().Before(until); {
		c, err := net.DialTimeout("tcp", listen, peerTime)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(until)
		var answers sync.WaitGroup
		answers.Go(func() { _, _ = io.Copy(io.Discard, c) })
		for written := 0; err == nil; n++ {
			written, err = io.WriteString(c, batch(n))
			sent += written
		}
		c.Close()
		answers.Wait()
	}
	return sent
}

// repeating returns a function for batches of one text.
func repeating(text string) func(int) string {
	batch := strings.Repeat(text, batchBytes/len(text))
	return func(int) string { return batch }
}

// numbering returns a function for batches of texts that differ in a number.
func numbering(text func(n int) string) func(int) string {
	return func(n int) string {
		var batch strings.Builder
		for i := 0; batch.Len() < batchBytes; i++ {
			batch.WriteString(text(n*batchBytes + i))
		}
		return batch.String()
	}
}

// Guards against one client that keeps the agent busy with requests that reach no server, or with unsound ones: while it
// sends at full speed on one connection, other clients are served, and memory stays within the limit.
func TestProperRequestsBesideOneBusyPeer(t *testing.T) {
	for name, batch := range map[string]func(n int) string{
		"readiness":     func(int) string { return "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" },
		"options":       func(int) string { return "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n" },
		"unknown class": numbering(func(n int) string { return fmt.Sprintf("GET /class%d/a HTTP/1.1\r\nHost: x\r\n\r\n", n) }),
		"no request":    numbering(func(n int) string { return fmt.Sprintf("x%d\r\n\r\n", n) }),
		"new names":     numbering(func(n int) string { return callHead("look", fmt.Sprintf("n%d", n), fmt.Sprintf("x-%d: y\r\n", n), 0) }),
		"no time left": numbering(func(n int) string {
			return strings.Replace(callHead("look", fmt.Sprintf("n%d", n), "", 0), "5000m", "1u", 1)
		}),
		"blank requests": repeating("\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			p := startFlooded(t, memoryLimits{32, 256}, answering(t, shortAnswer), answering(t, shortAnswer), answering(t, shortAnswer))
			var counts callCounts
			var running sync.WaitGroup
			until := time.Now().Add(busyPeerTime)
			running.Go(func() { t.Logf("the peer sent %d bytes", sendBackToBack(p.listen, until, batch)) })
			for i := 0; time.Now().Before(until); i++ {
				running.Go(func() { counts[call(p.listen, callHead("look", fmt.Sprintf("p%d", i), "", 0), "done")].Add(1) })
				time.Sleep(besideInterval)
			}
			running.Wait()
			t.Logf("beside it: %v", &counts)
			if served := counts[callServed].Load(); served*100 < counts.total()*minServedBeside {
				t.Errorf("beside one peer: %v", &counts)
			}
			p.checkPeak()
		})
	}
}
