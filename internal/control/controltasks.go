package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/leaderelection"
)

// The stewards' own duties.
const (
	sweepTask       = "sweep"     // ends the leases of servers that are not heard
	stateCopyTask   = "snapshots" // keeps copies of the state
	auditTask       = "audit"     // compares the list with what the servers say
	votersTask      = "voters"    // has voters that failed replaced by spares
	controlTaskTTL  = 2 * time.Second
	sweepInterval   = 100 * time.Millisecond
	pollTimeout     = 10 * time.Second
	maxControlTasks = 16
)

// defineControlTasks has the stewards' own duties be there.
func (s *Server) defineControlTasks() {
	for _, name := range []string{sweepTask, stateCopyTask, auditTask, votersTask} {
		known := false
		s.fsm.read(func(state *catalog.State) { known = state.LeasedTasks[name] != nil })
		if known {
			continue
		}
		if _, err := s.propose(catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: name, TTL: controlTaskTTL}}); err != nil {
			s.log.Warn("a duty was not defined", "duty", name, "err", err)
			return
		}
	}
}

// assignTasks proposes what sessions and duties call for: who has none any more, who gets which.
func (s *Server) assignTasks() {
	now, leads := s.leaderClock()
	if !leads {
		return
	}
	var commands []catalog.Command
	s.leaderMu.Lock()
	if s.taskLeases != nil {
		s.taskLeases.Absent = s.absentProcesses()
		s.fsm.read(func(state *catalog.State) { commands = s.taskLeases.Decide(state, now) })
	}
	s.leaderMu.Unlock()
	for _, command := range commands {
		if _, err := s.propose(command); err != nil {
			s.log.Warn("not proposed", "command", command.Kind, "err", err)
			return
		}
		s.metrics.taskDecisions.WithLabelValues(string(command.Kind)).Add(float64(max(len(command.Terms), 1)))
		if len(command.Terms) > 0 {
			s.log.Info("duties", "command", command.Kind, "count", len(command.Terms), "first", command.Terms[0].Name, "process", command.Terms[0].Process)
		} else {
			s.log.Info("duties", "command", command.Kind, "process", command.Session.Process)
		}
	}
}

// startTaskRunner has this steward take its part of the duties.
func (s *Server) startTaskRunner() {
	ctx, stop := context.WithCancel(context.Background())
	s.cancelTaskRunner, s.taskRunnerDone = stop, make(chan struct{})
	client := NewClient(nil, pollTimeout+5*time.Second)
	client.AddressSource = s.serverAddresses
	s.taskRunner = leaderelection.NewRunner(leaderelection.Config{Process: s.config.Name, MaxTasks: maxControlTasks, Service: client, Log: s.log,
		Kinds: map[string]leaderelection.Function{sweepTask: leaderCallFunction(client, "/v1/sweep", sweepInterval), stateCopyTask: s.stateCopyFunction(client), auditTask: s.auditFunction(client), votersTask: leaderCallFunction(client, "/v1/voters", votersInterval)}})
	go func() {
		defer close(s.taskRunnerDone)
		s.taskRunner.Run(ctx)
	}()
}

// serverAddresses are those of all stewards as the table has them now, this one's first.
func (s *Server) serverAddresses() []string {
	table := *s.peerTable.Load()
	addrs := []string{s.config.Listen}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if name != s.config.Name {
			addrs = append(addrs, table[name].HTTP)
		}
	}
	return addrs
}

// stopTaskRunner hands over what this steward holds.
func (s *Server) stopTaskRunner() {
	if s.cancelTaskRunner != nil {
		s.cancelTaskRunner()
		<-s.taskRunnerDone
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// leaderCallFunction has the leader do something again and again, under this duty's fence: only it
// knows when each server was heard, and who votes.
func leaderCallFunction(c *Client, path string, every time.Duration) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		for sleep(ctx, every) {
			err := c.do(ctx, http.MethodPost, path, fenceBody{fence}, nil)
			var refused *HTTPError
			if errors.As(err, &refused) && refused.Status == http.StatusPreconditionFailed {
				return nil // another has the duty
			}
		}
		return nil
	}
}

type fenceBody struct {
	Fence int64 `json:"fence"`
}

// maxStateCopies is how many copies of the state are kept.
const maxStateCopies = 8

