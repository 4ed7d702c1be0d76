package control

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often a quiet watch gets an empty line, which shows that it lives.
	heartbeatInterval = 2 * time.Second
	// writeTimeout is how long a reader may take for a line before its watch ends.
	writeTimeout = 10 * time.Second
	// maxListEvents and maxListEventBytes bound the lines that are kept for readers that lag; one that
	// lags further gets the whole list.
	maxListEvents     = 256
	maxListEventBytes = 4 << 20
)

// watchBroadcaster tells watches what changes: those of the whole list by lines that all of them share,
// those of services by topics.
type watchBroadcaster struct {
	fsm          *fsm
	coalesce     time.Duration
	changeSignal chan struct{}
	services     *serviceTopics

	mu                sync.Mutex
	publishedRevision int64
	events            []listEvent
	eventBytes        int
	changed           chan struct{} // closed at the next line
	endAllSignal      chan struct{} // closed to end all watches
	openWatches       int
	movable           map[chan struct{}]bool // ends of the watches whose readers know other stewards
	fullList          listEvent              // the whole list, as it was encoded last

	encodedCount, sentCount, laggedCount int64
}

func newWatchBroadcaster(f *fsm, coalesce time.Duration) *watchBroadcaster {
	return &watchBroadcaster{fsm: f, services: newServiceTopics(f), coalesce: coalesce, changeSignal: make(chan struct{}, 1), changed: make(chan struct{}), endAllSignal: make(chan struct{}),
		movable: map[chan struct{}]bool{}}
}

// notifyChanged says that the list may be another.
func (b *watchBroadcaster) notifyChanged() {
	select {
	case b.changeSignal <- struct{}{}:
	default:
	}
}

// run encodes what changed, all that comes within a few milliseconds together.
func (b *watchBroadcaster) run(ctx context.Context) {
	for {
		select {
		case <-b.changeSignal:
		case <-ctx.Done():
			return
		}
		if b.coalesce > 0 {
			select {
			case <-time.After(b.coalesce):
			case <-ctx.Done():
				return
			}
		}
		b.publish()
		b.services.publish()
	}
}

// watchServices writes what changes in some services after a version until the reader or the
// steward ends it.
func (b *watchBroadcaster) watchServices(ctx context.Context, w http.ResponseWriter, services []string, since int64, migrated <-chan struct{}) {
	b.mu.Lock()
	all := b.endAllSignal
	b.mu.Unlock()
	b.services.watch(w, services, since, watchTermination{ctx, all, migrated})
}
