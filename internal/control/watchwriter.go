package control

import (
	"context"
	"net/http"
	"time"
)

const (
	// heartbeatInterval is how often an idle watch is sent an empty line, which shows the reader
	// that the connection works.
	heartbeatInterval = 2 * time.Second
	// writeTimeout is how long a reader may take for a line before its watch ends.
	writeTimeout = 10 * time.Second
)

// watchWriter writes the lines of one watch, each within writeTimeout, and heartbeats between
// them. One goroutine uses it.
type watchWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	heartbeat  *time.Timer // fires when the next heartbeat is due
}

func newWatchWriter(w http.ResponseWriter) *watchWriter {
	return &watchWriter{w, http.NewResponseController(w), time.NewTimer(heartbeatInterval)}
}

// watchTermination holds what ends a watch other than its reader.
type watchTermination struct {
	ctx      context.Context
	endAll   <-chan struct{} // closed to end all watches
	migrated <-chan struct{} // closed to have this watch's reader go to another server
}

// awaitChange writes heartbeats until changed has an element or is closed. It returns false if
// the watch has ended.
func (w *watchWriter) awaitChange(changed <-chan struct{}, end watchTermination) bool {
	for {
		select {
		case <-changed:
			return true
		case <-w.heartbeat.C:
			if !w.write([]byte("\n")) {
				return false
			}
		case <-end.endAll:
			return false
		case <-end.migrated:
			return false
		case <-end.ctx.Done():
			return false
		}
	}
}

// close stops the heartbeat's timer.
func (w *watchWriter) close() { w.heartbeat.Stop() }

// write sends a line at once. It returns false if the reader didn't take it in time.
func (w *watchWriter) write(line []byte) bool {
	if w.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	if _, err := w.w.Write(line); err != nil {
		return false
	}
	w.heartbeat.Reset(heartbeatInterval)
	return w.controller.Flush() == nil
}
