package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"knotrouter/internal/endpoints"
)

// endpointsPath is the path of calls for lists and watches.
const endpointsPath = "/v1/endpoints"

// heartbeatInterval is the time after which a watch sends an empty line if there are no changes.
const heartbeatInterval = 2 * time.Second

// ServeHTTP serves the full list, or a watch if the query has follow=1.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	agent := r.Context().Value(agentContextKey{}).(int)
	w.Header()["Date"] = nil
	if r.URL.Path != endpointsPath || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	s.Calls.Add(1)
	query := r.URL.Query()
	follow := query.Get("follow") == "1"
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if follow && err != nil {
		http.Error(w, "since: not a number", http.StatusBadRequest)
		return
	}
	// The service time depends on the length of the list when the call arrives.
	entryCount := len(s.List(agent, since, !follow).Endpoints)
	if !s.waitForCapacity(r.Context(), entryCount) {
		s.FailedCalls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if follow {
		s.serveWatch(w, r, agent, since)
	} else {
		s.serveList(w, agent)
	}
}

// waitForCapacity queues a call whose response has the given number of entries, and waits until its service
// time has passed. It returns false if the call would wait longer than the queue timeout, after that
// timeout, or if the context ends first.
func (s *Service) waitForCapacity(ctx context.Context, entryCount int) bool {
	serviceTime := s.config.ServiceTime + time.Duration(entryCount)*s.config.ServiceTimePerEntry
	if serviceTime <= 0 {
		return true
	}
	now := s.env.Clock()
	doneAt, ok := s.calls.reserve(now, serviceTime, s.config.QueueTimeout)
	timer := time.NewTimer(doneAt - now)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ok
	case <-ctx.Done():
		return false
	}
}

// serveList writes the full list. The agent is recorded as notified before it can have read the list.
func (s *Service) serveList(w http.ResponseWriter, agent int) {
	s.FullLists.Add(1)
	list := s.List(agent, 0, true)
	text, _ := json.Marshal(list)
	s.recordNotified(agent, &list)
	_, _ = w.Write(text)
}

// serveWatch writes the changes since the revision, or the full list, and then each batch of changes until
// the connection ends.
func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request, agent int, since int64) {
	s.OpenWatches.Add(1)
	defer s.OpenWatches.Add(-1)
	controller := http.NewResponseController(w)
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		list, changed := s.listAndChanged(agent, since, false)
		line := []byte("\n")
		if first || list.Full || len(list.Endpoints) > 0 {
			line = s.watchLine(agent, &list)
		}
		since = list.Seq
		if _, err := w.Write(line); err != nil || controller.Flush() != nil {
			return
		}
		heartbeat.Reset(heartbeatInterval)
		select {
		case <-changed:
			if !s.waitForBatch(r.Context()) {
				return
			}
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		}
	}
}

// watchLine encodes the list as a line of a watch and records that it is sent to the agent.
func (s *Service) watchLine(agent int, list *endpoints.List) []byte {
	text, _ := json.Marshal(list)
	s.recordNotified(agent, list)
	return append(text, '\n')
}

// waitForBatch waits for BatchInterval, so that changes within it are sent in one line. It returns false if
// the context ends first.
func (s *Service) waitForBatch(ctx context.Context) bool {
	select {
	case <-time.After(s.config.BatchInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
