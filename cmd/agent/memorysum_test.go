package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// properClients is how many clients send proper requests beside the peers.
const properClients = 8

// writesSlowly returns a peer that writes text in small pieces until its connection ends.
func writesSlowly(text string) peer {
	return func(c net.Conn, _ int) error {
		_ = c.SetDeadline(time.Now().Add(peerTime + timingTolerance))
		for rest := text; len(rest) > 0; {
			piece := min(len(rest), 2<<10)
			if _, err := io.WriteString(c, rest[:piece]); err != nil {
				return nil
			}
			rest = rest[piece:]
			time.Sleep(20 * time.Millisecond)
		}
		return sendsAndStays("")(c, 0)
	}
}

// sendsAhead returns a peer that sends a request and many more behind it at once, and reads nothing for a while.
func sendsAhead(text string) peer {
	return func(c net.Conn, _ int) error {
		_ = c.SetDeadline(time.Now().Add(peerTime))
		_, _ = io.WriteString(c, strings.Repeat(text, 72<<10/len(text)))
		time.Sleep(peerPause)
		return nil
	}
}

// Guards against limits that hold for each kind of message and not for their sum: peers on as many connections as the
// program has descriptors write slowly, stop within large bodies, send heads of very many short fields, and send ahead,
// all at once, while servers answer with large bodies.
func TestMemoryUnderAllKindsOfPeersAtOnce(t *testing.T) {
	body := strings.Repeat("b", largeBodyBytes)
	head := callHead("order", "b1", shortFields(longHeadBytes), 212)
	kinds := []peer{
		sendsAndStays(head),
		sendsAndStays(strings.TrimSuffix(head, "\r\n")),
		sendsAndStays(callHead("order", "b1", "", largeBodyBytes) + body[1:]),
		writesSlowly(callHead("order", "b1", shortFields(longHeadBytes), largeBodyBytes) + body),
		sendsAhead(callHead("look", "a1", shortFields(300), 0)),
		sendsAhead(callHead("order", "b1", "", largeBodyBytes/8) + body[:largeBodyBytes/8]),
	}
	for _, limits := range limitPairs {
		t.Run(limits.String(), func(t *testing.T) {
			t.Parallel()
			addr := answering(t, "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n"+body)
			p := startFlooded(t, limits, addr, addr, addr, addr)
			var beside *callCounts
			var running sync.WaitGroup
			running.Go(func() { beside = loadByClients(p, properClients, callHead("look", "c1", "", 0), body) })
			flood(t, p, limits.sockets, func(c net.Conn, n int) error {
				_ = kinds[n%len(kinds)](c, n) // a peer beyond the connections that the program takes may wait
				return nil
			})
			running.Wait()
			t.Logf("beside it: %v", beside)
			if beside[callServed].Load() == 0 {
				t.Errorf("beside it: %v", beside)
			}
			p.checkPeak()
		})
	}
}
