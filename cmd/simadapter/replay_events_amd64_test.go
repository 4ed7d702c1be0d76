package main

import (
	"slices"
)

// This file generates the events that do not result from actions: boots, lists and requests.

// boot starts an agent. If the agent is running, it is killed first, which ends its attempts.
func (s *simulator) boot(a *simAgent) {
	if a.incarnation > 0 {
		s.addEvent(record(eventKilled, a.number))
		for _, id := range sortedIDs(a.requests) {
			for _, t := range a.requests[id].attempts {
				if !t.ended {
					t.ended = true
					t.server.open--
				}
			}
		}
	}
	a.incarnation++
	a.subscribed, a.requests = !s.day.onRequest, map[uint32]*simRequest{}
	s.addEvent(record(eventBoot, a.number, s.rng.Uint64(), uint32(len(s.tail)), uint32(len(s.settingsJSON))))
	s.tail = append(s.tail, s.settingsJSON...)
	s.addList(a, listCached, s.servers)
}

// sortedIDs returns the ids of the requests in ascending order.
func sortedIDs(m map[uint32]*simRequest) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// addList adds a server list and the list update that delivers it to the agent.
func (s *simulator) addList(a *simAgent, mode byte, servers []*simServer) {
	s.listNumber = (s.listNumber + 1) % 16
	n, at := 0, len(s.tail)
	for _, v := range servers {
		if v.health == healthRemoved && mode != listChange {
			continue // a full list omits removed servers
		}
		s.tail = append(s.tail, record(0, uint16(v.zone), v.startedAt, v.health, v.addr, float32(v.weight), uint16(v.cell), uint8(v.kind))[1:]...)
		n++
	}
	s.addEvent(record(eventServerList, s.listNumber, uint32(at), uint32(n)))
	s.addEvent(record(eventListUpdate, a.number, mode, s.listSeq, s.listNumber))
}

// changeServers makes servers fail, recover, drain, disappear, change their weight and restart, at random.
func (s *simulator) changeServers() {
	faults := max(s.day.faults, 1)
	if s.rng.Float64() < 0.01*faults {
		v := s.servers[s.rng.IntN(len(s.servers))]
		if v.fault = faultNone; s.rng.IntN(5) < 2 {
			v.fault = byte(1 + s.rng.IntN(6))
		}
	}
	if s.rng.Float64() >= max(s.day.restarts, 1)/120 {
		return
	}
	v := s.servers[s.rng.IntN(len(s.servers))]
	switch s.rng.IntN(5) {
	case 0:
		v.health = healthDraining
	case 1:
		v.health = healthRemoved
	case 2:
		v.weight = 0.5 + 2*s.rng.Float64()
	default:
		v.health, v.startedAt, v.fault = healthReady, s.clock-50*s.rng.Float64(), faultNone
	}
	s.listSeq++
	for _, a := range s.agents {
		if a.subscribed {
			s.addList(a, listChange, []*simServer{v})
			if s.day.onRequest && s.rng.IntN(6) == 0 {
				a.subscribed = false
				s.addEvent(record(eventListUpdate, a.number, byte(listFailed), s.listSeq, uint32(0)))
			}
		}
	}
}

// drawRequests draws the clients' requests in a batch, at a steady rate with bursts and quiet times.
func (s *simulator) drawRequests() {
	rate := 0.22 * max(s.day.rate, 1)
	switch phase := s.batch % 1000; {
	case phase > 500 && phase < 620:
		rate *= 8
	case phase > 820 && phase < 980:
		rate *= 0.05
	}
	if s.batch > batchesPerDay-300 {
		return // requests in flight finish before the day ends
	}
	for _, a := range s.agents {
		for n := rate * 2 * s.rng.Float64(); n > s.rng.Float64(); n-- {
			s.addRequest(a)
		}
	}
}

// addRequest draws a request to the agent, and the time at which its client stops waiting.
func (s *simulator) addRequest(a *simAgent) {
	s.nextID++
	id, class := s.nextID, s.rng.IntN(6)
	remaining := 40 + 600*s.rng.Float64()
	r := &simRequest{class: class, deadline: s.clock + remaining}
	a.requests[id] = r
	key := uint64(s.rng.IntN(40))
	if s.rng.IntN(4) == 0 {
		key = 7 // a hot key
	}
	hint, flags := 0.0, byte(0)
	if s.rng.IntN(3) > 0 {
		hint, flags = 2+20*s.rng.ExpFloat64(), 1
	}
	if s.rng.IntN(6) == 0 {
		flags |= 2
	}
	s.addEvent(record(eventRequest, a.number, id, uint16(class), uint32(s.rng.IntN(2)), key*0x9e3779b97f4a7c15, remaining, hint, flags))
	incarnation := a.incarnation
	leaveAfter := remaining + 20
	if s.rng.IntN(30) == 0 {
		leaveAfter = remaining * s.rng.Float64()
	}
	s.schedule(leaveAfter, func() []byte {
		if a.incarnation != incarnation || r.ended {
			return nil
		}
		for _, t := range r.attempts {
			if t.streaming && !t.ended {
				return nil
			}
		}
		r.end(s.batch)
		return record(eventClientCanceled, a.number, id)
	})
}