// stateCopyFunction keeps copies of the state in the data folder of whoever has the duty.
func (s *Server) stateCopyFunction(c *Client) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		if s.config.SaveEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for sleep(ctx, s.config.SaveEvery) {
			text, err := c.Snapshot(ctx)
			if err != nil {
				s.log.Warn("no copy of the state was kept", "err", err)
				continue
			}
			if ctx.Err() != nil {
				return nil
			}
			if err := s.saveStateCopy(text, fence); err != nil {
				return fmt.Errorf("keep a copy of the state: %w", err)
			}
			s.metrics.savedCopies.Inc()
		}
		return nil
	}
}

// saveStateCopy writes a copy whole or not at all, named by when it was made and under which fence,
// and drops the oldest beyond those that are kept.
func (s *Server) saveStateCopy(text []byte, fence int64) error {
	dir := filepath.Join(s.config.Data, "saved")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(dir, fmt.Sprintf("%020d-%d.json", s.config.Now().UnixMicro(), fence))
	if err := WriteFileAtomic(name, text); err != nil {
		return err
	}
	all, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(all)
	for _, old := range all[:max(len(all)-maxStateCopies, 0)] {
		if err := os.Remove(old); err != nil {
			return err
		}
	}
	return nil
}

// WriteFileAtomic writes a file whole or not at all, and has it on the disk before it returns.
func WriteFileAtomic(name string, text []byte) error {
	f, err := os.OpenFile(name+".part", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(name+".part", name)
}

const (
	auditTimeout        = time.Second // for a server's answer
	maxConcurrentAudits = 16          // servers that are asked at once
)

// auditFunction asks each listed server how it is, and says where the list is of another mind. It
// changes nothing: one observer is no evidence against a server.
func (s *Server) auditFunction(c *Client) leaderelection.Function {
	client := &http.Client{Timeout: auditTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context, _ string, fence int64) error {
		if s.config.AuditEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for sleep(ctx, s.config.AuditEvery) {
			l, err := c.List(ctx)
			if err != nil {
				continue
			}
			unlike := findMismatches(ctx, client, l.Endpoints)
			if ctx.Err() != nil {
				return nil
			}
			s.metrics.audits.Inc()
			s.metrics.auditMismatches.Set(float64(len(unlike)))
			if len(unlike) > 0 {
				s.log.Warn("the list is of another mind than servers", "servers", len(unlike), "of", len(l.Endpoints), "first", unlike[0], "fence", fence)
			}
		}
		return nil
	}
}

// findMismatches returns the servers that are listed as ready and don't say so themselves, in order.
func findMismatches(ctx context.Context, client *http.Client, hosts []endpoints.Endpoint) (unlike []string) {
	places := make(chan struct{}, maxConcurrentAudits)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, h := range hosts {
		if h.Health != endpoints.Ready {
			continue
		}
		places <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-places }()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Dial+"/health", nil)
			if err != nil {
				return
			}
			resp, err := client.Do(req)
			if err == nil {
				resp.Body.Close()
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				mu.Lock()
				unlike = append(unlike, h.Name)
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	slices.Sort(unlike)
	return unlike
}

func (s *Server) registerTaskRoutes(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/sessions/{process}", s.leaderWrites(s.handleOpenSession))
	mux.HandleFunc("DELETE /v1/sessions/{process}", s.leaderWrites(s.handleEndSession))
	mux.HandleFunc("POST /v1/sessions/{process}/renewal", s.leaderWrites(s.handleRenewSession))
	mux.HandleFunc("GET /v1/sessions/{process}/tasks", s.handleAssignments)
	mux.HandleFunc("GET /v1/sessions", s.leaderReads(s.handleSessions))
	mux.HandleFunc("POST /v1/terms", s.leaderWrites(s.handleTerms))
	mux.HandleFunc("GET /v1/duties", s.leaderReads(s.handleTasks))
	mux.HandleFunc("GET /v1/duties/{name}", s.leaderReads(s.handleTask))
	mux.HandleFunc("PUT /v1/duties/{name}", s.leaderWrites(s.handleDefineTask))
	mux.HandleFunc("DELETE /v1/duties/{name}", s.leaderWrites(s.taskCommandHandler(catalog.DeleteTask)))
	mux.HandleFunc("POST /v1/duties/{name}/claim", s.leaderWrites(s.handleClaimTask))
	mux.HandleFunc("POST /v1/duties/{name}/move", s.leaderWrites(s.handleTransferTask))
	mux.HandleFunc("POST /v1/duties/{name}/revoke", s.leaderWrites(s.taskCommandHandler(catalog.RevokeTerm)))
	mux.HandleFunc("POST /v1/duties/{name}/park", s.leaderWrites(s.taskCommandHandler(catalog.Suspend)))
	mux.HandleFunc("POST /v1/duties/{name}/unpark", s.leaderWrites(s.taskCommandHandler(catalog.Resume)))
	mux.HandleFunc("POST /v1/voters", s.leaderWrites(s.handleVoterStep))
	mux.HandleFunc("POST /v1/sweep", s.leaderWrites(func(w http.ResponseWriter, r *http.Request) error {
		var b fenceBody
		if err := decodeBody(w, r, &b); err != nil {
			return err
		}
		if err := s.sweep(b.Fence); err != nil {
			return err
		}
		writeJSON(w, struct{}{})
		return nil
	}))
}

func (s *Server) handleOpenSession(w http.ResponseWriter, r *http.Request) error {
	var session catalog.Session
	if err := decodeBody(w, r, &session); err != nil {
		return err
	}
	session.Process, session.Revision, session.Opened, session.Draining = r.PathValue("process"), 0, 0, false
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.OpenSession, Session: &session})
}

