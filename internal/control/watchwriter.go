package control

import (
	"context"
	"net/http"
	"time"
)

const (
	// heartbeatInterval is how often an empty line is sent on an idle watch, which shows the reader
	// that the connection works.
	heartbeatInterval = 2 * time.Second
	// writeTimeout is how long a reader may take to receive a line before its watch is ended.
	writeTimeout = 10 * time.Second
)

// watchWriter writes the lines of one watch, each within writeTimeout, and heartbeats between them.
// It is not safe for concurrent use.
type watchWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	heartbeat  *time.Timer // fires when the next heartbeat is due
}

func newWatchWriter(w http.ResponseWriter) *watchWriter {
	return &watchWriter{w, http.NewResponseController(w), time.NewTimer(heartbeatInterval)}
}

// watchTermination holds the signals that end a watch, apart from a failed write to the reader.
type watchTermination struct {
	ctx      context.Context
	endAll   <-chan struct{} // closed to end all watches
	migrated <-chan struct{} // closed to make this watch's reader reconnect to another server
}

// awaitChange writes heartbeats until it receives from changed or changed is closed. It returns false
// if the watch has ended.
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

// close stops the heartbeat timer.
func (w *watchWriter) close() { w.heartbeat.Stop() }

// write writes a line and flushes it. It returns false if the reader didn't receive it in time.
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
