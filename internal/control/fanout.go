package control

import (
	"context"
	"encoding/json"
	"net/http"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// line is a change of the list, encoded once for all that watch.
type line struct {
	from, to int64
	text     []byte
}

// publish encodes what changed since the last line.
func (h *hub) publish() {
	h.mu.Lock()
	since := h.seq
	h.mu.Unlock()
	l := h.fsm.list(since, false)
	if l.Seq == since && !l.Full {
		return
	}
	text := encode(&l)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.encoded++
	if l.Full { // the state is another, or far ahead: no line leads there
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

// watch writes what changes after a version until the reader or the steward ends it.
func (h *hub) watch(ctx context.Context, w http.ResponseWriter, since int64, moved <-chan struct{}) {
	out := newWatchWriter(w)
	defer out.close()
	// The version and what leads on from it are read together, so that nothing between them
	// is missed: what is told twice does no harm.
	_, _, changed, ends := h.after(since)
	l := h.fsm.list(since, false)
	pos := l.Seq
	first := encode(&l)
	if l.Full {
		first = h.wholeList()
	}
	if !out.write(first) {
		return
	}
	for out.await(changed, watchEnd{ctx, ends, moved}) {
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
			if !out.write(lines[i].text) {
				return
			}
			pos = lines[i].to
		}
		h.mu.Lock()
		h.sent += int64(len(lines))
		h.mu.Unlock()
	}
}

// listEntryBytes is about what an entry takes of the whole list.
const listEntryBytes = 120

// wholeListBytes is about how many bytes the whole list takes.
func (h *hub) wholeListBytes() int {
	listed := 0
	h.fsm.read(func(s *catalog.State) { listed = s.ListedCount() })
	return listed * listEntryBytes
}
