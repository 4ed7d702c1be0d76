package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

const (
	maxBodyBytes = 64 << 10
	// bodyTimeout is how long a body may take to come, and catchUpTimeout how long a reader who knows
	// more than this steward waits for it to catch up.
	bodyTimeout    = 3 * time.Second
	catchUpTimeout = 1500 * time.Millisecond
	// maxRevisionLead is how far beyond the clock a version can be that a reader truly has: one
	// a microsecond for a day.
	maxRevisionLead = int64(24 * time.Hour / time.Microsecond)
	maxRefsPerCall  = 2000 // of one call
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoints.Path, s.handleList)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	mux.HandleFunc("GET /v1/servers", s.leaderReads(s.handleServers))
	mux.HandleFunc("GET /v1/servers/{name}", s.leaderReads(s.handleServer))
	mux.HandleFunc("GET /v1/snapshot", s.leaderReads(s.handleSnapshot))
	mux.HandleFunc("PUT /v1/servers/{name}", s.leaderWrites(s.handleRegister))
	mux.HandleFunc("PATCH /v1/servers/{name}", s.leaderWrites(s.handleSetOverride))
	mux.HandleFunc("DELETE /v1/servers/{name}", s.leaderWrites(s.registrationEndHandler(catalog.Deregister)))
	mux.HandleFunc("POST /v1/servers/{name}/drain", s.leaderWrites(s.registrationEndHandler(catalog.Drain)))
	mux.HandleFunc("POST /v1/renewals", s.leaderWritesAfter(s.observeRenewals, s.handleRenewals))
	mux.HandleFunc("POST /v1/guard/confirm", s.leaderWrites(s.handleConfirmRemovals))
	mux.HandleFunc("POST /v1/seen", s.leaderWrites(s.handleReportedRevision))
	mux.HandleFunc("PUT /v1/snapshot", s.leaderWrites(s.handleRestore))
	mux.HandleFunc("PUT /v1/peers/{name}", s.leaderWrites(s.handleAddPeer))
	mux.HandleFunc("DELETE /v1/peers/{name}", s.leaderWrites(s.handleRemovePeer))
	s.registerTaskRoutes(mux)
	s.registerMemberRoutes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Also for what no handler reads: the server reads it to its end otherwise.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}

// statusByCode are the codes of the catalog on HTTP.
var statusByCode = map[catalog.Code]int{catalog.Superseded: http.StatusConflict, catalog.Unknown: http.StatusNotFound,
	catalog.Conflict: http.StatusPreconditionFailed, catalog.Invalid: http.StatusBadRequest,
	catalog.Fenced: http.StatusPreconditionFailed, catalog.Taken: http.StatusConflict,
	catalog.TooMany: http.StatusInsufficientStorage, catalog.Unsupported: http.StatusNotImplemented}

