package catalog

import (
	"cmp"
	"time"
)

const (
	// maxDrainTransfers and maxRebalanceTransfers limit the number of transfers in progress. A transfer
	// from a draining process starts only below maxDrainTransfers. A transfer that only balances the
	// load starts only below maxRebalanceTransfers.
	maxDrainTransfers     = 128
	maxRebalanceTransfers = 8
	// minTermBeforeRebalance is the minimum age of a term before its task is moved to balance the load.
	minTermBeforeRebalance = 10 * time.Second

	// A task is moved to balance the load if the loads of the two processes differ by more than
	// minImbalance plus the higher load divided by imbalanceDivisor.
	minImbalance     = 2
	imbalanceDivisor = 10
)

// Penalties of a process for a task. The process with the lowest sum is granted the task.
const (
	absentPenalty       = 16
	avoidedPenalty      = 5 // above notPreferredPenalty, so that AvoidProcess is avoided even if it is preferred
	notPreferredPenalty = 4
	otherZonePenalty    = 2
)

// placement decides which process gets which task. It updates load with each decision.
type placement struct {
	state      *State
	now        time.Duration
	absent     map[string]bool // see TaskLeases.Absent
	candidates []*Session      // sessions that may be given a task, sorted by process
	taskNames  []string        // all tasks, sorted
	load       map[string]int  // number of tasks by process
}

// grants returns up to maxTermsPerCommand grants of tasks that no process holds.
func (p *placement) grants() []TermRef {
	var grants []TermRef
	for _, name := range p.taskNames {
		task := p.state.LeasedTasks[name]
		if task.Holder != "" || task.SuspendReason != "" || p.now < task.NotBefore {
			continue
		}
		if len(grants) == maxTermsPerCommand {
			break
		}
		if session := p.bestCandidate(task); session != nil {
			p.load[session.Process]++
			grants = append(grants, TermRef{Name: name, Process: session.Process, Session: session.ID})
		}
	}
	return grants
}

// drainTransfers returns up to limit transfers of tasks whose holders are draining.
func (p *placement) drainTransfers(limit int) []TermRef {
	var transfers []TermRef
	for _, name := range p.taskNames {
		if len(transfers) >= limit {
			break
		}
		task := p.state.LeasedTasks[name]
		if holder := p.state.Sessions[task.Holder]; holder == nil || !holder.Draining || !task.isTransferable() {
			continue
		}
		if session := p.bestCandidate(task); session != nil {
			p.load[session.Process]++
			transfers = append(transfers, TermRef{Name: name, Process: session.Process})
		}
	}
	return transfers
}

// rebalanceTransfers returns up to limit transfers from processes to others that use a much smaller
// share of their MaxTasks. A task that its preferred process holds is not moved.
func (p *placement) rebalanceTransfers(limit int) []TermRef {
	var transfers []TermRef
	for _, name := range p.taskNames {
		if len(transfers) >= limit {
			break
		}
		task := p.state.LeasedTasks[name]
		holder := p.state.Sessions[task.Holder]
		if holder == nil || holder.MaxTasks == 0 || !task.isTransferable() ||
			p.now-task.HolderSince < minTermBeforeRebalance || task.PreferredProcess == holder.Process {
			continue
		}
		target := p.leastLoaded(task, holder)
		if target == nil || !p.isImbalanced(holder, target) {
			continue
		}
		transfers = append(transfers, TermRef{Name: name, Process: target.Process})
		p.load[holder.Process]--
		p.load[target.Process]++
	}
	return transfers
}

// isTransferable reports whether the task is held and may be given a successor.
func (task *LeasedTask) isTransferable() bool {
	return task.Holder != "" && task.Successor == "" && !task.StopRequested && task.SuspendReason == ""
}

// bestCandidate returns the candidate that should be given the task, or nil if none can take it: the
// one with the lowest penalty and, if several have it, the least loaded. The task's holder is excluded.
func (p *placement) bestCandidate(task *LeasedTask) *Session {
	var best *Session
	for _, session := range p.candidates {
		if session.Process == task.Holder || !p.hasCapacity(session) || !session.CanRun(task.Name) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(p.penalty(task, session), p.penalty(task, best)), p.compareLoad(session, best)) < 0 {
			best = session
		}
	}
	return best
}

// penalty returns the sum of the penalties of a process for a task.
func (p *placement) penalty(task *LeasedTask, session *Session) int {
	penalty := 0
	if p.absent[session.Process] {
		penalty += absentPenalty
	}
	if task.PreferredProcess == "" || task.PreferredProcess != session.Process {
		penalty += notPreferredPenalty
	}
	if session.Process == task.AvoidProcess {
		penalty += avoidedPenalty
	}
	if task.PreferredZone != "" && task.PreferredZone != session.Zone {
		penalty += otherZonePenalty
	}
	return penalty
}

// leastLoaded returns the least loaded process that is present and can take a task from its
// holder, or nil if there is none. A task in its preferred zone is not moved out of the zone.
func (p *placement) leastLoaded(task *LeasedTask, holder *Session) *Session {
	var least *Session
	for _, session := range p.candidates {
		if session == holder || p.absent[session.Process] || session.Process == task.AvoidProcess ||
			!p.hasCapacity(session) || !session.CanRun(task.Name) {
			continue
		}
		if task.PreferredZone != "" && task.PreferredZone == holder.Zone && task.PreferredZone != session.Zone {
			continue
		}
		if least == nil || p.compareLoad(session, least) < 0 {
			least = session
		}
	}
	return least
}

// isImbalanced reports whether the holder runs many more tasks than the target, after the target's
// load is scaled to the holder's MaxTasks.
func (p *placement) isImbalanced(holder, target *Session) bool {
	holderLoad := p.load[holder.Process]
	scaledTargetLoad := p.load[target.Process] * holder.MaxTasks / target.MaxTasks
	return holderLoad-scaledTargetLoad > minImbalance+holderLoad/imbalanceDivisor
}

// hasCapacity reports whether a process may run another task.
func (p *placement) hasCapacity(session *Session) bool {
	return p.load[session.Process] < session.MaxTasks
}

// compareLoad compares two processes by the share of their MaxTasks that they use.
func (p *placement) compareLoad(a, b *Session) int {
	return cmp.Compare(p.load[a.Process]*b.MaxTasks, p.load[b.Process]*a.MaxTasks)
}
