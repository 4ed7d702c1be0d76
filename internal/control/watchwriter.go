package control

import (
	"context"
	"net/http"
	"time"
)

// watchCount is how many watchCount are open.
func (b *watchBroadcaster) watchCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openWatches
}

// load is how many watches there are, and how many of them can go elsewhere.
func (b *watchBroadcaster) load() watchLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return watchLoad{b.openWatches, len(b.movable)}
}

// register counts a watch, unless there are as many as there may be. What it returns is closed
// to end this one.
func (b *watchBroadcaster) register(limit int, movable bool) (chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openWatches >= limit {
		return nil, false
	}
	b.openWatches++
	end := make(chan struct{})
	if movable {
		b.movable[end] = true
	}
	return end, true
}

// unregister ends the counting of a watch.
func (b *watchBroadcaster) unregister(end chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openWatches--
	delete(b.movable, end)
}

// migrate ends so many of the watches whose readers can go elsewhere, and tells how many it
// were. Which ones is left to chance.
func (b *watchBroadcaster) migrate(count int) (migrated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for end := range b.movable {
		if migrated >= count {
			break
		}
		close(end)
		delete(b.movable, end)
		migrated++
	}
	return migrated
}

// endAll ends all watches and tells how many there were.
func (b *watchBroadcaster) endAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.endAllSignal)
	b.endAllSignal = make(chan struct{})
	return b.openWatches
}

// watchWriter writes the lines of one watch, each within a bounded time, and heartbeats
// between them.
type watchWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	heartbeat  *time.Timer // until the next heartbeat
}

func newWatchWriter(w http.ResponseWriter) *watchWriter {
	return &watchWriter{w, http.NewResponseController(w), time.NewTimer(heartbeatInterval)}
}

// watchTermination is what ends a watch other than its reader.
type watchTermination struct {
	ctx      context.Context
	all      <-chan struct{} // closed to end all watches
	migrated <-chan struct{} // closed to send this one elsewhere
}

// awaitChange writes heartbeats until there is news, and tells whether the watch goes on.
func (w *watchWriter) awaitChange(news <-chan struct{}, end watchTermination) bool {
	for {
		select {
		case <-news:
			return true
		case <-w.heartbeat.C:
			if !w.write([]byte("\n")) {
				return false
			}
		case <-end.all:
			return false
		case <-end.migrated:
			return false
		case <-end.ctx.Done():
			return false
		}
	}
}

// close releases what the writer holds.
func (w *watchWriter) close() { w.heartbeat.Stop() }

// write sends a text at once, and tells whether the reader took it in time.
func (w *watchWriter) write(text []byte) bool {
	if w.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	if _, err := w.w.Write(text); err != nil {
		return false
	}
	w.heartbeat.Reset(heartbeatInterval)
	return w.controller.Flush() == nil
}
