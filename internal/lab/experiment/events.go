package experiment

import (
	"slices"
	"sync"
	"time"

	"knotrouter/internal/lab/check"
)

// eventLog records named events and notifies the faults that wait for one. It is safe for concurrent
// use.
type eventLog struct {
	mu    sync.Mutex
	seen  map[string]chan struct{} // channels by event name, each closed at the first event of its name
	log   []event
	clock check.Clock
}

// event is one recorded event.
type event struct {
	At   time.Duration
	Name string
}

// maxRecordedEvents bounds the number of recorded events. Further events are not recorded, but still start
// the faults that wait for them.
const maxRecordedEvents = 20_000

func newEventLog(clock check.Clock) *eventLog {
	return &eventLog{seen: map[string]chan struct{}{}, clock: clock}
}

// occurred returns a channel that is closed once an event of the name has been recorded.
func (e *eventLog) occurred(name string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen[name] == nil {
		e.seen[name] = make(chan struct{})
	}
	return e.seen[name]
}

// record records an event. The first event of a name closes the channel of that name.
func (e *eventLog) record(name string) {
	first := e.occurred(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.log) < maxRecordedEvents {
		e.log = append(e.log, event{e.clock(), name})
	}
	select {
	case <-first:
	default:
		close(e.seen[name])
	}
}

// recorded returns a copy of the events recorded so far, in order.
func (e *eventLog) recorded() []event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}
