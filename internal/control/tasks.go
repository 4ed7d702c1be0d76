package control

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// TaskDefinition defines a leased task.
type TaskDefinition struct {
	TTLMs   int64  `json:"ttl_ms"`            // the time to live of a term, in milliseconds
	Zone    string `json:"zone,omitempty"`    // zone whose processes are preferred; "" means any
	Process string `json:"process,omitempty"` // process that is preferred; "" means any
}

// claimBody claims a task that has no holder, on behalf of a session.
type claimBody struct {
	Process string `json:"process"`
	ID      string `json:"id"`
}

// taskCommandBody is an operator's command on a leased task.
type taskCommandBody struct {
	To     string `json:"to,omitempty"`  // target process of a transfer
	Reason string `json:"why,omitempty"` // the reason, for the task's history
}

// termsBody is a holder's report that it released terms or accepted their transfer.
type termsBody struct {
	Kind   catalog.Kind      `json:"kind"`
	Terms  []catalog.TermRef `json:"ties"` // the JSON key is fixed by the HTTP API
	Reason string            `json:"why,omitempty"`
}

// releaseReasons are the reasons that a holder may give for a release.
var releaseReasons = []string{"", catalog.ReasonCompleted, catalog.ReasonFailed, catalog.ReasonTransferred, catalog.ReasonExpired, catalog.ReasonRevoked}

// assignTasks proposes the commands that are due for sessions and leased tasks, such as the expiry of
// sessions and the grants of tasks to processes. It does nothing unless this server is the leader.
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
		if err := s.proposeTaskCommand(command); err != nil {
			s.log.Warn("proposing a task command failed", "command", command.Kind, "err", err)
			return
		}
		s.metrics.taskDecisions.WithLabelValues(string(command.Kind)).Add(float64(max(len(command.Terms), 1)))
		s.logTaskCommand(&command)
	}
}

// proposeTaskCommand commits a command that catalog.TaskLeases decided on.
func (s *Server) proposeTaskCommand(command catalog.Command) error {
	if command.Kind == catalog.Resume {
		return s.resumeControlTask(command)
	}
	_, err := s.propose(command)
	return err
}

// logTaskCommand logs a committed command of catalog.TaskLeases, which concerns terms, a session or a
// task. For several terms it logs their number and the first one.
func (s *Server) logTaskCommand(command *catalog.Command) {
	if command.Kind == catalog.Resume {
		s.log.Info("task command committed", "command", command.Kind, "task", command.Name)
		return
	}
	if len(command.Terms) == 0 {
		s.log.Info("task command committed", "command", command.Kind, "process", command.Session.Process)
		return
	}
	first := command.Terms[0]
	s.log.Info("task command committed", "command", command.Kind, "count", len(command.Terms), "task", first.Name, "process", first.Process)
}

// handleTerms handles a holder's report that it released terms or accepted their transfer.
func (s *Server) handleTerms(w http.ResponseWriter, r *http.Request) error {
	var b termsBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Kind != catalog.ReleaseTerm && b.Kind != catalog.AcceptTransfer {
		return newBadRequest("kind: must be %q or %q", catalog.ReleaseTerm, catalog.AcceptTransfer)
	}
	if len(b.Terms) == 0 || len(b.Terms) > maxRefsPerCall {
		return newBadRequest("ties: must be 1 to %d", maxRefsPerCall)
	}
	if !slices.Contains(releaseReasons, b.Reason) {
		return newBadRequest("why: unknown word %q", b.Reason)
	}
	for _, term := range b.Terms {
		if term.Session == "" {
			return newBadRequest("ties: one without its session")
		}
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: b.Kind, Terms: b.Terms, Reason: b.Reason})
}

// handleDefineTask defines a leased task or changes its definition.
func (s *Server) handleDefineTask(w http.ResponseWriter, r *http.Request) error {
	var b TaskDefinition
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.TTLMs < 0 || b.TTLMs > catalog.MaxTTL.Milliseconds() {
		return newBadRequest("ttl_ms: must be %d to %d, is %d", catalog.MinTTL.Milliseconds(), catalog.MaxTTL.Milliseconds(), b.TTLMs)
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{
		Name:             r.PathValue("name"),
		TTL:              time.Duration(b.TTLMs) * time.Millisecond,
		PreferredZone:    b.Zone,
		PreferredProcess: b.Process,
	}})
}

// handleClaimTask grants a task that has no holder to a session. It is idempotent: a repeated claim
// by the same session gets the same answer.
func (s *Server) handleClaimTask(w http.ResponseWriter, r *http.Request) error {
	var b claimBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	term := catalog.TermRef{Name: r.PathValue("name"), Process: b.Process, Session: b.ID}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.GrantTerm, Terms: []catalog.TermRef{term}})
}

// taskCommandHandler returns a handler that executes an operator's command on a task. The body of the
// request may be empty.
func (s *Server) taskCommandHandler(kind catalog.Kind) commandHandler {
	return func(w http.ResponseWriter, r *http.Request) error {
		var b taskCommandBody
		if r.ContentLength != 0 {
			if err := decodeBody(w, r, &b); err != nil {
				return err
			}
		}
		if len(b.Reason) > endpoints.MaxName || strings.ContainsAny(b.Reason, "\n\r") {
			return newBadRequest("why: must be one line of at most %d bytes", endpoints.MaxName)
		}
		name := r.PathValue("name")
		s.log.Info("operator command on a task", "task", name, "command", kind, "reason", b.Reason)
		if kind == catalog.Suspend {
			s.suspendMu.Lock()
			defer s.suspendMu.Unlock()
		}
		return s.commitAndAnswer(w, catalog.Command{Kind: kind, Name: name, Reason: b.Reason})
	}
}

// handleTransferTask transfers a task to the process named in the request or, if none is named, to
// the preferred successor.
func (s *Server) handleTransferTask(w http.ResponseWriter, r *http.Request) error {
	var b taskCommandBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	name := r.PathValue("name")
	if b.To == "" {
		b.To = s.preferredSuccessor(name)
		if b.To == "" {
			return &rejectedError{catalog.Result{Code: catalog.Conflict, Text: fmt.Sprintf("no other process has room for duty %s, or nobody holds it", name)}}
		}
	}
	s.log.Info("operator command on a task", "task", name, "command", catalog.TransferTask, "process", b.To)
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.TransferTask, Terms: []catalog.TermRef{{Name: name, Process: b.To}}})
}

// preferredSuccessor returns the process to which a task is best transferred, or "" if there is none
// or this server is not the leader.
func (s *Server) preferredSuccessor(task string) (process string) {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	s.fsm.read(func(state *catalog.State) {
		if s.taskLeases != nil {
			process = s.taskLeases.PreferredSuccessor(state, task, s.clockAtElection+time.Since(s.electedAt))
		}
	})
	return process
}

// handleTasks answers with all leased tasks.
func (s *Server) handleTasks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, taskTable, copyTask))
}

// handleTask answers with one leased task.
func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	task := copyOne(s.fsm, taskTable, name, copyTask)
	writeJSONOrNotFound(w, task, "unknown: no duty "+strconv.Quote(name))
}
