package leaderelection

import (
	"fmt"
	"time"

	"knotrouter/internal/catalog"
)

// simulation models, in discrete time steps, two processes that compete for one task, a
// control-plane leader, and a resource that the holder of the task writes to. A run has at most
// one process pause, one renewal message that is lost or late, and one leader change; the
// clocks may run at different rates.
type simulation struct {
	faults
	disabled        mechanisms
	state           *catalog.State
	leader          *leader // nil during an election
	deposedLeader   *leader // leader that does not know that it was deposed; nil if there is none
	deposedEndsAt   int     // step at which the deposed leader stops
	holders         [2]*holder
	inFlight        []message
	renewalMessages int   // number of renewals and answers sent so far
	highestFence    int64 // highest fencing token that the resource has seen
	violation       string
	termsStarted    int
}

const (
	stepDuration       = 50 * time.Millisecond
	leaseTTL           = 2 * time.Second
	simulationSteps    = 130 // steps in one run
	coarseStride       = 10
	deposedLeaderSteps = 50 // steps for which a deposed leader keeps running
	electionSteps      = 3
	taskName           = "d"
	runsPerBatch       = 200 // runs that a worker goroutine takes at a time
	lostMessage        = -1  // value of faults.messageDelay
	slowWriteSteps     = 45  // delay of each write by the first holder
	transferStep       = 40  // step at which an operator transfers the task, in the runs that include a transfer
)

// leader is a leader of the control plane, with its own clock.
type leader struct {
	leases          *catalog.TaskLeases
	base            time.Duration // clock reading at startedAtStep
	startedAtStep   int
	rate            float64
	pendingCommands []catalog.Command // decided, but not in the log yet
}

func (l *leader) now(at int) time.Duration {
	return l.base + time.Duration(float64(at-l.startedAtStep)*float64(stepDuration)*l.rate)
}

// holder is a process that competes for the task, with its own clock.
type holder struct {
	name, id     string
	participant  *Participant
	rate         float64
	nextRenewal  time.Duration
	runningFence int64 // fencing token of the running function, or 0
	inbox        []message
}

func (h *holder) now(at int) time.Duration {
	return time.Duration(float64(at) * float64(stepDuration) * h.rate)
}

// The recipients of messages. The holders are recipients 0 and 1.
const (
	toLeader = iota + 2
	toDeposedLeader
	toResource
)

// The kinds of messages, in addition to the kinds of catalog commands.
const (
	renewalRequest = "renew"
	renewalAnswer  = "renewed"
	watchEvent     = "watch event"
)

type message struct {
	due         int // step at which the message is delivered
	to, from    int
	kind        string
	sent        time.Duration // when the holder sent the renewal, by its own clock
	revision    int64         // revision of assignments, or the fencing token of a write
	assignments []catalog.Assignment
	terms       []catalog.TermRef
	reason      string
}

// newSimulation returns a simulation whose sessions are an hour old.
func newSimulation(f faults, disabled mechanisms) *simulation {
	s := &simulation{faults: f, disabled: disabled, state: catalog.New(), deposedEndsAt: -1}
	s.leader = &leader{rate: f.rateLeader}
	s.apply(0, catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: taskName, TTL: leaseTTL}})
	for i := range s.holders {
		h := &holder{name: string(rune('a' + i)), id: fmt.Sprint("id-", i), participant: NewParticipant(), rate: []float64{f.rateA, f.rateB}[i]}
		if disabled.safetyMargin {
			h.participant.safetyMargin = func(time.Duration) time.Duration { return 0 }
		}
		s.holders[i] = h
		s.apply(0, catalog.Command{Kind: catalog.OpenSession, Session: &catalog.Session{Process: h.name, ID: h.id, MaxTasks: 1}})
	}
	s.leader.base = time.Hour
	s.leader.leases = catalog.NewTaskLeases(s.leader.base)
	s.apply(0, catalog.Command{Kind: catalog.RaiseRevision})
	return s
}

// apply applies a command to the replicated state.
func (s *simulation) apply(at int, c catalog.Command) {
	c.FormatVersion, c.At = catalog.FormatVersion, s.leader.now(at)
	s.state.Apply(&c)
}

// post sends a message.
func (s *simulation) post(m message) { s.inFlight = append(s.inFlight, m) }

