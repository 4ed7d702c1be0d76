package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A replay feeds the adapter one simulated day, batch by batch, and answers its actions as the
// simulator would: with outcomes, probe results, fired timers and list changes, all drawn from a
// fixed seed. Because every batch depends on the replies to the earlier ones, one changed decision
// or one additional random draw changes the rest of the day.
//
// The test speaks the bytes of the wire only and names no identifier of the program but run, so that
// it compares the decisions before and after any refactoring.

// replayDays are the recorded days. The sums are of all reply frames, as recorded at commit d25b370
// on amd64. A change of behaviour that is meant replaces them; a refactoring must not.
var replayDays = []struct {
	name   string
	seed   uint64
	day    dayOptions
	sum    string
	counts actionCounts
}{
	{"three agents, pushed lists", 1, dayOptions{replicas: 3, cancel: true, probe: true, report: "inline", keepaliveMs: 3000},
		"adbef0995b8b525a349e7d04ac5dd012bcf6ea88d90d54bf7b44fc959503aaa9",
		actionCounts{All: 14669, Sends: 4490, Retries: 153, Cancels: 18, Refusals: 2298, Failures: 94, Probes: 467, Timers: 7278, Follows: 0, Fetches: 24, Closes: 0, Traces: 0}},
	{"one agent, lists on request", 2, dayOptions{replicas: 1, onRequest: true, parallel: true, tenants: true, keepaliveMs: 3000},
		"d5e4ba8ce388d30655084599011472c0bea60112db013f85712de74c1081666c",
		actionCounts{All: 14374, Sends: 4638, Retries: 178, Cancels: 0, Refusals: 2172, Failures: 106, Probes: 0, Timers: 7378, Follows: 55, Fetches: 25, Closes: 0, Traces: 0}},
	{"forty agents, probes with load reports", 3, dayOptions{replicas: 40, onRequest: true, cancel: true, probe: true,
		report: "on_probe", weights: "off", prices: true, keepaliveMs: 3000}, "b8763db833ea3b7590b0aede4bddf473e08bde0f68105a3374f4e0277e8dcc94",
		actionCounts{All: 15064, Sends: 2553, Retries: 174, Cancels: 13, Refusals: 4031, Failures: 32, Probes: 355, Timers: 7715, Follows: 53, Fetches: 0, Closes: 312, Traces: 0}},
	{"nine agents, work counted", 4, dayOptions{replicas: 9, cancel: true, probe: true, report: "on_probe", tenants: true,
		worthBy: "work", weights: "live"}, "407e4b1ae7505d6914fac0752309a372cec65c92cf107cf3962668cb3c8b2c3d",
		actionCounts{All: 14117, Sends: 4009, Retries: 54, Cancels: 19, Refusals: 2562, Failures: 29, Probes: 540, Timers: 6934, Follows: 0, Fetches: 24, Closes: 0, Traces: 0}},
	{"two hundred agents, priced connections", 5, dayOptions{replicas: 200, onRequest: true, prices: true, cancel: true,
		weights: "off", keepaliveMs: 1500}, "5c034cb3a776470b9c58125921a6d260fb440eaac456c3a80e167612f7e978c5",
		actionCounts{All: 15615, Sends: 2122, Retries: 65, Cancels: 7, Refusals: 4343, Failures: 44, Probes: 0, Timers: 7814, Follows: 44, Fetches: 0, Closes: 1241, Traces: 0}},
	{"twelve agents, overload", 6, dayOptions{replicas: 12, cancel: true, probe: true, report: "on_probe", rate: 3, openCap: 60,
		keepaliveMs: 3000}, "a989c551765d9dd91600cba075e5b7855834cd87556796ee4d7682b3b7932ca8",
		actionCounts{All: 28255, Sends: 3942, Retries: 42, Cancels: 24, Refusals: 15518, Failures: 49, Probes: 516, Timers: 8182, Follows: 0, Fetches: 24, Closes: 0, Traces: 0}},
	{"two agents, many servers that fail", 7, dayOptions{replicas: 2, parallel: true, cancel: true, faults: 4, servers: 40,
		prices: true, probe: true, keepaliveMs: 3000}, "d35d50f2ad9144f4f6f9c4ffad4f4fd4866b3e807f04048d16e8fb6e01477261",
		actionCounts{All: 15008, Sends: 6791, Retries: 367, Cancels: 24, Refusals: 186, Failures: 122, Probes: 739, Timers: 6902, Follows: 0, Fetches: 24, Closes: 220, Traces: 0}},
	{"sixty agents, crowded servers", 8, dayOptions{replicas: 60, cancel: true, probe: true, report: "on_probe", rate: 2,
		faults: 2, servers: 24, keepaliveMs: 2000}, "6f0c03381357f4007ce365e7a71f253e1638ae4c961c39a670e0834f07cdfa54",
		actionCounts{All: 21597, Sends: 2784, Retries: 98, Cancels: 13, Refusals: 9983, Failures: 55, Probes: 611, Timers: 8127, Follows: 0, Fetches: 24, Closes: 0, Traces: 0}},
	{"four agents, neither probes nor cancellation", 9, dayOptions{replicas: 4, onRequest: true, tenants: true, report: "inline",
		weights: "rough", faults: 2}, "743dd40868a40ca04014a61d7225297c17f1d1726b7fd8d507967c642a138d0c",
		actionCounts{All: 14785, Sends: 4084, Retries: 257, Cancels: 0, Refusals: 2742, Failures: 97, Probes: 0, Timers: 7780, Follows: 58, Fetches: 24, Closes: 0, Traces: 0}},
	{"five agents, restarting servers", 10, dayOptions{replicas: 5, cancel: true, parallel: true, probe: true, report: "inline",
		worthBy: "work", restarts: 5, keepaliveMs: 3000}, "1f8b1cfb01556f148b008c2da9ed87760a2d36bcb2d78ad93e33217a246fd0d5",
		actionCounts{All: 14299, Sends: 3348, Retries: 93, Cancels: 14, Refusals: 3017, Failures: 59, Probes: 421, Timers: 7417, Follows: 0, Fetches: 23, Closes: 0, Traces: 0}},
}

