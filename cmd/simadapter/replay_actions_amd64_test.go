package main

import (
	"bytes"
	"encoding/binary"
	"math"
)

// This file simulates the effects of the adapter's actions.

// applyReply carries out the actions of the last reply.
func (s *simulator) applyReply() {
	be := binary.BigEndian
	for s.out.Len() > 0 {
		head := s.out.Next(8)
		n, size := int(be.Uint32(head)), int(be.Uint32(head[4:]))
		body := s.out.Next(size)
		if len(body) != size || n*actionSize > size {
			s.t.Fatalf("reply of %d records and %d bytes is truncated", n, size)
		}
		for i := range n {
			s.applyAction(body[actionSize*i : actionSize*(i+1)])
		}
	}
}

// applyAction carries out one action.
func (s *simulator) applyAction(raw []byte) {
	be := binary.BigEndian
	var a *simAgent
	for _, x := range s.agents {
		if x.number == be.Uint32(raw[1:]) {
			a = x
		}
	}
	if a == nil {
		s.t.Fatalf("action for an unknown instance: %x", raw)
	}
	s.counts.All++
	id := be.Uint32(raw[5:])
	switch raw[0] {
	case actionCloseIdle:
		s.counts.Closes++
	case actionReject:
		s.counts.Rejects++
		a.requests[id].end(s.batch)
	case actionProbe:
		s.counts.Probes++
		s.probe(a, s.server(raw[5:11]))
	case actionWatchList:
		s.counts.Watches++
		s.watchList(a, raw[5] == 1)
	case actionSend:
		s.counts.Sends++
		s.send(a, id, s.server(raw[9:15]), math.Float64frombits(be.Uint64(raw[15:])))
	case actionFetchList:
		s.counts.Fetches++
		s.fetchList(a)
	case actionSetTimer:
		s.counts.Timers++
		incarnation, token := a.incarnation, be.Uint32(raw[13:])
		s.schedule(math.Float64frombits(be.Uint64(raw[5:])), func() []byte {
			if a.incarnation != incarnation {
				return nil
			}
			return record(eventTimerFired, a.number, token)
		})
	case actionCancel:
		s.counts.Cancels++
		s.cancel(a, id, int(be.Uint16(raw[9:])))
	case actionFail:
		s.counts.Failures++
		a.requests[id].end(s.batch)
	case actionLog:
		s.counts.Logs++
	default:
		s.t.Fatalf("unexpected action: %x", raw)
	}
}

// server returns the server with this address. It fails the test if there is none.
func (s *simulator) server(addr []byte) *simServer {
	for _, v := range s.servers {
		if bytes.Equal(v.addr[:], addr) {
			return v
		}
	}
	s.t.Fatalf("action names an unknown server %x", addr)
	return nil
}

// watchList starts or ends a subscription. It is answered after 3 to 43 ms with the full list, or with a failure
// if discovery is unavailable or, otherwise, with a probability of 1/4.
func (s *simulator) watchList(a *simAgent, on bool) {
	if !on {
		a.subscribed = false
		return
	}
	incarnation := a.incarnation
	unavailable := s.batch%1500 > 1100 // discovery is unavailable
	s.schedule(3+40*s.rng.Float64(), func() []byte {
		if a.incarnation != incarnation {
			return nil
		}
		if unavailable || s.rng.IntN(4) == 0 {
			return record(eventListUpdate, a.number, byte(listFailed), s.listSeq, uint32(0))
		}
		a.subscribed = true
		s.addList(a, listFull, s.servers)
		return nil
	})
}

// fetchList answers a fetch of the full list after 3 to 43 ms, with a failure with a probability of 1/3.
func (s *simulator) fetchList(a *simAgent) {
	incarnation := a.incarnation
	s.schedule(3+40*s.rng.Float64(), func() []byte {
		if a.incarnation != incarnation {
			return nil
		}
		if s.rng.IntN(3) == 0 {
			return record(eventListUpdate, a.number, byte(listFailed), s.listSeq, uint32(0))
		}
		s.addList(a, listFull, s.servers)
		return nil
	})
}
