package control

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"molepaddle/internal/endpoints"
)

const (
	beat = 2 * time.Second // an empty line shows that a quiet watch lives
	// writeWait is how long a reader may take for a line before its watch ends.
	writeWait = 10 * time.Second
	// mostLines and mostBytes bound the lines that are kept for readers that lag; one that
	// lags further gets the whole list.
	mostLines = 256
	mostBytes = 4 << 20
)

// line is a change of the list, encoded once for all that watch.
type line struct {
	from, to int64
	text     []byte
}

// hub tells watches what changes.
type hub struct {
	fsm      *fsm
	coalesce time.Duration
	pokes    chan struct{}

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
	return &hub{fsm: f, coalesce: coalesce, pokes: make(chan struct{}, 1), changed: make(chan struct{}), ends: make(chan struct{}),
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
		h.next()
	}
}

func (h *hub) next() {
	h.mu.Lock()
	since := h.seq
	h.mu.Unlock()
	l := h.fsm.list(since, false)
	if l.Seq == since && !l.Whole {
		return
	}
	text := encode(&l)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.encoded++
	if l.Whole { // the state is another, or far ahead: no line leads there
		h.lines, h.bytes = nil, 0
		h.whole = line{to: l.Seq, text: text}
	} else {
		h.lines = append(h.lines, line{since, l.Seq, text})
		h.bytes += len(text)
		for len(h.lines) > mostLines || h.bytes > mostBytes && len(h.lines) > 1 {
			h.bytes -= len(h.lines[0].text)
			h.lines = h.lines[1:]
		}
	}
	h.seq = l.Seq
	close(h.changed)
	h.changed = make(chan struct{})
}

func encode(l *endpoints.List) []byte {
	text, _ := json.Marshal(l) // numbers, texts and truth values: nothing that can fail
	return append(text, '\n')
}

// wholeList is the whole list, encoded once a version.
func (h *hub) wholeList() []byte {
	h.mu.Lock()
	kept := h.whole
	h.mu.Unlock()
	if kept.text != nil && kept.to == h.fsm.seq() {
		return kept.text
	}
	l := h.fsm.list(0, true)
	text := encode(&l)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.encoded++
	h.whole = line{to: l.Seq, text: text}
	return text
}

// after gives the lines that lead on from a version, and the channel that tells of the
// next; not ok where none leads on from there.
func (h *hub) after(pos int64) (lines []line, ok bool, changed, ends <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok = true
	for i := range h.lines {
		if h.lines[i].to > pos {
			// A reader between two versions of a line learns again what it knows.
			lines, ok = append(lines, h.lines[i:]...), h.lines[i].from <= pos
			break
		}
	}
	if len(lines) == 0 && h.seq > pos {
		ok = false
	}
	return lines, ok, h.changed, h.ends
}

func (h *hub) watches() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// load is how many watches there are, and how many of them can go elsewhere.
func (h *hub) load() load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return load{h.open, len(h.movable)}
}

// enter counts a watch, unless there are as many as there may be. What it returns is closed
// to end this one.
func (h *hub) enter(most int, movable bool) (chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= most {
		return nil, false
	}
	h.open++
	end := make(chan struct{})
	if movable {
		h.movable[end] = true
	}
	return end, true
}

func (h *hub) leave(end chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	delete(h.movable, end)
}

// move ends so many of the watches whose readers can go elsewhere, and tells how many it
// were. Which ones is left to chance.
func (h *hub) move(n int) (moved int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for end := range h.movable {
		if moved >= n {
			break
		}
		close(end)
		delete(h.movable, end)
		moved++
	}
	return moved
}

// endAll ends all watches and tells how many there were.
func (h *hub) endAll() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.ends)
	h.ends = make(chan struct{})
	return h.open
}

// watch writes what changes after a version until the reader or the steward ends it.
func (h *hub) watch(ctx context.Context, w http.ResponseWriter, since int64, moved <-chan struct{}) {
	control := http.NewResponseController(w)
	write := func(text []byte) bool {
		if control.SetWriteDeadline(time.Now().Add(writeWait)) != nil {
			return false
		}
		if _, err := w.Write(text); err != nil {
			return false
		}
		return control.Flush() == nil
	}
	// The version and what leads on from it are read together, so that nothing between them
	// is missed: what is told twice does no harm.
	_, _, changed, ends := h.after(since)
	l := h.fsm.list(since, false)
	pos := l.Seq
	first := encode(&l)
	if l.Whole {
		first = h.wholeList()
	}
	if !write(first) {
		return
	}
	quiet := time.NewTimer(beat)
	defer quiet.Stop()
	for {
		select {
		case <-changed:
		case <-quiet.C:
			if !write([]byte("\n")) {
				return
			}
			quiet.Reset(beat)
			continue
		case <-ends:
			return
		case <-moved:
			return
		case <-ctx.Done():
			return
		}
		var lines []line
		var ok bool
		lines, ok, changed, ends = h.after(pos)
		if !ok {
			h.mu.Lock()
			h.lagged++
			h.mu.Unlock()
			// Where no line leads on, the whole list does; its version is the hub's at least.
			l := h.fsm.list(0, true)
			lines = []line{{to: l.Seq, text: encode(&l)}}
		}
		for i := range lines {
			if !write(lines[i].text) {
				return
			}
			pos = lines[i].to
		}
		h.mu.Lock()
		h.sent += int64(len(lines))
		h.mu.Unlock()
		quiet.Reset(beat)
	}
}
