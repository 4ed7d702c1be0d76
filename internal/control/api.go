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
	maxBody = 64 << 10
	// bodyWait is how long a body may take to come, and catchUp how long a reader who knows
	// more than this steward waits for it to catch up.
	bodyWait = 3 * time.Second
	catchUp  = 1500 * time.Millisecond
	// dayOfVersions is how far beyond the clock a version can be that a reader truly has: one
	// a microsecond for a day.
	dayOfVersions = int64(24 * time.Hour / time.Microsecond)
	maxRefs       = 2000 // of one call
)

func (n *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoints.Path, n.serveList)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { answer(w, n.status()) })
	mux.HandleFunc("GET /v1/servers", n.leaderReads(n.serveServers))
	mux.HandleFunc("GET /v1/servers/{name}", n.leaderReads(n.serveServer))
	mux.HandleFunc("GET /v1/snapshot", n.leaderReads(n.serveSnapshot))
	mux.HandleFunc("PUT /v1/servers/{name}", n.leaderWrites(n.register))
	mux.HandleFunc("PATCH /v1/servers/{name}", n.leaderWrites(n.set))
	mux.HandleFunc("DELETE /v1/servers/{name}", n.leaderWrites(n.ends(catalog.Deregister)))
	mux.HandleFunc("POST /v1/servers/{name}/drain", n.leaderWrites(n.ends(catalog.Drain)))
	mux.HandleFunc("POST /v1/renewals", n.leaderWritesAfter(n.heardRenewals, n.renewals))
	mux.HandleFunc("POST /v1/guard/confirm", n.leaderWrites(n.confirm))
	mux.HandleFunc("POST /v1/seen", n.leaderWrites(n.seen))
	mux.HandleFunc("PUT /v1/snapshot", n.leaderWrites(n.restore))
	mux.HandleFunc("PUT /v1/peers/{name}", n.leaderWrites(n.addPeer))
	mux.HandleFunc("DELETE /v1/peers/{name}", n.leaderWrites(n.removePeer))
	n.handleDuties(mux)
	n.handleMembers(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.m.registry, promhttp.HandlerOpts{}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Also for what no handler reads: the server reads it to its end otherwise.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyWait))
		}
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}

// statuses are the codes of the catalog on HTTP.
var statuses = map[catalog.Code]int{catalog.Superseded: http.StatusConflict, catalog.Unknown: http.StatusNotFound,
	catalog.Conflict: http.StatusPreconditionFailed, catalog.Invalid: http.StatusBadRequest,
	catalog.Fenced: http.StatusPreconditionFailed, catalog.Taken: http.StatusConflict,
	catalog.TooMany: http.StatusInsufficientStorage, catalog.Unsupported: http.StatusNotImplemented}