// actionCounts tells where two days differ, when their sums do.
type actionCounts struct {
	All, Sends, Retries, Cancels, Refusals, Failures, Probes, Timers, Follows, Fetches, Closes, Traces int
}

func TestReplayedDaysGiveRecordedReplies(t *testing.T) {
	for _, d := range replayDays {
		t.Run(d.name, func(t *testing.T) {
			s := newSimulator(t, d.seed, d.day)
			if err := run(s, s); err != nil {
				t.Fatal(err)
			}
			if sum := hex.EncodeToString(s.sum.Sum(nil)); sum != d.sum || s.counts != d.counts {
				t.Errorf("the adapter's replies differ from the recorded ones:\n got %q,\n\t%#v\nwant %q,\n\t%#v",
					sum, s.counts, d.sum, d.counts)
			}
		})
	}
}

// dayOptions are the differences between the recorded days.
type dayOptions struct {
	replicas                                   int
	onRequest, cancel, probe, parallel, prices bool
	tenants                                    bool
	report, weights, worthBy                   string
	keepaliveMs                                float64
	rate, faults, restarts                     float64 // multiples of the usual; 0: one
	servers, openCap                           int     // 0: twelve; no limit
}

const (
	dayBatches = 9000
	batchGapMs = 5.0
	agents     = 2 // instances in the process
)

// The endings of the wire.
const (
	endOK, endError, endFull, endTimeout     = 100, 301, 302, 303
	endConnect, endReset, endCancel, endMoot = 304, 305, 306, 307
)

type simServer struct {
	addr                [6]byte
	zone, cell, kind    int
	since, weight, slow float64
	health, fault       byte
	open                int
}

type simAttempt struct {
	server   *simServer
	sentAt   float64
	over     bool
	flowing  bool
	canceled bool
}

type simRequest struct {
	class    int
	deadline float64
	over     bool
	overIn   int // the batch that told it, or whose reply did
	attempts []*simAttempt
}

func (r *simRequest) end(batch int) {
	if !r.over {
		r.over, r.overIn = true, batch
	}
}

type simAgent struct {
	number     uint32
	life       int // counts the boots
	subscribed bool
	requests   map[uint32]*simRequest
}

// due is something that happens later: record gives its event, or nil if it is void by then.
type due struct {
	at     float64
	record func() []byte
}

