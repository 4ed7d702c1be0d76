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
	// writeWait is how long a reader may take for a line before its watch ends.
	writeWait = 10 * time.Second
	// mostLines and mostBytes bound the lines that are kept for readers that lag; one that
	// lags further gets the whole list.
	mostLines = 256
	mostBytes = 4 << 20
)

// hub tells watches what changes: those of the whole list by lines that all of them share,
// those of services by topics.
type hub struct {
	fsm      *fsm
	coalesce time.Duration
	pokes    chan struct{}
	topics   *topics

	mu      sync.Mutex
	seq     int64
	lines   []line
	bytes   int
	changed chan struct{} // closed at the next line
	ends    chan struct{} // closed to end all watches
	open    int
	movable map[chan struct{}]bool // ends of the watches whose readers know other stewards
	whole   line                   // the whole list, as it was encoded last

	encoded, sent, lagged int64
}

func newHub(f *fsm, coalesce time.Duration) *hub {
	return &hub{fsm: f, topics: newTopics(f), coalesce: coalesce, pokes: make(chan struct{}, 1), changed: make(chan struct{}), ends: make(chan struct{}),
		movable: map[chan struct{}]bool{}}
}

// poke says that the list may be another.
func (h *hub) poke() {
	select {
	case h.pokes <- struct{}{}:
	default:
	}
}

// run encodes what changed, all that comes within a few milliseconds together.
func (h *hub) run(ctx context.Context) {
	for {
		select {
		case <-h.pokes:
		case <-ctx.Done():
			return
		}
		if h.coalesce > 0 {
			select {
			case <-time.After(h.coalesce):
			case <-ctx.Done():
				return
			}
		}
		h.publish()
		h.topics.publish()
	}
}

// watchServices writes what changes in some services after a version until the reader or the
// steward ends it.
func (h *hub) watchServices(ctx context.Context, w http.ResponseWriter, services []string, since int64, moved <-chan struct{}) {
	h.mu.Lock()
	all := h.ends
	h.mu.Unlock()
	h.topics.watch(w, services, since, watchEnd{ctx, all, moved})
}