// run runs the simulation to its end or the first violation of an invariant. It returns the
// violation, or "".
func (s *simulation) run() string {
	for at := 0; at < simulationSteps && s.violation == ""; at++ {
		s.stepLeader(at)
		s.deliverDue(at)
		for i := range s.holders {
			paused := i == s.pausedHolder && at >= s.pauseAt && at < s.pauseAt+s.pauseSteps
			if !paused {
				s.stepHolder(at, i)
			}
		}
		s.checkMutualExclusion(at)
	}
	return s.violation
}

// deliverDue delivers the messages that are due, in the order in which they were sent.
func (s *simulation) deliverDue(at int) {
	for i := 0; i < len(s.inFlight); i++ {
		if m := s.inFlight[i]; m.due <= at {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
			i--
			s.deliver(at, m)
		}
	}
}

// stepHolder has a holder receive its messages, watch its assignments and renew its session.
func (s *simulation) stepHolder(at, i int) {
	h := s.holders[i]
	for _, m := range h.inbox {
		s.receive(at, i, m)
	}
	h.inbox = nil
	assignments, revision, ok := s.state.Assignments(h.name, h.id)
	if ok && revision > h.participant.Revision() && (i > 0 || !s.noWatch) {
		s.post(message{due: at + s.lag, to: i, kind: watchEvent, revision: revision, assignments: assignments})
	}
	actions, _, _ := h.participant.Tick(h.now(at))
	s.perform(at, i, actions)
	if now := h.now(at); now >= h.nextRenewal {
		h.nextRenewal = now + h.participant.RenewInterval()
		s.sendRenewal(at, i)
	}
}

// stepLeader performs a leader change that is due, and has the leader make its decisions.
func (s *simulation) stepLeader(at int) {
	s.changeLeader(at)
	if s.leader == nil {
		return
	}
	// The commands decided in the previous step are in the log now.
	commands := s.leader.pendingCommands
	s.leader.pendingCommands = nil
	for _, c := range commands {
		s.apply(at, c)
	}
	if at%8 == 0 {
		// Commands of other parts of the control plane also advance the state's clock.
		s.apply(at, catalog.Command{Kind: catalog.RaiseRevision})
	}
	if at == s.transferAt {
		s.transferTask(at)
	}
	s.leader.pendingCommands = s.leader.leases.Decide(s.state, s.leader.now(at))
	if s.lag == 0 {
		for _, c := range s.leader.pendingCommands {
			s.apply(at, c)
		}
		s.leader.pendingCommands = nil
	}
}

// changeLeader deposes the leader, elects the next one, or stops the deposed one.
func (s *simulation) changeLeader(at int) {
	if at == s.leaderChangeAt {
		s.deposedLeader, s.deposedEndsAt = s.leader, at+deposedLeaderSteps
		s.leader = nil
	}
	if s.leaderChangeAt >= 0 && at == s.leaderChangeAt+electionSteps {
		s.leader = &leader{base: s.state.Clock, startedAtStep: at, rate: s.rateLeader}
		leasesFrom := s.state.Clock
		if s.disabled.newLeaderWait {
			leasesFrom -= leaseTTL + 100*time.Millisecond
		}
		s.leader.leases = catalog.NewTaskLeases(leasesFrom)
	}
	if at == s.deposedEndsAt {
		s.deposedLeader = nil
	}
}

// transferTask has an operator transfer the task to the process that does not hold it.
func (s *simulation) transferTask(at int) {
	for _, h := range s.holders {
		if d := s.state.LeasedTasks[taskName]; d.Holder != "" && d.Holder != h.name {
			s.apply(at, catalog.Command{Kind: catalog.TransferTask, Terms: []catalog.TermRef{{Name: taskName, Process: h.name}}})
			break
		}
	}
}

// sendRenewal sends a renewal to the server that the holder believes is the leader.
func (s *simulation) sendRenewal(at, i int) {
	m := message{due: at + s.lag, to: toLeader, from: i, kind: renewalRequest, sent: s.holders[i].now(at), revision: s.holders[i].participant.Revision()}
	if s.deposedLeader != nil && i == 0 {
		m.to = toDeposedLeader // the first holder does not know the new leader yet
	}
	s.postRenewal(m)
}

