package catalog

import (
	"cmp"
	"time"
)

const (
	// maxDrainTransfers and maxRebalanceTransfers bound the transfers that have begun and not ended:
	// transfers that drain a process begin only below the first bound, those that only even out the
	// load below the second.
	maxDrainTransfers     = 128
	maxRebalanceTransfers = 8
	// minTermBeforeRebalance is how long a term lasts at least before the load is evened out.
	minTermBeforeRebalance = 10 * time.Second

	// The load of two processes is evened out if it differs by more than minImbalance and a part,
	// of imbalanceDivisor, of the higher one.
	minImbalance     = 2
	imbalanceDivisor = 10
)

// Penalties of a process for a task. The process with the lowest sum is given the task.
const (
	absentPenalty       = 16
	avoidedPenalty      = 5 // above notPreferredPenalty: a preferred process that is avoided doesn't get the task
	notPreferredPenalty = 4
	otherZonePenalty    = 2
)

// placement decides which process gets which task. It adds each decision to load.
type placement struct {
	state      *State
	now        time.Duration
	absent     map[string]bool // see TaskLeases.Absent
	candidates []*Session      // that may be given a task, in order of processes
	taskNames  []string        // all tasks, in order
	load       map[string]int  // tasks by process
}

// grants returns the grants of tasks that no process holds, at most maxTermsPerCommand.
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

// drainTransfers returns transfers of tasks whose holders are draining, at most limit.
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

// rebalanceTransfers returns transfers, at most limit, from processes to those that run a much
// smaller part of their MaxTasks. A task at its preferred process stays.
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

// isTransferable reports whether a task that is held may be given a successor.
func (task *LeasedTask) isTransferable() bool {
	return task.Holder != "" && task.Successor == "" && !task.StopRequested && task.SuspendReason == ""
}

// bestCandidate returns the candidate other than the task's holder that should have the task, or nil if
// none can take it: the one with the lowest penalty, and of those the least loaded.
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
// holder, or nil if there is none. A task in its preferred zone stays there.
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

// isImbalanced reports whether the holder runs many more tasks than the target, whose number is
// scaled to the holder's MaxTasks.
func (p *placement) isImbalanced(holder, target *Session) bool {
	holderLoad := p.load[holder.Process]
	scaledTargetLoad := p.load[target.Process] * holder.MaxTasks / target.MaxTasks
	return holderLoad-scaledTargetLoad > minImbalance+holderLoad/imbalanceDivisor
}

// hasCapacity reports whether a process may run another task.
func (p *placement) hasCapacity(session *Session) bool {
	return p.load[session.Process] < session.MaxTasks
}

// compareLoad compares the parts of their MaxTasks that two processes run.
func (p *placement) compareLoad(a, b *Session) int {
	return cmp.Compare(p.load[a.Process]*b.MaxTasks, p.load[b.Process]*a.MaxTasks)
}
