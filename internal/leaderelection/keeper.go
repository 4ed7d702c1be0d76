// Package leaderelection is the holder's side of exclusive duties: it runs the functions of those that
// this process holds, and ends them before anybody else can be granted them.
package leaderelection

import (
	"slices"
	"time"

	"knotrouter/internal/catalog"
)

// Margin is how much sooner than a lease's time its holder stops. The leader's clock and the
// holder's may each be 5 % off, so that a tenth of the time is lost between them at most;
// the rest is for the function to hear of it.
func Margin(ttl time.Duration) time.Duration { return ttl/10 + 20*time.Millisecond }

// Act is something that the keeper wants done.
type Act struct {
	Kind  ActKind
	Name  string
	Fence int64
	Why   string
}

// ActKind is what that is.
type ActKind uint8

// What a keeper may want done.
const (
	Start  ActKind = iota // run the function under this fence
	Cancel                // end its context
	GiveUp                // tell the service that the term is over
	Accept                // tell it that this process is ready for the duty
)

// Keeper decides which functions run. It is pure: what the service says, what functions do
// and the time go in, acts come out.
//
// A term is valid from when the last renewal that was answered was sent, for the lease's
// time less a margin. What the service says of the terms themselves may come by other ways
// and late; it has a revision, and an older one than is known counts for nothing.
type Keeper struct {
	sent   time.Duration // of the last renewal that was answered
	some   bool          // whether there was any
	rev    int64
	tasks  []catalog.Task
	terms  map[string]*term
	ended  map[string]int64 // the highest fence of a duty that is over here
	asked  map[string]int64 // the revision by which this process said that it is ready
	margin func(time.Duration) time.Duration
}

type term struct {
	catalog.Task
	cancelled bool
	why       string // of the end, when it was cancelled
}

// NewKeeper makes a keeper for one session.
func NewKeeper() *Keeper {
	return &Keeper{terms: map[string]*term{}, ended: map[string]int64{}, asked: map[string]int64{}, margin: Margin}
}

// Renewed is told of an answer to the renewal that was sent then: the session is there, and
// what it is to do, if that is newer than what is known (tasks is nil otherwise).
func (k *Keeper) Renewed(now, sent time.Duration, rev int64, tasks []catalog.Task) []Act {
	if !k.some || sent > k.sent {
		k.sent, k.some = sent, true
	}
	return k.Told(now, rev, tasks)
}

// Told is told what the session is to do, by whatever way.
func (k *Keeper) Told(now time.Duration, rev int64, tasks []catalog.Task) []Act {
	if rev > k.rev && tasks != nil {
		k.rev, k.tasks = rev, tasks
	}
	return k.settle(now)
}

// Rev is the revision that is known.
func (k *Keeper) Rev() int64 { return k.rev }

// Gone is told that the session is over: nothing is held any more.
func (k *Keeper) Gone() (acts []Act) {
	k.tasks = nil
	for _, name := range k.names() {
		acts = k.cancel(acts, k.terms[name], catalog.WhyLapsed)
	}
	return acts
}

// Returned is told that a function has returned.
func (k *Keeper) Returned(now time.Duration, name string, fence int64, failed bool) []Act {
	t := k.terms[name]
	if t == nil || t.Fence != fence {
		return nil
	}
	why := catalog.WhyDone
	switch {
	case t.cancelled:
		why = t.why
	case failed:
		why = catalog.WhyFailed
	}
	delete(k.terms, name)
	k.ended[name] = max(k.ended[name], fence)
	return append([]Act{{GiveUp, name, fence, why}}, k.settle(now)...)
}

// Until is when a term is over by this process's clock.
func (k *Keeper) Until(name string) time.Duration {
	t := k.terms[name]
	if t == nil || !k.some {
		return 0
	}
	return k.until(t.TTL)
}

func (k *Keeper) until(ttl time.Duration) time.Duration { return k.sent + ttl - k.margin(ttl) }

// Tick is told the time. The second result is when it wants to be told again at the latest,
// for as long as something is held.
func (k *Keeper) Tick(now time.Duration) (acts []Act, next time.Duration, some bool) {
	acts = k.settle(now)
	for _, t := range k.terms {
		if at := k.until(t.TTL); !t.cancelled && (!some || at < next) {
			next, some = at, true
		}
	}
	return acts, next, some
}

// Every is how often the session is to be renewed: well before the middle of the shortest
// time that it holds.
func (k *Keeper) Every() time.Duration {
	every := 500 * time.Millisecond
	for _, t := range k.tasks {
		every = min(every, t.TTL/3)
	}
	return every
}

// Holds is how many functions run or have not returned yet.
func (k *Keeper) Holds() int { return len(k.terms) }

func (k *Keeper) names() []string {
	names := make([]string, 0, len(k.terms))
	for name := range k.terms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (k *Keeper) cancel(acts []Act, t *term, why string) []Act {
	if t.cancelled {
		return acts
	}
	t.cancelled, t.why = true, why
	return append(acts, Act{Cancel, t.Name, t.Fence, why})
}

// settle compares what is to be with what is, and takes the steps between.
func (k *Keeper) settle(now time.Duration) (acts []Act) {
	listed := map[string]catalog.Task{}
	for _, task := range k.tasks {
		listed[task.Name] = task
	}
	for _, name := range k.names() {
		t := k.terms[name]
		task, is := listed[name]
		switch {
		case now >= k.until(t.TTL) || !is || task.Fence != t.Fence:
			acts = k.cancel(acts, t, catalog.WhyLapsed)
		case task.Stop:
			acts = k.cancel(acts, t, catalog.WhyMoved)
		}
	}
	for _, task := range k.tasks {
		switch {
		case k.terms[task.Name] != nil: // its function has to return first
		case task.Ready:
			if k.asked[task.Name] != k.rev {
				k.asked[task.Name] = k.rev
				acts = append(acts, Act{Accept, task.Name, 0, ""})
			}
		case task.Fence <= k.ended[task.Name], task.Stop:
			// It is over here, and the service doesn't know it yet.
			k.ended[task.Name] = max(k.ended[task.Name], task.Fence)
			acts = append(acts, Act{GiveUp, task.Name, task.Fence, catalog.WhyMoved})
		case k.some && now < k.until(task.TTL):
			k.terms[task.Name] = &term{Task: task}
			acts = append(acts, Act{Start, task.Name, task.Fence, ""})
		}
	}
	return acts
}
