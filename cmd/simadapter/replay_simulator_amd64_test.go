package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// This file holds the state of the simulator and assembles the batches of events.

const (
	batchesPerDay  = 9000
	batchGapMs     = 5.0 // simulated time between two batches
	agentCount     = 2   // instances in the process
	defaultServers = 12
	maxStallMs     = 300 // longest time for which the process is stalled
)

// The faults of a simulated server.
const (
	faultNone = iota
	faultErrors
	faultRejects
	faultHangs
	faultConnectTimeouts
	faultResets
	faultSlow
)

// simServer is a server of the simulated fleet. Its latency is multiplied by slow.
type simServer struct {
	addr                    [6]byte
	zone, cell, kind        int
	startedAt, weight, slow float64
	health, fault           byte
	open                    int
}

// simAttempt is an attempt that the adapter made.
type simAttempt struct {
	server    *simServer
	sentAt    float64
	ended     bool
	streaming bool // its response has begun
	canceled  bool
}

// simRequest is a request of a client.
type simRequest struct {
	class        int
	deadline     float64
	ended        bool
	endedInBatch int // the batch in which it ended, or whose reply ended it
	attempts     []*simAttempt
}

// end marks the request as ended in this batch, unless it has ended before.
func (r *simRequest) end(batch int) {
	if !r.ended {
		r.ended, r.endedInBatch = true, batch
	}
}

// simAgent is an instance of the agent in the adapter.
type simAgent struct {
	number      uint32
	incarnation int // counts the boots
	subscribed  bool
	requests    map[uint32]*simRequest
}

// pendingEvent is a scheduled event: encode returns the event, or nil if it no longer applies.
type pendingEvent struct {
	at     float64
	encode func() []byte
}

// simulator generates the input of one adapter and consumes its output.
type simulator struct {
	t            *testing.T
	rng          *rand.Rand
	day          dayOptions
	settingsJSON []byte
	clock        float64
	batch        int
	agents       []*simAgent
	servers      []*simServer
	pending      []pendingEvent
	nextID       uint32
	listSeq      uint32
	listNumber   uint32

	in, out bytes.Buffer
	records [][]byte
	tail    []byte
	sum     hash.Hash
	counts  actionCounts
}

// newSimulator returns the simulator of a day, whose random choices all depend on the seed.
func newSimulator(t *testing.T, seed uint64, day dayOptions) *simulator {
	s := &simulator{t: t, rng: rand.New(rand.NewPCG(seed, 2026)), day: day, clock: 7000, sum: sha256.New()}
	s.settingsJSON = day.settings(t)
	n := day.servers
	if n == 0 {
		n = defaultServers
	}
	for i := range n {
		s.servers = append(s.servers, &simServer{addr: [6]byte{10, 0, byte(i / 7), byte(i + 1), 0x13, byte(0x80 + i)},
			zone: i % 3, cell: i / 3, kind: i % 2, weight: 1 + float64(i%4)/2, slow: 1 + float64(i%2), health: healthReady})
	}
	for i := range agentCount {
		s.agents = append(s.agents, &simAgent{number: uint32(3 + 4*i)})
	}
	return s
}

// Read provides the adapter's input. It applies the reply to the last batch before it generates the next one.
func (s *simulator) Read(p []byte) (int, error) {
	if s.in.Len() == 0 {
		s.applyReply()
		if s.batch == batchesPerDay {
			return 0, io.EOF
		}
		s.nextBatch()
	}
	return s.in.Read(p)
}

// Write receives the adapter's replies.
func (s *simulator) Write(p []byte) (int, error) {
	s.sum.Write(p)
	return s.out.Write(p)
}

// addEvent adds an event, padded to its full size, to the batch. It ignores nil.
func (s *simulator) addEvent(event []byte) {
	if event != nil {
		s.records = append(s.records, append(event, make([]byte, eventSize-len(event))...))
	}
}

// schedule adds the event that encode returns to the first batch after the given time in ms.
func (s *simulator) schedule(ms float64, encode func() []byte) {
	s.pending = append(s.pending, pendingEvent{s.clock + ms, encode})
}

// nextBatch writes the next batch of events for the adapter.
func (s *simulator) nextBatch() {
	s.batch++
	s.clock += batchGapMs
	if s.rng.IntN(400) == 0 {
		s.clock += maxStallMs * s.rng.Float64()
	}
	s.records, s.tail = s.records[:0], s.tail[:0]
	for _, a := range s.agents {
		if a.incarnation == 0 || s.batch%2200 == 0 {
			s.boot(a)
		}
	}
	s.changeServers()
	s.addDueEvents()
	s.drawRequests()
	head := binary.BigEndian.AppendUint32(nil, uint32(len(s.records)))
	head = binary.BigEndian.AppendUint32(head, uint32(8+eventSize*len(s.records)+len(s.tail)))
	s.in.Write(binary.BigEndian.AppendUint64(head, math.Float64bits(s.clock)))
	for _, r := range s.records {
		s.in.Write(r)
	}
	s.in.Write(s.tail)
}

// addDueEvents adds the events that are due, in the order of their times.
func (s *simulator) addDueEvents() {
	slices.SortStableFunc(s.pending, func(a, b pendingEvent) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	for len(s.pending) > 0 && s.pending[0].at <= s.clock {
		d := s.pending[0]
		s.pending = s.pending[1:]
		s.addEvent(d.encode())
	}
}