// simulator is the input and the output of one adapter.
type simulator struct {
	t       *testing.T
	rng     *rand.Rand
	day     dayOptions
	set     []byte
	clock   float64
	batch   int
	agents  []*simAgent
	servers []*simServer
	pending []due
	nextID  uint32
	listSeq uint32
	pool    uint32

	in, out bytes.Buffer
	records [][]byte
	tail    []byte
	sum     hash.Hash
	counts  actionCounts
}

func newSimulator(t *testing.T, seed uint64, day dayOptions) *simulator {
	s := &simulator{t: t, rng: rand.New(rand.NewPCG(seed, 2026)), day: day, clock: 7000, sum: sha256.New()}
	s.set = day.settings(t)
	n := day.servers
	if n == 0 {
		n = 12
	}
	for i := range n {
		s.servers = append(s.servers, &simServer{addr: [6]byte{10, 0, byte(i / 7), byte(i + 1), 0x13, byte(0x80 + i)},
			zone: i % 3, cell: i / 3, kind: i % 2, weight: 1 + float64(i%4)/2, slow: 1 + float64(i%2), health: 1})
	}
	for i := range agents {
		s.agents = append(s.agents, &simAgent{number: uint32(3 + 4*i)})
	}
	return s
}

func (d dayOptions) settings(t *testing.T) []byte {
	class := func(name, effect, group string, aim float64, streamed bool) map[string]any {
		return map[string]any{"name": name, "aimMs": aim, "giveUpMs": 5 * aim, "effect": effect, "group": group,
			"keyTtlMs": 4 * aim, "credit": 1 + aim/100, "streamed": streamed, "lateShare": math.Mod(aim/100, 2) / 5, "aimStretch": 0.0}
	}
	set := map[string]any{
		"classes": []any{class("look", "free", "all", 100, false), class("send", "guarded", "all", 150, false),
			class("move", "guarded", "zone", 200, false), class("pair", "guarded", "cell", 120, false),
			class("order", "single_shot", "all", 180, false), class("feed", "free", "all", 250, true)},
		"clients": map[string]any{"marksRetry": !d.parallel},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 4000, "coldFrom": 0.2, "coldMs": 3000,
			"drainGraceMs": 250, "fallMultiple": 3, "tipAfterMs": 400},
		"familyInfo":     map[string]any{"warmKeys": true},
		"limits":         map[string]any{"cancelling": d.cancel, "connectTimeoutMs": 100, "keepaliveMs": d.keepaliveMs, "maxAttempts": 4, "maxRetryAfterMs": 600, "parallelTries": d.parallel, "probing": d.probe, "retryAfter": true, "openCap": d.openCap},
		"membershipMode": map[bool]string{true: "on_request", false: "pushed"}[d.onRequest],
		"objectiveMix":   map[string]any{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
		"overShareWorth": 0.1, "replicasOfMe": d.replicas, "roundMs": batchGapMs, "index": 0, "zone": 1,
		"report":  map[string]any{"how": "off", "names": []any{}},
		"weights": "nominal", "worthBy": "request",
	}
	if d.report != "" {
		set["report"] = map[string]any{"how": d.report, "names": []any{"util", "inflight"}}
	}
	if d.weights != "" {
		set["weights"] = d.weights
	}
	if d.worthBy != "" {
		set["worthBy"] = d.worthBy
	}
	if d.prices {
		set["prices"] = map[string]any{"connection": 0.05, "crossZone": 0.1, "handshake": 0.1, "probe": 0.01, "waste": 0.25}
	}
	if d.tenants {
		set["tenants"] = []any{map[string]any{"name": "a", "portion": 0.7, "quotaPerS": 100},
			map[string]any{"name": "b", "portion": 0.3, "quotaPerS": 40}}
	}
	text, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Read gives the adapter its next batch once it has answered the last one.
func (s *simulator) Read(p []byte) (int, error) {
	if s.in.Len() == 0 {
		s.takeReply()
		if s.batch == dayBatches {
			return 0, io.EOF
		}
		s.nextBatch()
	}
	return s.in.Read(p)
}

// Write takes the adapter's replies.
func (s *simulator) Write(p []byte) (int, error) {
	s.sum.Write(p)
	return s.out.Write(p)
}

func rec(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func (s *simulator) add(record []byte) {
	if record != nil {
		s.records = append(s.records, append(record, make([]byte, 48-len(record))...))
	}
}

func (s *simulator) later(ms float64, record func() []byte) {
	s.pending = append(s.pending, due{s.clock + ms, record})
}

func (s *simulator) nextBatch() {
	s.batch++
	s.clock += batchGapMs
	if s.rng.IntN(400) == 0 {
		s.clock += 300 * s.rng.Float64() // the process was held up
	}
	s.records, s.tail = s.records[:0], s.tail[:0]
	for _, a := range s.agents {
		if a.life == 0 || s.batch%2200 == 0 {
			s.boot(a)
		}
	}
	s.changeServers()
	s.fire()
	s.askRequests()
	head := binary.BigEndian.AppendUint32(nil, uint32(len(s.records)))
	head = binary.BigEndian.AppendUint32(head, uint32(8+48*len(s.records)+len(s.tail)))
	s.in.Write(binary.BigEndian.AppendUint64(head, math.Float64bits(s.clock)))
	for _, r := range s.records {
		s.in.Write(r)
	}
	s.in.Write(s.tail)
}

// fire adds the events that are due, in the order of their times.
func (s *simulator) fire() {
	slices.SortStableFunc(s.pending, func(a, b due) int {
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
		s.add(d.record())
	}
}

func (s *simulator) boot(a *simAgent) {
	if a.life > 0 {
		s.add(rec(21, a.number))
		for _, id := range sortedIDs(a.requests) {
			for _, t := range a.requests[id].attempts {
				if !t.over {
					t.over = true
					t.server.open--
				}
			}
		}
	}
	a.life++
	a.subscribed, a.requests = !s.day.onRequest, map[uint32]*simRequest{}
	s.add(rec(25, a.number, s.rng.Uint64(), uint32(len(s.tail)), uint32(len(s.set))))
	s.tail = append(s.tail, s.set...)
	s.list(a, 2, s.servers)
}

func sortedIDs(m map[uint32]*simRequest) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// list adds a list of servers and the event that hands it to the agent.
func (s *simulator) list(a *simAgent, mode byte, servers []*simServer) {
	s.pool = (s.pool + 1) % 16
	n, at := 0, len(s.tail)
	for _, v := range servers {
		if v.health == 2 && mode != 0 {
			continue // a whole list leaves out what is gone
		}
		s.tail = append(s.tail, rec(0, uint16(v.zone), v.since, v.health, v.addr, float32(v.weight), uint16(v.cell), uint8(v.kind))[1:]...)
		n++
	}
	s.add(rec(19, s.pool, uint32(at), uint32(n)))
	s.add(rec(22, a.number, mode, s.listSeq, s.pool))
}

// changeServers lets servers fail, recover, drain, go and restart.
func (s *simulator) changeServers() {
	faults := max(s.day.faults, 1)
	if s.rng.Float64() < 0.01*faults {
		v := s.servers[s.rng.IntN(len(s.servers))]
		if v.fault = 0; s.rng.IntN(5) < 2 {
			v.fault = byte(1 + s.rng.IntN(6))
		}
	}
	if s.rng.Float64() >= max(s.day.restarts, 1)/120 {
		return
	}
	v := s.servers[s.rng.IntN(len(s.servers))]
	switch s.rng.IntN(5) {
	case 0:
		v.health = 0
	case 1:
		v.health = 2
	case 2:
		v.weight = 0.5 + 2*s.rng.Float64()
	default:
		v.health, v.since, v.fault = 1, s.clock-50*s.rng.Float64(), 0
	}
	s.listSeq++
	for _, a := range s.agents {
		if a.subscribed {
			s.list(a, 0, []*simServer{v})
			if s.day.onRequest && s.rng.IntN(6) == 0 {
				a.subscribed = false
				s.add(rec(22, a.number, byte(3), s.listSeq, uint32(0)))
			}
		}
	}
}

// askRequests draws the clients' requests: a steady rate with bursts and quiet times.
func (s *simulator) askRequests() {
	rate := 0.22 * max(s.day.rate, 1)
	switch phase := s.batch % 1000; {
	case phase > 500 && phase < 620:
		rate *= 8
	case phase > 820 && phase < 980:
		rate *= 0.05
	}
	if s.batch > dayBatches-300 {
		return // the day ends with what is under way
	}
	for _, a := range s.agents {
		for n := rate * 2 * s.rng.Float64(); n > s.rng.Float64(); n-- {
			s.ask(a)
		}
	}
}

func (s *simulator) ask(a *simAgent) {
	s.nextID++
	id, class := s.nextID, s.rng.IntN(6)
	left := 40 + 600*s.rng.Float64()
	r := &simRequest{class: class, deadline: s.clock + left}
	a.requests[id] = r
	key := uint64(s.rng.IntN(40))
	if s.rng.IntN(4) == 0 {
		key = 7 // popular
	}
	hint, flags := 0.0, byte(0)
	if s.rng.IntN(3) > 0 {
		hint, flags = 2+20*s.rng.ExpFloat64(), 1
	}
	if s.rng.IntN(6) == 0 {
		flags |= 2
	}
	s.add(rec(17, a.number, id, uint16(class), uint32(s.rng.IntN(2)), key*0x9e3779b97f4a7c15, left, hint, flags))
	life := a.life
	leave := left + 20
	if s.rng.IntN(30) == 0 {
		leave = left * s.rng.Float64()
	}
	s.later(leave, func() []byte {
		if a.life != life || r.over {
			return nil
		}
		for _, t := range r.attempts {
			if t.flowing && !t.over {
				return nil
			}
		}
		r.end(s.batch)
		return rec(16, a.number, id)
	})
}

// takeReply carries out the actions of the last reply.
func (s *simulator) takeReply() {
	be := binary.BigEndian
	for s.out.Len() > 0 {
		head := s.out.Next(8)
		n, size := int(be.Uint32(head)), int(be.Uint32(head[4:]))
		body := s.out.Next(size)
		if len(body) != size || n*24 > size {
			s.t.Fatalf("reply of %d records and %d bytes is cut", n, size)
		}
		for i := range n {
			s.act(body[24*i : 24*i+24])
		}
	}
}

func (s *simulator) act(raw []byte) {
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
	case 80:
		s.counts.Closes++
	case 81:
		s.counts.Refusals++
		a.requests[id].end(s.batch)
	case 82:
		s.counts.Probes++
		s.probe(a, s.server(raw[5:11]))
	case 83:
		s.counts.Follows++
		s.follow(a, raw[5] == 1)
	case 84:
		s.counts.Sends++
		s.send(a, id, s.server(raw[9:15]), math.Float64frombits(be.Uint64(raw[15:])))
	case 85:
		s.counts.Fetches++
		s.fetch(a)
	case 88:
		s.counts.Timers++
		life, token := a.life, be.Uint32(raw[13:])
		s.later(math.Float64frombits(be.Uint64(raw[5:])), func() []byte {
			if a.life != life {
				return nil
			}
			return rec(26, a.number, token)
		})
	case 89:
		s.counts.Cancels++
		s.cancel(a, id, int(be.Uint16(raw[9:])))
	case 90:
		s.counts.Failures++
		a.requests[id].end(s.batch)
	case 91:
		s.counts.Traces++
	default:
		s.t.Fatalf("unexpected action: %x", raw)
	}
}

func (s *simulator) server(addr []byte) *simServer {
	for _, v := range s.servers {
		if bytes.Equal(v.addr[:], addr) {
			return v
		}
	}
	s.t.Fatalf("action names an unknown server %x", addr)
	return nil
}

// outcome draws how work that is sent to the server now ends, and after how long.
func (s *simulator) outcome(v *simServer) (ending uint16, ms float64) {
	ms = (5 + 15*s.rng.ExpFloat64()) * v.slow * (1 + float64(v.open)/6)
	hit := s.rng.IntN(4) > 0
	switch {
	case v.health == 2 && hit:
		return endConnect, 1
	case v.fault == 1 && hit:
		return endError, 4
	case v.fault == 2 && hit:
		return endFull, 2
	case v.fault == 3:
		return endTimeout, math.Inf(1)
	case v.fault == 4:
		return endConnect, 100
	case v.fault == 5 && hit:
		return endReset, ms / 2
	case v.fault == 6:
		return endOK, 12 * ms
	case s.rng.IntN(150) == 0:
		return []uint16{endError, endFull, endConnect, endReset, endMoot}[s.rng.IntN(5)], 3
	}
	return endOK, ms
}

// report is a load report, as the day has them.
func (s *simulator) report(v *simServer, probe bool) []any {
	if s.day.report == "on_probe" && probe || s.day.report == "inline" {
		held := float64(v.open) + s.rng.Float64()
		switch {
		case v.fault == 6: // crowded by other agents, too
			held += 8 * s.rng.Float64()
		case s.day.replicas > 8:
			held += 1.5 * s.rng.Float64()
		}
		return []any{uint8(2), float32(math.Min(held/8, 1)), float32(held)}
	}
	return []any{uint8(0)}
}

func (s *simulator) send(a *simAgent, id uint32, v *simServer, within float64) {
	r := a.requests[id]
	if r == nil || r.over && r.overIn < s.batch {
		s.t.Fatalf("request %d is sent after its end", id)
	}
	if len(r.attempts) > 0 {
		s.counts.Retries++
	}
	t := &simAttempt{server: v, sentAt: s.clock}
	n, life := len(r.attempts), a.life
	r.attempts = append(r.attempts, t)
	ending, ms := s.outcome(v)
	if r.over {
		ending, ms = endMoot, 0 // the batch that it answers told the end
	}
	v.open++
	limit := r.deadline - s.clock
	if within > 0 {
		limit = min(limit, within)
	}
	if ms >= limit {
		ending, ms = endTimeout, limit
	}
	if r.class == 5 && ending == endOK {
		s.later(ms, func() []byte {
			if a.life != life || t.over || t.canceled || r.over {
				return nil
			}
			t.flowing = true
			return rec(20, a.number, id, v.addr, s.clock-t.sentAt, uint16(n))
		})
		ms += 60 * s.rng.Float64()
		if s.rng.IntN(10) == 0 {
			ending = endReset
		}
	}
	s.later(ms, func() []byte {
		if a.life != life || t.over {
			return nil
		}
		if ending == endOK || t.flowing {
			r.end(s.batch)
		}
		return s.verdict(a, id, n, t, ending)
	})
}

func (s *simulator) verdict(a *simAgent, id uint32, n int, t *simAttempt, ending uint16) []byte {
	t.over = true
	t.server.open--
	fields := []any{a.number, id, uint16(n), t.server.addr, ending, s.clock - t.sentAt, a.requests[id].over}
	return rec(18, append(fields, s.report(t.server, false)...)...)
}

func (s *simulator) cancel(a *simAgent, id uint32, n int) {
	r := a.requests[id]
	if r == nil || n >= len(r.attempts) {
		s.t.Fatalf("attempt %d of request %d is canceled, which was never made", n, id)
	}
	t, life := r.attempts[n], a.life
	if t.over || t.flowing || t.canceled {
		return
	}
	t.canceled = true
	s.later(2, func() []byte {
		if a.life != life || t.over {
			return nil
		}
		return s.verdict(a, id, n, t, endCancel)
	})
}

func (s *simulator) probe(a *simAgent, v *simServer) {
	ending, ms := s.outcome(v)
	if ms > 200 {
		ending, ms = endTimeout, 200
	}
	life, sent := a.life, s.clock
	s.later(ms, func() []byte {
		if a.life != life {
			return nil
		}
		return rec(24, append([]any{a.number, v.addr, ending, s.clock - sent}, s.report(v, true)...)...)
	})
}

// follow answers a subscription: sometimes late, sometimes not at all.
func (s *simulator) follow(a *simAgent, on bool) {
	if !on {
		a.subscribed = false
		return
	}
	life := a.life
	down := s.batch%1500 > 1100 // discovery can't be reached
	s.later(3+40*s.rng.Float64(), func() []byte {
		if a.life != life {
			return nil
		}
		if down || s.rng.IntN(4) == 0 {
			return rec(22, a.number, byte(3), s.listSeq, uint32(0))
		}
		a.subscribed = true
		s.list(a, 1, s.servers)
		return nil
	})
}

func (s *simulator) fetch(a *simAgent) {
	life := a.life
	s.later(3+40*s.rng.Float64(), func() []byte {
		if a.life != life {
			return nil
		}
		if s.rng.IntN(3) == 0 {
			return rec(22, a.number, byte(3), s.listSeq, uint32(0))
		}
		s.list(a, 1, s.servers)
		return nil
	})
}