// postRenewal sends a renewal or its answer; the faulty message is lost or late.
func (s *simulation) postRenewal(m message) {
	s.renewalMessages++
	if s.renewalMessages == s.faultyMessage {
		if s.messageDelay == lostMessage {
			return
		}
		m.due += s.messageDelay
	}
	s.post(m)
}

// deliver delivers a message to its recipient.
func (s *simulation) deliver(at int, m message) {
	switch m.to {
	case toResource:
		s.write(at, m.revision)
	case toLeader:
		s.deliverToLeader(at, m, s.leader)
	case toDeposedLeader:
		// A deposed leader cannot confirm that it leads, so it answers no renewal.
		if s.disabled.leadershipCheck {
			s.deliverToLeader(at, m, s.deposedLeader)
		}
	default:
		s.holders[m.to].inbox = append(s.holders[m.to].inbox, m)
	}
}

// write handles a write to the resource, which rejects a fencing token lower than the highest that it
// has seen.
func (s *simulation) write(at int, fence int64) {
	if fence < s.highestFence && !s.disabled.fencing {
		return
	}
	if fence < s.highestFence {
		s.violation = fmt.Sprintf("step %d: the resource accepted a write with fencing token %d after one with token %d", at, fence, s.highestFence)
	}
	s.highestFence = max(s.highestFence, fence)
}

// deliverToLeader has a leader answer a renewal, or propose the command of a report.
func (s *simulation) deliverToLeader(at int, m message, l *leader) {
	if l == nil {
		return
	}
	h := s.holders[m.from]
	if m.kind != renewalRequest {
		if m.to == toLeader {
			s.apply(at, catalog.Command{Kind: catalog.Kind(m.kind), Terms: m.terms, Reason: m.reason})
		}
		return
	}
	if l.leases.Renew(s.state, h.name, h.id, l.now(at)) != catalog.Done {
		return
	}
	assignments, revision, _ := s.state.Assignments(h.name, h.id)
	s.postRenewal(message{due: at + s.lag, to: m.from, kind: renewalAnswer, sent: m.sent, revision: revision, assignments: assignments})
}

// receive has a holder handle a message.
func (s *simulation) receive(at, i int, m message) {
	h := s.holders[i]
	if m.kind == watchEvent {
		s.perform(at, i, h.participant.Update(h.now(at), m.revision, m.assignments))
		return
	}
	s.perform(at, i, h.participant.Renewed(h.now(at), m.sent, m.revision, m.assignments))
}

// perform performs the actions of a holder. A cancelled function returns at once.
func (s *simulation) perform(at, i int, actions []Action) {
	h := s.holders[i]
	for _, a := range actions {
		ref := catalog.TermRef{Name: a.Name, Process: h.name, Session: h.id, Fence: a.Fence}
		switch a.Kind {
		case Start:
			h.runningFence = a.Fence
			s.termsStarted++
		case Cancel:
			if h.runningFence == a.Fence {
				h.runningFence = 0
				s.perform(at, i, h.participant.FunctionReturned(h.now(at), a.Name, a.Fence, false))
			}
		case Release:
			s.post(message{due: at + s.lag, to: toLeader, from: i, kind: string(catalog.ReleaseTerm), terms: []catalog.TermRef{ref}, reason: a.Reason})
		case Accept:
			s.post(message{due: at + s.lag, to: toLeader, from: i, kind: string(catalog.AcceptTransfer), terms: []catalog.TermRef{ref}})
		}
	}
}

// checkMutualExclusion checks that at most one process believes, by its own clock, that it holds
// the task. Each process that does sends a write to the resource.
func (s *simulation) checkMutualExclusion(at int) {
	activeHolders := 0
	for i, h := range s.holders {
		if h.runningFence == 0 || h.now(at) >= h.participant.ValidUntil(taskName) {
			continue
		}
		activeHolders++
		due := at + s.lag
		if i == 0 {
			due += s.writeDelay
		}
		s.post(message{due: due, to: toResource, revision: h.runningFence})
	}
	if activeHolders > 1 {
		s.violation = fmt.Sprintf("step %d: two processes believe that they hold the task, with fencing tokens %d and %d", at, s.holders[0].runningFence, s.holders[1].runningFence)
	}
}