func (s *Server) handleEndSession(w http.ResponseWriter, r *http.Request) error {
	kind := catalog.CloseSession
	if r.URL.Query().Get("rest") == "1" {
		kind = catalog.DrainSession
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: kind, Session: &catalog.Session{Process: r.PathValue("process"), ID: r.URL.Query().Get("id")}})
}

type renewalBody struct {
	ID  string `json:"id"`
	Rev int64  `json:"rev"`
}

// handleRenewSession notes that a process was heard. It is answered only by one that is shown to
// have led when it was: what another promises later is later by the whole time.
func (s *Server) handleRenewSession(w http.ResponseWriter, r *http.Request) error {
	var request renewalBody
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	process := r.PathValue("process")
	now, leads := s.leaderClock()
	if !leads {
		return errNoLeader
	}
	var code catalog.Code
	var update leaderelection.AssignmentUpdate
	s.leaderMu.Lock()
	if s.taskLeases == nil {
		s.leaderMu.Unlock()
		return errNoLeader
	}
	s.fsm.read(func(state *catalog.State) {
		if code = s.taskLeases.Renew(state, process, request.ID, now); code == catalog.Done {
			update.Assignments, update.Revision, _ = state.Assignments(process, request.ID)
		}
	})
	s.leaderMu.Unlock()
	switch code {
	case catalog.Done:
	case catalog.Conflict:
		return &rejectedError{catalog.Result{Code: code, Text: "the end of its time has been decided; ask again"}}
	case catalog.Taken:
		return &rejectedError{catalog.Result{Code: code, Text: fmt.Sprintf("another process is called %s", process)}}
	default:
		return &rejectedError{catalog.Result{Code: code, Text: fmt.Sprintf("no session of %s", process)}}
	}
	if err := s.verifyLeader(r.Context()); err != nil {
		return err
	}
	if update.Revision <= request.Rev {
		update.Assignments = nil
	}
	writeJSON(w, update)
	return nil
}

// maxOpenPolls bounds the sessions that wait for their tasks at one steward.
const maxOpenPolls = 4 * catalog.MaxSessions

// handleAssignments waits until what a session is to do is later than what it knows, or a while.
func (s *Server) handleAssignments(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	rev, err := strconv.ParseInt(query.Get("rev"), 10, 64)
	if err != nil || rev < 0 {
		http.Error(w, "rev: no revision", http.StatusBadRequest)
		return
	}
	if s.openPolls.Add(1) > maxOpenPolls {
		s.openPolls.Add(-1)
		s.admission.reject(w, time.Second)
		return
	}
	defer s.openPolls.Add(-1)
	end := time.NewTimer(pollTimeout)
	defer end.Stop()
	for {
		update, ok, changed := s.fsm.assignments(r.PathValue("process"), query.Get("id"))
		switch {
		case !ok && s.stale(), !ok && s.raft() == nil:
			writeError(w, errNoLeader)
			return
		case ok && update.Revision > rev:
			writeJSON(w, update)
			return
		}
		select { // one that is not known here may be in a moment
		case <-changed:
			continue
		case <-end.C:
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		if !ok {
			http.Error(w, "unknown: no session of "+r.PathValue("process"), http.StatusNotFound)
			return
		}
		writeJSON(w, leaderelection.AssignmentUpdate{Revision: update.Revision})
		return
	}
}

type termsBody struct {
	Kind catalog.Kind      `json:"kind"`
	Ties []catalog.TermRef `json:"ties"`
	Why  string            `json:"why,omitempty"`
}

// handleTerms takes what holders say of their handleTerms.
func (s *Server) handleTerms(w http.ResponseWriter, r *http.Request) error {
	var b termsBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Kind != catalog.ReleaseTerm && b.Kind != catalog.AcceptTransfer {
		return newBadRequest("kind: must be %q or %q", catalog.ReleaseTerm, catalog.AcceptTransfer)
	}
	if len(b.Ties) == 0 || len(b.Ties) > maxRefsPerCall {
		return newBadRequest("ties: must be 1 to %d", maxRefsPerCall)
	}
	if !slices.Contains([]string{"", catalog.ReasonCompleted, catalog.ReasonFailed, catalog.ReasonTransferred, catalog.ReasonExpired, catalog.ReasonRevoked}, b.Why) {
		return newBadRequest("why: unknown word %q", b.Why)
	}
	for _, t := range b.Ties {
		if t.Session == "" {
			return newBadRequest("ties: one without its session")
		}
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: b.Kind, Terms: b.Ties, Reason: b.Why})
}