// writeError words an error in one line. What surely had no effect says so.
func writeError(w http.ResponseWriter, err error) {
	var bad *badRequestError
	var refused *rejectedError
	switch {
	case errors.As(err, &refused):
		http.Error(w, err.Error(), statusByCode[refused.Code])
	case errors.As(err, &bad):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, errNoLeader):
		w.Header().Set("Retry-After", "0.2")
		w.Header().Set("Not-Applied", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Retry-After", "0.2")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

type badRequestError struct{ text string }

func (b *badRequestError) Error() string { return b.text }

func newBadRequest(format string, args ...any) error {
	return &badRequestError{fmt.Sprintf(format, args...)}
}

// handleList is discovery's form: the whole list, or a watch.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	services, err := parseServices(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	follow := query.Get("follow") == "1"
	var since int64
	if follow {
		if since, err = strconv.ParseInt(query.Get("since"), 10, 64); err != nil || since < 0 {
			http.Error(w, "since: no version", http.StatusBadRequest)
			return
		}
	}
	if query.Get("consistent") == "1" && !follow {
		s.leaderReads(func(w http.ResponseWriter, _ *http.Request) { s.writeFullList(w, services) })(w, r)
		return
	}
	if !s.admission.admitCall(w, s.estimateListBytes(services, follow, since)) {
		s.metrics.calls.WithLabelValues("list", "away").Inc()
		return
	}
	movable := r.Header.Get(endpoints.OtherAddressesHeader) != ""
	if s.raft() == nil || s.fsm.revision() == 0 || s.stale() || movable && s.draining.Load() {
		// Nobody is to be left without a list that is better than none; but whoever can go to
		// a steward that has the quorum is better off there.
		if s.raft() == nil || s.fsm.revision() == 0 || s.betterElsewhere() {
			s.metrics.calls.WithLabelValues("list", "elsewhere").Inc()
			w.Header().Set("Retry-After", "0.2")
			http.Error(w, "this steward has no list of now; another may", http.StatusServiceUnavailable)
			return
		}
	}
	if !follow {
		s.metrics.calls.WithLabelValues("list", "whole").Inc()
		s.writeFullList(w, services)
		return
	}
	if !s.awaitRevision(r.Context(), since) {
		s.metrics.calls.WithLabelValues("list", "behind").Inc()
		w.Header().Set("Retry-After", "0.2")
		http.Error(w, "this steward lags behind what the reader knows", http.StatusServiceUnavailable)
		return
	}
	end, ok := s.broadcaster.register(s.admission.maxWatches, movable)
	if !ok {
		s.admission.reject(w, maxRetryAfter)
		return
	}
	defer s.broadcaster.unregister(end)
	defer s.openAgentSession(r)()
	s.metrics.calls.WithLabelValues("list", "watch").Inc()
	w.Header().Set("Content-Type", "application/json")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if services == nil {
		s.broadcaster.watch(ctx, w, since, end)
		return
	}
	setScope(w, services)
	s.broadcaster.watchServices(ctx, w, services, since, end)
}

// writeFullList writes the whole list, of some services where any are named.
func (s *Server) writeFullList(w http.ResponseWriter, services []string) {
	w.Header().Set("Content-Type", "application/json")
	if services == nil {
		_, _ = w.Write(s.broadcaster.encodedFullList())
		return
	}
	setScope(w, services)
	text, _ := s.broadcaster.services.encodedList(services, 0, true)
	_, _ = w.Write(text)
}

// estimateListBytes is about how many bytes of a list a call is going to write at once.
func (s *Server) estimateListBytes(services []string, follow bool, since int64) int {
	switch {
	case services != nil:
		return s.broadcaster.services.estimateListBytes(services, since, !follow)
	case follow:
		return 0
	}
	return s.broadcaster.estimateFullListBytes()
}

// awaitRevision deals with a reader whose version this steward has not reached. It may lag, and
// catches up; or the reader's version is from another life of the service, and the leader
// raises its own beyond it. Not ok is a steward that lags too far while a better one is there.
func (s *Server) awaitRevision(ctx context.Context, since int64) bool {
	if since <= s.fsm.revision() || since > s.config.Now().UnixMicro()+maxRevisionLead {
		return true
	}
	s.reportRevision(since)
	end := time.NewTimer(catchUpTimeout)
	defer end.Stop()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for s.fsm.revision() < since {
		select {
		case <-look.C:
		case <-end.C:
			return !s.betterElsewhere()
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// reportRevision tells the leader of a version that a reader has.
func (s *Server) reportRevision(seq int64) {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
	defer cancel()
	if _, leads := s.leaderClock(); leads {
		if err := s.raiseRevisionAbove(ctx, seq); err != nil {
			s.log.Debug("whether a reader's version is later is unknown", "err", err)
		}
		return
	}
	if p, ok := (*s.peerTable.Load())[s.leader()]; ok {
		if err := call(ctx, s.peerClient, http.MethodPost, "http://"+p.HTTP+"/v1/seen", revisionBody{seq}, nil); err != nil {
			s.log.Debug("the leader was not told what a reader has", "err", err)
		}
	}
}

type revisionBody struct {
	Seq int64 `json:"seq"`
}

// raiseRevisionAbove raises the version beyond what a reader has, if the log doesn't lead there. A
// steward may have applied entries that this leader has committed and not applied yet, so all that
// is committed is applied first: a raise drops the history, and every reader would be sent the
// whole list for nothing.
func (s *Server) raiseRevisionAbove(ctx context.Context, seen int64) error {
	if s.fsm.revision() >= seen {
		return nil
	}
	if err := s.barrier(ctx); err != nil {
		return err
	}
	if s.fsm.revision() < seen {
		s.raiseRevision(seen)
	}
	return nil
}

// handleReportedRevision raises the version beyond what a reader has, if the leader has not been there.
func (s *Server) handleReportedRevision(w http.ResponseWriter, r *http.Request) error {
	var b revisionBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Seq > s.config.Now().UnixMicro()+maxRevisionLead || b.Seq < 0 {
		return newBadRequest("seq: no version that a reader can have")
	}
	if err := s.raiseRevisionAbove(r.Context(), b.Seq); err != nil {
		return err
	}
	writeJSON(w, revisionBody{s.fsm.revision()})
	return nil
}

// forwardedByHeader marks a call that another steward passed on; it isn't passed on again.
const forwardedByHeader = "Forwarded-By"

// leaderWrites has the leader carry out a write, wherever it came in.
func (s *Server) leaderWrites(do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return s.leaderWritesAfter(func(http.ResponseWriter, *http.Request) error { return nil }, do)
}

// leaderWritesAfter does something with an admitted write here, before the leader carries it out.
func (s *Server) leaderWritesAfter(here, do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ok, back := s.admission.admitWrite(w)
		if !ok {
			return
		}
		defer back()
		if err := here(w, r); err != nil {
			writeError(w, err)
			return
		}
		if _, leads := s.leaderClock(); !leads {
			s.forwardToLeader(w, r)
			return
		}
		if err := do(w, r); err != nil {
			writeError(w, err)
		}
	}
}

// leaderReads has the leader answer a read that asks for all that was acknowledged before
// it; any other is answered here, as far as this steward has come.
func (s *Server) leaderReads(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("consistent") != "1" {
			do(w, r)
			return
		}
		if _, leads := s.leaderClock(); !leads {
			s.forwardToLeader(w, r)
			return
		}
		if err := s.barrier(r.Context()); err != nil {
			writeError(w, err)
			return
		}
		do(w, r)
	}
}

// forwardToLeader hands a call to the leader.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request) {
	leader, known := (*s.peerTable.Load())[s.leader()]
	if !known || s.leader() == s.config.Name || r.Header.Get(forwardedByHeader) != "" {
		writeError(w, errNoLeader)
		return
	}
	text, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout+peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+leader.HTTP+r.URL.RequestURI(), bytes.NewReader(text))
	if err != nil {
		writeError(w, err)
		return
	}
	req.Header.Set(forwardedByHeader, s.config.Name)
	req.GetBody = nil // the transport must not send it again by itself
	resp, err := (&http.Client{Transport: s.peerClient.Transport}).Do(req)
	switch {
	case err != nil && neverSent(err):
		writeError(w, errNoLeader)
		return
	case err != nil:
		writeError(w, fmt.Errorf("%w: %v", errUnknownOutcome, err))
		return
	}
	defer resp.Body.Close()
	for _, key := range []string{"Content-Type", "Retry-After", "Not-Applied", endpoints.ScopeHeader} {
		if v := resp.Header.Get(key); v != "" {
			w.Header().Set(key, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// readBody reads a body within its time and its bound.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	most := int64(maxBodyBytes)
	if r.URL.Path == "/v1/snapshot" || r.URL.Path == "/v1/renewals" {
		most = maxSnapshotBytes
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		w.Header().Set("Connection", "close") // what is left of it is waited for no longer
		return nil, newBadRequest("body: %v", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return text, nil
}

// decodeBody reads one JSON value, with no key that is not known.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return newBadRequest("body: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newBadRequest("body: more than one value")
	}
	return nil
}

// commitAndAnswer proposes a command and answers with what became of it.
func (s *Server) commitAndAnswer(w http.ResponseWriter, c catalog.Command) error {
	res, err := s.propose(c)
	if err != nil {
		return err
	}
	if res.Code != catalog.Done {
		return &rejectedError{res}
	}
	writeJSON(w, res)
	return nil
}

// rejectedError is what the state said no to.
type rejectedError struct{ catalog.Result }

func (r *rejectedError) Error() string { return string(r.Code) + ": " + r.Text }

// handleRegister takes a server's entry; its lease begins.
func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) error {
	var endpoint endpoints.Endpoint
	if err := decodeBody(w, r, &endpoint); err != nil {
		return err
	}
	if endpoint.Name != r.PathValue("name") {
		return newBadRequest("host: %q is not the name in the path", endpoint.Name)
	}
	if err := endpoint.Validate(); err != nil {
		return newBadRequest("%v", err)
	}
	if endpoint.Health == endpoints.Removed {
		return newBadRequest("health: a server that is gone doesn't register")
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.Register, Endpoint: &endpoint})
}

// registrationEndHandler drains a server or takes it off the list.
func (s *Server) registrationEndHandler(kind catalog.Kind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		born, err := strconv.ParseFloat(r.URL.Query().Get("born_ms"), 64)
		if err != nil {
			return newBadRequest("born_ms: no number in the query")
		}
		return s.commitAndAnswer(w, catalog.Command{Kind: kind, Refs: []catalog.InstanceRef{{Name: r.PathValue("name"), StartedMs: born}}})
	}
}

