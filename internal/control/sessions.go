package control

import (
	"net/http"
	"strconv"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/leaderelection"
)

const (
	// pollTimeout is how long a request for assignments waits for a change.
	pollTimeout = 10 * time.Second
	// maxOpenPolls bounds the requests for assignments that wait on one server.
	maxOpenPolls = 4 * catalog.MaxSessions
)

// renewalBody is a request to renew a session. Revision is the revision of the assignments that the
// process already has.
type renewalBody struct {
	ID       string `json:"id"`
	Revision int64  `json:"rev"`
}

// handleOpenSession opens a session, which lets a process hold leased tasks.
func (s *Server) handleOpenSession(w http.ResponseWriter, r *http.Request) error {
	var session catalog.Session
	if err := decodeBody(w, r, &session); err != nil {
		return err
	}
	session.Process, session.Revision, session.Opened, session.Draining = r.PathValue("process"), 0, 0, false
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.OpenSession, Session: &session})
}

// handleEndSession closes a session. With rest=1 it drains the session instead, which keeps it open
// while its tasks are transferred to other processes.
func (s *Server) handleEndSession(w http.ResponseWriter, r *http.Request) error {
	kind := catalog.CloseSession
	if r.URL.Query().Get("rest") == "1" {
		kind = catalog.DrainSession
	}
	session := &catalog.Session{Process: r.PathValue("process"), ID: r.URL.Query().Get("id")}
	return s.commitAndAnswer(w, catalog.Command{Kind: kind, Session: session})
}

// handleRenewSession renews a session and answers with its assignments. It answers only after a
// quorum has confirmed that this server was the leader when it renewed the session: the process may
// rely on the answer for the whole time to live of its terms, and a later leader grants its tasks to
// other processes only after that time.
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
	code, update, term, err := s.renewSession(process, request.ID, now)
	if err != nil {
		return err
	}
	if code != catalog.Done {
		return renewalRejection(code, process)
	}
	// The assignments were read while this server led in term, so proof of leadership in another term
	// doesn't confirm them.
	switch verifiedTerm, err := s.verifyLeader(r.Context()); {
	case err != nil:
		return err
	case verifiedTerm != term:
		return errNoLeader
	}
	if update.Revision <= request.Revision {
		update.Assignments = nil
	}
	writeJSON(w, update)
	return nil
}

// renewalRejection translates a code of TaskLeases.Renew other than Done to a rejectedError.
func renewalRejection(code catalog.Code, process string) error {
	text := "no session of " + process
	switch code {
	case catalog.Conflict:
		text = "the end of its time has been decided; ask again"
	case catalog.Taken:
		text = "another process is called " + process
	}
	return &rejectedError{catalog.Result{Code: code, Text: text}}
}

// renewSession renews a session at a time of the leader's clock. It returns the session's assignments
// and the raft term in which this server became the leader, or errNoLeader if it is not the leader.
func (s *Server) renewSession(process, id string, now time.Duration) (code catalog.Code, update leaderelection.AssignmentUpdate, term uint64, err error) {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	if s.taskLeases == nil {
		return code, update, 0, errNoLeader
	}
	s.fsm.read(func(state *catalog.State) {
		if code = s.taskLeases.Renew(state, process, id, now); code == catalog.Done {
			update.Assignments, update.Revision, _ = state.Assignments(process, id)
		}
	})
	return code, update, s.leaderTerm, nil
}

// handleAssignments is a long poll. It answers with the assignments of a session once their revision
// is later than the one in the query, or without assignments after pollTimeout.
func (s *Server) handleAssignments(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	known, err := strconv.ParseInt(query.Get("rev"), 10, 64)
	if err != nil || known < 0 {
		http.Error(w, "rev: no revision", http.StatusBadRequest)
		return
	}
	if s.openPolls.Add(1) > maxOpenPolls {
		s.openPolls.Add(-1)
		s.admission.reject(w, time.Second)
		return
	}
	defer s.openPolls.Add(-1)
	s.awaitAssignments(w, r, query.Get("id"), known)
}

// awaitAssignments answers once the assignments of a session have a later revision than known, the
// poll times out, the client gives up or this server stops. It also waits for a session that this
// server doesn't know, as the session may be opened meanwhile.
func (s *Server) awaitAssignments(w http.ResponseWriter, r *http.Request, id string, known int64) {
	process := r.PathValue("process")
	timeout := time.NewTimer(pollTimeout)
	defer timeout.Stop()
	for {
		update, ok, changed := s.fsm.assignments(process, id)
		switch {
		case !ok && s.stale(), !ok && s.raft() == nil:
			writeError(w, errNoLeader)
			return
		case ok && update.Revision > known:
			writeJSON(w, update)
			return
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		if !ok {
			http.Error(w, "unknown: no session of "+process, http.StatusNotFound)
			return
		}
		writeJSON(w, leaderelection.AssignmentUpdate{Revision: update.Revision})
		return
	}
}

// handleSessions answers with all sessions.
func (s *Server) handleSessions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, sessionTable, shallowCopy))
}