// TaskDefinition is how a duty is defined.
type TaskDefinition struct {
	TTLMs   int64  `json:"ttl_ms"`
	Zone    string `json:"zone,omitempty"`
	Process string `json:"process,omitempty"`
}

func (s *Server) handleDefineTask(w http.ResponseWriter, r *http.Request) error {
	var b TaskDefinition
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.TTLMs < 0 || b.TTLMs > catalog.MaxTTL.Milliseconds() {
		return newBadRequest("ttl_ms: must be %d to %d, is %d", catalog.MinTTL.Milliseconds(), catalog.MaxTTL.Milliseconds(), b.TTLMs)
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: r.PathValue("name"),
		TTL: time.Duration(b.TTLMs) * time.Millisecond, PreferredZone: b.Zone, PreferredProcess: b.Process}})
}

type claimBody struct {
	Process string `json:"process"`
	ID      string `json:"id"`
}

// handleClaimTask gives a session a duty that nobody holds. One that is repeated, as its answer was
// lost, is answered as it was.
func (s *Server) handleClaimTask(w http.ResponseWriter, r *http.Request) error {
	var b claimBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.GrantTerm, Terms: []catalog.TermRef{{Name: r.PathValue("name"), Process: b.Process, Session: b.ID}}})
}

type taskCommandBody struct {
	To  string `json:"to,omitempty"`
	Why string `json:"why,omitempty"`
}

func (s *Server) taskCommandHandler(kind catalog.Kind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		var b taskCommandBody
		if r.ContentLength != 0 {
			if err := decodeBody(w, r, &b); err != nil {
				return err
			}
		}
		if len(b.Why) > endpoints.MaxName || strings.ContainsAny(b.Why, "\n\r") {
			return newBadRequest("why: must be one line of at most %d bytes", endpoints.MaxName)
		}
		s.log.Info("an operator's word on a duty", "duty", r.PathValue("name"), "command", kind, "why", b.Why)
		return s.commitAndAnswer(w, catalog.Command{Kind: kind, Name: r.PathValue("name"), Reason: b.Why})
	}
}

// handleTransferTask has a duty go to a process, or to the best other one.
func (s *Server) handleTransferTask(w http.ResponseWriter, r *http.Request) error {
	var b taskCommandBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	name := r.PathValue("name")
	if b.To == "" {
		s.leaderMu.Lock()
		s.fsm.read(func(state *catalog.State) {
			if s.taskLeases != nil {
				b.To = s.taskLeases.PreferredSuccessor(state, name, s.clockAtElection+time.Since(s.electedAt))
			}
		})
		s.leaderMu.Unlock()
		if b.To == "" {
			return &rejectedError{catalog.Result{Code: catalog.Conflict, Text: fmt.Sprintf("no other process has room for duty %s, or nobody holds it", name)}}
		}
	}
	s.log.Info("an operator moves a duty", "duty", name, "to", b.To)
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.TransferTask, Terms: []catalog.TermRef{{Name: name, Process: b.To}}})
}

func (s *Server) handleTasks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, taskTable, copyTask))
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	d := copyOne(s.fsm, taskTable, name, copyTask)
	writeJSONOrNotFound(w, d, "unknown: no duty "+strconv.Quote(name))
}

func (s *Server) handleSessions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, sessionTable, shallowCopy))
}