// RenewalBatch is the servers that were heard, and what each is to be told.
type RenewalBatch struct {
	Refs  []catalog.InstanceRef `json:"refs"`
	Codes []catalog.Code        `json:"codes,omitempty"`
	TTLMs int64                 `json:"ttl_ms,omitempty"`
}

func (s *Server) handleRenewals(w http.ResponseWriter, r *http.Request) error {
	var b RenewalBatch
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if len(b.Refs) > maxRefsPerCall {
		return newBadRequest("refs: %d of at most %d", len(b.Refs), maxRefsPerCall)
	}
	codes, err := s.renew(b.Refs)
	if err != nil {
		return err
	}
	writeJSON(w, RenewalBatch{Refs: []catalog.InstanceRef{}, Codes: codes, TTLMs: s.config.LeaseTTL.Milliseconds()})
	return nil
}

// ServerOverride is an operator's word for a server.
type ServerOverride struct {
	Weight    *float64 `json:"share,omitempty"`
	Health    *string  `json:"health,omitempty"`
	IfVersion int64    `json:"if,omitempty"`
}

func (s *Server) handleSetOverride(w http.ResponseWriter, r *http.Request) error {
	var b ServerOverride
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Weight == nil && b.Health == nil {
		return newBadRequest("share, health: neither is given")
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.SetOverride, Name: r.PathValue("name"), Weight: b.Weight, Health: b.Health, IfVersion: b.IfVersion})
}

