package control

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"knotrouter/internal/endpoints"
)

// Label values of the metric that counts requests for the list: the kind of call and the outcomes. They
// must not change, because dashboards depend on them.
const (
	listCallKind          = "list"
	outcomeRejected       = "away"
	outcomeDeferredToPeer = "elsewhere"
	outcomeFullList       = "whole"
	outcomeLagging        = "behind"
	outcomeWatch          = "watch"
)

// listRequest is a request for the endpoint list, or for a watch of it.
type listRequest struct {
	services   []string // the services that it is limited to, sorted; nil: the whole list
	watch      bool     // a watch, not just the full list
	since      int64    // for a watch: the version of the list that the reader already has
	consistent bool     // the list must reflect every write acknowledged before the request
	canMigrate bool     // the reader knows other control-plane servers, to which its watch can be migrated
}

// parseListRequest parses a request for the list. It returns a badRequestError if the query is
// invalid.
func parseListRequest(r *http.Request) (listRequest, error) {
	query := r.URL.Query()
	services, err := parseServices(r.URL.RawQuery)
	if err != nil {
		return listRequest{}, err
	}
	request := listRequest{
		services:   services,
		watch:      query.Get("follow") == "1",
		consistent: query.Get("consistent") == "1",
		canMigrate: r.Header.Get(endpoints.OtherAddressesHeader) != "",
	}
	if request.watch {
		request.since, err = strconv.ParseInt(query.Get("since"), 10, 64)
		if err != nil || request.since < 0 {
			return listRequest{}, newBadRequest("since: no version")
		}
	}
	return request, nil
}

// handleList answers with the endpoint list in the form that agents read: the full list, or a watch,
// which continues until the reader or this server ends it.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	request, err := parseListRequest(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if request.consistent && !request.watch {
		s.leaderReads(func(w http.ResponseWriter, _ *http.Request) { s.writeFullList(w, request.services) })(w, r)
		return
	}
	if !s.admission.admitCall(w, s.estimateListBytes(request.services, request.watch, request.since)) {
		s.countListCall(outcomeRejected)
		return
	}
	if s.shouldDeferToPeer(request.canMigrate) {
		s.countListCall(outcomeDeferredToPeer)
		writeUnavailable(w, "this steward has no list of now; another may")
		return
	}
	if !request.watch {
		s.countListCall(outcomeFullList)
		s.writeFullList(w, request.services)
		return
	}
	s.serveWatch(w, r, request)
}

func (s *Server) countListCall(outcome string) {
	s.metrics.calls.WithLabelValues(listCallKind, outcome).Inc()
}

// shouldDeferToPeer reports whether a reader should use another control-plane server instead. A stale
// list is served as long as no other server has a current one, because agents can't work without any
// list. canMigrate tells whether the reader knows other servers.
func (s *Server) shouldDeferToPeer(canMigrate bool) bool {
	if s.raft() == nil || s.fsm.revision() == 0 {
		return true
	}
	if s.stale() || canMigrate && s.draining.Load() {
		return s.peerCanServe()
	}
	return false
}

// serveWatch writes the events of a watch until the reader or this server ends it.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, request listRequest) {
	if !s.awaitRevision(r.Context(), request.since) {
		s.countListCall(outcomeLagging)
		writeUnavailable(w, "this steward lags behind what the reader knows")
		return
	}
	end, ok := s.broadcaster.register(s.admission.maxWatches, request.canMigrate)
	if !ok {
		s.admission.reject(w, maxRetryAfter)
		return
	}
	defer s.broadcaster.unregister(end)
	defer s.openAgentSession(r)()
	s.countListCall(outcomeWatch)
	w.Header().Set("Content-Type", "application/json")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if request.services == nil {
		s.broadcaster.watch(ctx, w, request.since, end)
		return
	}
	setScope(w, request.services)
	s.broadcaster.watchServices(ctx, w, request.services, request.since, end)
}

// writeFullList answers with the full list, limited to services if any are given.
func (s *Server) writeFullList(w http.ResponseWriter, services []string) {
	w.Header().Set("Content-Type", "application/json")
	if services == nil {
		_, _ = w.Write(s.broadcaster.encodedFullList())
		return
	}
	setScope(w, services)
	text, _ := s.broadcaster.services.fullLists.encodedList(services)
	_, _ = w.Write(text)
}

// estimateListBytes returns the approximate size of the list with which the answer to a request
// begins.
func (s *Server) estimateListBytes(services []string, watch bool, since int64) int {
	switch {
	case services != nil:
		return s.broadcaster.services.estimateListBytes(services, since, !watch)
	case watch:
		return 0
	}
	return s.broadcaster.estimateFullListBytes()
}

// parseServices returns the services that a query names, sorted and without duplicates, or nil
// if it names none. The empty name is the default service. It returns a badRequestError if the query
// or a name is invalid, or if there are too many names.
func parseServices(query string) ([]string, error) {
	q, err := url.ParseQuery(query)
	if err != nil && strings.Contains(query, endpoints.ServiceParam) {
		return nil, newBadRequest("service: the query makes no sense: %v", err)
	}
	named := q[endpoints.ServiceParam]
	if len(named) > endpoints.MaxServices {
		return nil, newBadRequest("service: %d of at most %d", len(named), endpoints.MaxServices)
	}
	for _, name := range named {
		if name != "" && !endpoints.IsToken(name, endpoints.MaxLabel) {
			return nil, newBadRequest("service: must be at most %d printable characters without spaces or slashes", endpoints.MaxLabel)
		}
	}
	services := slices.Clone(named)
	slices.Sort(services)
	return slices.Compact(services), nil
}

// setScope sets the header that tells the reader that the list is limited to these services.
func setScope(w http.ResponseWriter, services []string) {
	w.Header().Set(endpoints.ScopeHeader, strconv.Itoa(len(services)))
}
