package control

import (
	"context"
	"net/http"
	"time"
)

// watches is how many watches are open.
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

// leave ends the counting of a watch.
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

// watchWriter writes the lines of one watch, each within a bounded time, and heartbeats
// between them.
type watchWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	quiet   *time.Timer // until the next heartbeat
}

func newWatchWriter(w http.ResponseWriter) *watchWriter {
	return &watchWriter{w, http.NewResponseController(w), time.NewTimer(heartbeatInterval)}
}

// watchEnd is what ends a watch other than its reader.
type watchEnd struct {
	ctx   context.Context
	all   <-chan struct{} // closed to end all watches
	moved <-chan struct{} // closed to send this one elsewhere
}

// await writes heartbeats until there is news, and tells whether the watch goes on.
func (w *watchWriter) await(news <-chan struct{}, end watchEnd) bool {
	for {
		select {
		case <-news:
			return true
		case <-w.quiet.C:
			if !w.write([]byte("\n")) {
				return false
			}
		case <-end.all:
			return false
		case <-end.moved:
			return false
		case <-end.ctx.Done():
			return false
		}
	}
}

// close releases what the writer holds.
func (w *watchWriter) close() { w.quiet.Stop() }

// write sends a text at once, and tells whether the reader took it in time.
func (w *watchWriter) write(text []byte) bool {
	if w.control.SetWriteDeadline(time.Now().Add(writeWait)) != nil {
		return false
	}
	if _, err := w.w.Write(text); err != nil {
		return false
	}
	w.quiet.Reset(heartbeatInterval)
	return w.control.Flush() == nil
}