func (s *Server) handleConfirmRemovals(w http.ResponseWriter, _ *http.Request) error {
	s.log.Warn("an operator confirms that the held servers are gone")
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.ConfirmRemoval})
}

func (s *Server) handleServers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, entryTable, shallowCopy))
}

func (s *Server) handleServer(w http.ResponseWriter, r *http.Request) {
	e := copyOne(s.fsm, entryTable, r.PathValue("name"), shallowCopy)
	writeJSONOrNotFound(w, e, "no server of this name")
}

func (s *Server) handleSnapshot(w http.ResponseWriter, _ *http.Request) {
	var text []byte
	var err error
	s.fsm.read(func(state *catalog.State) { text, err = state.Encode() })
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// handleRestore puts a snapshot in place of the state. The version goes on from where it was.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	state, err := catalog.Decode(text)
	if err != nil {
		return newBadRequest("%v", err)
	}
	before := max(s.fsm.revision(), state.Seq)
	if err := s.raft().Restore(&raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text))}, bytes.NewReader(text), 30*time.Second); err != nil {
		return fmt.Errorf("%w: %v", errUnknownOutcome, err)
	}
	s.raiseRevision(before)
	s.leaderMu.Lock()
	s.fsm.read(func(state *catalog.State) { // all that it names have their full time
		s.clockAtElection, s.electedAt = max(s.clockAtElection+time.Since(s.electedAt), state.Clock), time.Now()
		if s.registrationLeases != nil {
			s.registrationLeases, s.taskLeases = catalog.NewRegistrationLeases(s.config.leaseConfig(), state, s.clockAtElection), catalog.NewTaskLeases(s.clockAtElection)
		}
	})
	s.leaderMu.Unlock()
	s.log.Warn("a snapshot was put in place of the state", "entries", len(state.Entries), "version", s.fsm.revision())
	writeJSON(w, s.status())
	return nil
}

// handleAddPeer takes a steward in: it hears all first, and votes once it has caught up.
func (s *Server) handleAddPeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if _, known := s.raftAddr(name); !known {
		return newBadRequest("peer %s: not in the leader's table of peers", name)
	}
	id, addr := raft.ServerID(name), raft.ServerAddress(name)
	for _, v := range s.voters() {
		if v == name {
			writeJSON(w, s.status())
			return nil
		}
	}
	if err := s.raft().AddNonvoter(id, addr, 0, applyTimeout).Error(); err != nil {
		return configurationError(err)
	}
	if r.URL.Query().Get("spare") == "1" {
		s.log.Info("a steward hears all, as a spare", "peer", name)
		writeJSON(w, s.status())
		return nil
	}
	end := time.Now().Add(30 * time.Second)
	for {
		if st, err := s.statusOf(r.Context(), name); err == nil && st.Applied+16 >= s.raft().CommitIndex() && st.Applied > 0 {
			break
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			return fmt.Errorf("peer %s: it did not catch up within 30 s; it hears all and doesn't vote", name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := s.raft().AddVoter(id, addr, 0, applyTimeout).Error(); err != nil {
		return configurationError(err)
	}
	s.log.Info("a steward votes", "peer", name)
	writeJSON(w, s.status())
	return nil
}

// handleRemovePeer takes a steward off the voters.
func (s *Server) handleRemovePeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if name == s.config.Name && len(s.voters()) == 1 {
		return newBadRequest("peer %s: it is the only one that votes", name)
	}
	if err := s.checkNameConflict(name, r.URL.Query().Get("id")); err != nil {
		return err
	}
	if err := s.raft().RemoveServer(raft.ServerID(name), 0, applyTimeout).Error(); err != nil {
		return configurationError(err)
	}
	s.log.Info("a steward is off the voters", "peer", name)
	writeJSON(w, s.status())
	return nil
}

func configurationError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return errNoLeader
	}
	return fmt.Errorf("%w: %v", errUnknownOutcome, err)
}