// refuse words an error in one line. What surely had no effect says so.
func refuse(w http.ResponseWriter, err error) {
	var bad *badRequest
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		http.Error(w, err.Error(), statuses[refused.Code])
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

type badRequest struct{ text string }

func (b *badRequest) Error() string { return b.text }

func bad(format string, args ...any) error { return &badRequest{fmt.Sprintf(format, args...)} }

// serveList is discovery's form: the whole list, or a watch.
func (n *Server) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	services, err := parseServices(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	follow := q.Get("follow") == "1"
	var since int64
	if follow {
		if since, err = strconv.ParseInt(q.Get("since"), 10, 64); err != nil || since < 0 {
			http.Error(w, "since: no version", http.StatusBadRequest)
			return
		}
	}
	if q.Get("consistent") == "1" && !follow {
		n.leaderReads(func(w http.ResponseWriter, _ *http.Request) { n.writeWhole(w, services) })(w, r)
		return
	}
	if !n.calls.call(w, n.listBytes(services, follow, since)) {
		n.m.calls.WithLabelValues("list", "away").Inc()
		return
	}
	movable := r.Header.Get(endpoints.OtherAddressesHeader) != ""
	if n.raft() == nil || n.fsm.seq() == 0 || n.stale() || movable && n.draining.Load() {
		// Nobody is to be left without a list that is better than none; but whoever can go to
		// a steward that has the quorum is better off there.
		if n.raft() == nil || n.fsm.seq() == 0 || n.betterElsewhere() {
			n.m.calls.WithLabelValues("list", "elsewhere").Inc()
			w.Header().Set("Retry-After", "0.2")
			http.Error(w, "this steward has no list of now; another may", http.StatusServiceUnavailable)
			return
		}
	}
	if !follow {
		n.m.calls.WithLabelValues("list", "whole").Inc()
		n.writeWhole(w, services)
		return
	}
	if !n.behind(r.Context(), since) {
		n.m.calls.WithLabelValues("list", "behind").Inc()
		w.Header().Set("Retry-After", "0.2")
		http.Error(w, "this steward lags behind what the reader knows", http.StatusServiceUnavailable)
		return
	}
	end, ok := n.hub.enter(n.calls.maxWatches, movable)
	if !ok {
		n.calls.refuse(w, latest)
		return
	}
	defer n.hub.leave(end)
	defer n.openSessionOf(r)()
	n.m.calls.WithLabelValues("list", "watch").Inc()
	w.Header().Set("Content-Type", "application/json")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	if services == nil {
		n.hub.watch(ctx, w, since, end)
		return
	}
	setScope(w, services)
	n.hub.watchServices(ctx, w, services, since, end)
}

// writeWhole writes the whole list, of some services where any are named.
func (n *Server) writeWhole(w http.ResponseWriter, services []string) {
	w.Header().Set("Content-Type", "application/json")
	if services == nil {
		_, _ = w.Write(n.hub.wholeList())
		return
	}
	setScope(w, services)
	text, _ := n.hub.topics.list(services, 0, true)
	_, _ = w.Write(text)
}

// listBytes is about how many bytes of a list a call is going to write at once.
func (n *Server) listBytes(services []string, follow bool, since int64) int {
	switch {
	case services != nil:
		return n.hub.topics.listBytes(services, since, !follow)
	case follow:
		return 0
	}
	return n.hub.wholeListBytes()
}

// behind deals with a reader whose version this steward has not reached. It may lag, and
// catches up; or the reader's version is from another life of the service, and the leader
// raises its own beyond it. Not ok is a steward that lags too far while a better one is there.
func (n *Server) behind(ctx context.Context, since int64) bool {
	if since <= n.fsm.seq() || since > n.c.Now().UnixMicro()+dayOfVersions {
		return true
	}
	n.tellSeen(since)
	end := time.NewTimer(catchUp)
	defer end.Stop()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for n.fsm.seq() < since {
		select {
		case <-look.C:
		case <-end.C:
			return !n.betterElsewhere()
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// tellSeen tells the leader of a version that a reader has.
func (n *Server) tellSeen(seq int64) {
	ctx, cancel := context.WithTimeout(n.ctx, catchUp)
	defer cancel()
	if _, leads := n.elapsed(); leads {
		if err := n.raiseBeyond(ctx, seq); err != nil {
			n.log.Debug("whether a reader's version is later is unknown", "err", err)
		}
		return
	}
	if p, ok := (*n.table.Load())[n.leader()]; ok {
		if err := call(ctx, n.peers, http.MethodPost, "http://"+p.HTTP+"/v1/seen", seenBody{seq}, nil); err != nil {
			n.log.Debug("the leader was not told what a reader has", "err", err)
		}
	}
}

type seenBody struct {
	Seq int64 `json:"seq"`
}

// raiseBeyond raises the version beyond what a reader has, if the log doesn't lead there. A
// steward may have applied entries that this leader has committed and not applied yet, so all that
// is committed is applied first: a raise drops the history, and every reader would be sent the
// whole list for nothing.
func (n *Server) raiseBeyond(ctx context.Context, seen int64) error {
	if n.fsm.seq() >= seen {
		return nil
	}
	if err := n.barrier(ctx); err != nil {
		return err
	}
	if n.fsm.seq() < seen {
		n.raise(seen)
	}
	return nil
}

// seen raises the version beyond what a reader has, if the leader has not been there.
func (n *Server) seen(w http.ResponseWriter, r *http.Request) error {
	var b seenBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	if b.Seq > n.c.Now().UnixMicro()+dayOfVersions || b.Seq < 0 {
		return bad("seq: no version that a reader can have")
	}
	if err := n.raiseBeyond(r.Context(), b.Seq); err != nil {
		return err
	}
	answer(w, seenBody{n.fsm.seq()})
	return nil
}

// forwarded marks a call that another steward passed on; it isn't passed on again.
const forwarded = "Forwarded-By"

// leaderWrites has the leader carry out a write, wherever it came in.
func (n *Server) leaderWrites(do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return n.leaderWritesAfter(func(http.ResponseWriter, *http.Request) error { return nil }, do)
}

// leaderWritesAfter does something with an admitted write here, before the leader carries it out.
func (n *Server) leaderWritesAfter(here, do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ok, back := n.calls.write(w)
		if !ok {
			return
		}
		defer back()
		if err := here(w, r); err != nil {
			refuse(w, err)
			return
		}
		if _, leads := n.elapsed(); !leads {
			n.pass(w, r)
			return
		}
		if err := do(w, r); err != nil {
			refuse(w, err)
		}
	}
}

// leaderReads has the leader answer a read that asks for all that was acknowledged before
// it; any other is answered here, as far as this steward has come.
func (n *Server) leaderReads(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("consistent") != "1" {
			do(w, r)
			return
		}
		if _, leads := n.elapsed(); !leads {
			n.pass(w, r)
			return
		}
		if err := n.barrier(r.Context()); err != nil {
			refuse(w, err)
			return
		}
		do(w, r)
	}
}

// pass hands a call to the leader.
func (n *Server) pass(w http.ResponseWriter, r *http.Request) {
	p, known := (*n.table.Load())[n.leader()]
	if !known || n.leader() == n.c.Name || r.Header.Get(forwarded) != "" {
		refuse(w, errNoLeader)
		return
	}
	text, err := readBody(w, r)
	if err != nil {
		refuse(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyWait+peerWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+p.HTTP+r.URL.RequestURI(), bytes.NewReader(text))
	if err != nil {
		refuse(w, err)
		return
	}
	req.Header.Set(forwarded, n.c.Name)
	req.GetBody = nil // the transport must not send it again by itself
	resp, err := (&http.Client{Transport: n.peers.Transport}).Do(req)
	switch {
	case err != nil && neverSent(err):
		refuse(w, errNoLeader)
		return
	case err != nil:
		refuse(w, fmt.Errorf("%w: %v", errInDoubt, err))
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
	most := int64(maxBody)
	if r.URL.Path == "/v1/snapshot" || r.URL.Path == "/v1/renewals" {
		most = maxSnapshot
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		w.Header().Set("Connection", "close") // what is left of it is waited for no longer
		return nil, bad("body: %v", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return text, nil
}

// body reads one JSON value, with no key that is not known.
func body(w http.ResponseWriter, r *http.Request, into any) error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return bad("body: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return bad("body: more than one value")
	}
	return nil
}

// commit proposes a command and answers with what became of it.
func (n *Server) commit(w http.ResponseWriter, c catalog.Command) error {
	res, err := n.propose(c)
	if err != nil {
		return err
	}
	if res.Code != catalog.Done {
		return &refusal{res}
	}
	answer(w, res)
	return nil
}

// refusal is what the state said no to.
type refusal struct{ catalog.Result }

func (r *refusal) Error() string { return string(r.Code) + ": " + r.Text }

// register takes a server's entry; its lease begins.
func (n *Server) register(w http.ResponseWriter, r *http.Request) error {
	var h endpoints.Endpoint
	if err := body(w, r, &h); err != nil {
		return err
	}
	if h.Name != r.PathValue("name") {
		return bad("host: %q is not the name in the path", h.Name)
	}
	if err := h.Validate(); err != nil {
		return bad("%v", err)
	}
	if h.Health == endpoints.Removed {
		return bad("health: a server that is gone doesn't register")
	}
	return n.commit(w, catalog.Command{Kind: catalog.Register, Endpoint: &h})
}

// ends drains a server or takes it off the list.
func (n *Server) ends(kind catalog.Kind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		born, err := strconv.ParseFloat(r.URL.Query().Get("born_ms"), 64)
		if err != nil {
			return bad("born_ms: no number in the query")
		}
		return n.commit(w, catalog.Command{Kind: kind, Refs: []catalog.InstanceRef{{Name: r.PathValue("name"), StartedMs: born}}})
	}
}

// RenewalBatch is the servers that were heard, and what each is to be told.
type RenewalBatch struct {
	Refs  []catalog.InstanceRef `json:"refs"`
	Codes []catalog.Code        `json:"codes,omitempty"`
	TTLMs int64                 `json:"ttl_ms,omitempty"`
}

func (n *Server) renewals(w http.ResponseWriter, r *http.Request) error {
	var b RenewalBatch
	if err := body(w, r, &b); err != nil {
		return err
	}
	if len(b.Refs) > maxRefs {
		return bad("refs: %d of at most %d", len(b.Refs), maxRefs)
	}
	codes, err := n.renew(b.Refs)
	if err != nil {
		return err
	}
	answer(w, RenewalBatch{Refs: []catalog.InstanceRef{}, Codes: codes, TTLMs: n.c.LeaseTTL.Milliseconds()})
	return nil
}

// ServerOverride is an operator's word for a server.
type ServerOverride struct {
	Weight    *float64 `json:"share,omitempty"`
	Health    *string  `json:"health,omitempty"`
	IfVersion int64    `json:"if,omitempty"`
}

func (n *Server) set(w http.ResponseWriter, r *http.Request) error {
	var b ServerOverride
	if err := body(w, r, &b); err != nil {
		return err
	}
	if b.Weight == nil && b.Health == nil {
		return bad("share, health: neither is given")
	}
	return n.commit(w, catalog.Command{Kind: catalog.SetOverride, Name: r.PathValue("name"), Weight: b.Weight, Health: b.Health, IfVersion: b.IfVersion})
}

func (n *Server) confirm(w http.ResponseWriter, _ *http.Request) error {
	n.log.Warn("an operator confirms that the held servers are gone")
	return n.commit(w, catalog.Command{Kind: catalog.ConfirmRemoval})
}

func (n *Server) serveServers(w http.ResponseWriter, _ *http.Request) {
	answer(w, copyAll(n.fsm, entryTable, shallowCopy))
}

func (n *Server) serveServer(w http.ResponseWriter, r *http.Request) {
	e := copyOne(n.fsm, entryTable, r.PathValue("name"), shallowCopy)
	answerOne(w, e, "no server of this name")
}

func (n *Server) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	var text []byte
	var err error
	n.fsm.read(func(s *catalog.State) { text, err = s.Encode() })
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// restore puts a snapshot in place of the state. The version goes on from where it was.
func (n *Server) restore(w http.ResponseWriter, r *http.Request) error {
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	s, err := catalog.Decode(text)
	if err != nil {
		return bad("%v", err)
	}
	before := max(n.fsm.seq(), s.Seq)
	if err := n.raft().Restore(&raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text))}, bytes.NewReader(text), 30*time.Second); err != nil {
		return fmt.Errorf("%w: %v", errInDoubt, err)
	}
	n.raise(before)
	n.lead.Lock()
	n.fsm.read(func(s *catalog.State) { // all that it names have their full time
		n.base, n.ledSince = max(n.base+time.Since(n.ledSince), s.Clock), time.Now()
		if n.leases != nil {
			n.leases, n.tenures = catalog.NewRegistrationLeases(n.c.leases(), s, n.base), catalog.NewTaskLeases(n.base)
		}
	})
	n.lead.Unlock()
	n.log.Warn("a snapshot was put in place of the state", "entries", len(s.Entries), "version", n.fsm.seq())
	answer(w, n.status())
	return nil
}

// addPeer takes a steward in: it hears all first, and votes once it has caught up.
func (n *Server) addPeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if _, known := n.raftAddr(name); !known {
		return bad("peer %s: not in the leader's table of peers", name)
	}
	id, addr := raft.ServerID(name), raft.ServerAddress(name)
	for _, v := range n.voters() {
		if v == name {
			answer(w, n.status())
			return nil
		}
	}
	if err := n.raft().AddNonvoter(id, addr, 0, applyWait).Error(); err != nil {
		return membership(err)
	}
	if r.URL.Query().Get("spare") == "1" {
		n.log.Info("a steward hears all, as a spare", "peer", name)
		answer(w, n.status())
		return nil
	}
	end := time.Now().Add(30 * time.Second)
	for {
		if st, err := n.statusOf(r.Context(), name); err == nil && st.Applied+16 >= n.raft().CommitIndex() && st.Applied > 0 {
			break
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			return fmt.Errorf("peer %s: it did not catch up within 30 s; it hears all and doesn't vote", name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := n.raft().AddVoter(id, addr, 0, applyWait).Error(); err != nil {
		return membership(err)
	}
	n.log.Info("a steward votes", "peer", name)
	answer(w, n.status())
	return nil
}

// removePeer takes a steward off the voters.
func (n *Server) removePeer(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if name == n.c.Name && len(n.voters()) == 1 {
		return bad("peer %s: it is the only one that votes", name)
	}
	if err := n.another(name, r.URL.Query().Get("id")); err != nil {
		return err
	}
	if err := n.raft().RemoveServer(raft.ServerID(name), 0, applyWait).Error(); err != nil {
		return membership(err)
	}
	n.log.Info("a steward is off the voters", "peer", name)
	answer(w, n.status())
	return nil
}

func membership(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return errNoLeader
	}
	return fmt.Errorf("%w: %v", errInDoubt, err)
}
