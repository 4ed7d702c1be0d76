package agent

import (
	"net/http"
	"strconv"
	"time"

	"knotrouter/policy"
)

// serveReady answers the readiness probe.
func (a *Agent) serveReady(w http.ResponseWriter, client *clientConn) {
	late := time.Since(a.loop.startedAt) >= readyDeadline
	if a.draining.Load() || !a.loop.hasUsableBackend.Load() && !late {
		a.writeResponse(w, client, http.StatusServiceUnavailable, "text/plain", []byte("no backend to send to\n"))
		return
	}
	a.writeResponse(w, client, http.StatusOK, "", nil)
}

// writeAnswer writes the response for a final answer.
func (a *Agent) writeAnswer(w http.ResponseWriter, r *request, ans answer) {
	switch ans.status {
	case policy.OK:
		a.writeResponse(w, r.client, http.StatusOK, ans.contentType, ans.body)
	case policy.Full:
		if ans.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
		}
		a.writeResponse(w, r.client, http.StatusServiceUnavailable, "", nil)
	default:
		a.writeResponse(w, r.client, http.StatusBadGateway, "", nil)
	}
}

// writeResponse writes a response. It announces the end of the connection if no further request may be read: bytes
// after the current request were dropped; or, if no byte of a further request was read, if the agent shuts down or the
// client connections are nearly full, so that idle connections don't keep other clients waiting. client is nil in
// tests without a connection.
func (a *Agent) writeResponse(w http.ResponseWriter, client *clientConn, status int, contentType string, body []byte) {
	h := w.Header()
	toEnd := a.draining.Load() || a.clients.nearlyFull()
	if client == nil && toEnd || client != nil && !client.sealReadAhead(toEnd) {
		h.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h["Date"] = nil
	if contentType == "" {
		h["Content-Type"] = nil // keeps net/http from guessing it
	} else {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected
}
