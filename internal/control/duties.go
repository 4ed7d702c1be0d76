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
	sweepDuty    = "sweep"     // ends the leases of servers that are not heard
	snapshotDuty = "snapshots" // keeps copies of the state
	auditDuty    = "audit"     // compares the list with what the servers say
	votersDuty   = "voters"    // has voters that failed replaced by spares
	ownTTL       = 2 * time.Second
	sweepEvery   = 100 * time.Millisecond
	pollWait     = 10 * time.Second
	ownCap       = 16
)

// defineOwn has the stewards' own duties be there.
func (n *Server) defineOwn() {
	for _, name := range []string{sweepDuty, snapshotDuty, auditDuty, votersDuty} {
		known := false
		n.fsm.read(func(s *catalog.State) { known = s.LeasedTasks[name] != nil })
		if known {
			continue
		}
		if _, err := n.propose(catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: name, TTL: ownTTL}}); err != nil {
			n.log.Warn("a duty was not defined", "duty", name, "err", err)
			return
		}
	}
}

// assign proposes what sessions and duties call for: who has none any more, who gets which.
func (n *Server) assign() {
	now, leads := n.elapsed()
	if !leads {
		return
	}
	var cs []catalog.Command
	n.lead.Lock()
	if n.tenures != nil {
		n.tenures.Absent = n.absent()
		n.fsm.read(func(s *catalog.State) { cs = n.tenures.Decide(s, now) })
	}
	n.lead.Unlock()
	for _, c := range cs {
		if _, err := n.propose(c); err != nil {
			n.log.Warn("not proposed", "command", c.Kind, "err", err)
			return
		}
		n.m.hands.WithLabelValues(string(c.Kind)).Add(float64(max(len(c.Terms), 1)))
		if len(c.Terms) > 0 {
			n.log.Info("duties", "command", c.Kind, "count", len(c.Terms), "first", c.Terms[0].Name, "process", c.Terms[0].Process)
		} else {
			n.log.Info("duties", "command", c.Kind, "process", c.Session.Process)
		}
	}
}

// serveDuties has this steward take its part of the duties.
func (n *Server) serveDuties() {
	ctx, stop := context.WithCancel(context.Background())
	n.stopHolder, n.holderDone = stop, make(chan struct{})
	c := NewClient(nil, pollWait+5*time.Second)
	c.AddressSource = n.addresses
	n.holder = leaderelection.NewRunner(leaderelection.Config{Process: n.c.Name, MaxTasks: ownCap, Service: c, Log: n.log,
		Kinds: map[string]leaderelection.Function{sweepDuty: haveLeader(c, "/v1/sweep", sweepEvery), snapshotDuty: n.doSnapshots(c), auditDuty: n.doAudit(c), votersDuty: haveLeader(c, "/v1/voters", votersInterval)}})
	go func() {
		defer close(n.holderDone)
		n.holder.Run(ctx)
	}()
}

// addresses are those of all stewards as the table has them now, this one's first.
func (n *Server) addresses() []string {
	table := *n.table.Load()
	addrs := []string{n.c.Listen}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if name != n.c.Name {
			addrs = append(addrs, table[name].HTTP)
		}
	}
	return addrs
}

// leaveDuties hands over what this steward holds.
func (n *Server) leaveDuties() {
	if n.stopHolder != nil {
		n.stopHolder()
		<-n.holderDone
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// haveLeader has the leader do something again and again, under this duty's fence: only it
// knows when each server was heard, and who votes.
func haveLeader(c *Client, path string, every time.Duration) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		for pause(ctx, every) {
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

// mostSaved is how many copies of the state are kept.
const mostSaved = 8

// doSnapshots keeps copies of the state in the data folder of whoever has the duty.
func (n *Server) doSnapshots(c *Client) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		if n.c.SaveEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for pause(ctx, n.c.SaveEvery) {
			text, err := c.Snapshot(ctx)
			if err != nil {
				n.log.Warn("no copy of the state was kept", "err", err)
				continue
			}
			if ctx.Err() != nil {
				return nil
			}
			if err := n.save(text, fence); err != nil {
				return fmt.Errorf("keep a copy of the state: %w", err)
			}
			n.m.saved.Inc()
		}
		return nil
	}
}

// save writes a copy whole or not at all, named by when it was made and under which fence,
// and drops the oldest beyond those that are kept.
func (n *Server) save(text []byte, fence int64) error {
	dir := filepath.Join(n.c.Data, "saved")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(dir, fmt.Sprintf("%020d-%d.json", n.c.Now().UnixMicro(), fence))
	if err := WriteFileAtomic(name, text); err != nil {
		return err
	}
	all, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(all)
	for _, old := range all[:max(len(all)-mostSaved, 0)] {
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
	auditWait = time.Second // for a server's answer
	auditMany = 16          // servers that are asked at once
)

// doAudit asks each listed server how it is, and says where the list is of another mind. It
// changes nothing: one observer is no evidence against a server.
func (n *Server) doAudit(c *Client) leaderelection.Function {
	client := &http.Client{Timeout: auditWait, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context, _ string, fence int64) error {
		if n.c.AuditEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for pause(ctx, n.c.AuditEvery) {
			l, err := c.List(ctx)
			if err != nil {
				continue
			}
			unlike := audit(ctx, client, l.Endpoints)
			if ctx.Err() != nil {
				return nil
			}
			n.m.audited.Inc()
			n.m.unlike.Set(float64(len(unlike)))
			if len(unlike) > 0 {
				n.log.Warn("the list is of another mind than servers", "servers", len(unlike), "of", len(l.Endpoints), "first", unlike[0], "fence", fence)
			}
		}
		return nil
	}
}

// audit returns the servers that are listed as ready and don't say so themselves, in order.
func audit(ctx context.Context, client *http.Client, hosts []endpoints.Endpoint) (unlike []string) {
	places := make(chan struct{}, auditMany)
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

func (n *Server) handleDuties(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/sessions/{process}", n.leaderWrites(n.openSession))
	mux.HandleFunc("DELETE /v1/sessions/{process}", n.leaderWrites(n.endSession))
	mux.HandleFunc("POST /v1/sessions/{process}/renewal", n.leaderWrites(n.renewSession))
	mux.HandleFunc("GET /v1/sessions/{process}/tasks", n.serveTasks)
	mux.HandleFunc("GET /v1/sessions", n.leaderReads(n.serveSessions))
	mux.HandleFunc("POST /v1/terms", n.leaderWrites(n.terms))
	mux.HandleFunc("GET /v1/duties", n.leaderReads(n.serveDutyList))
	mux.HandleFunc("GET /v1/duties/{name}", n.leaderReads(n.serveDuty))
	mux.HandleFunc("PUT /v1/duties/{name}", n.leaderWrites(n.define))
	mux.HandleFunc("DELETE /v1/duties/{name}", n.leaderWrites(n.order(catalog.DeleteTask)))
	mux.HandleFunc("POST /v1/duties/{name}/claim", n.leaderWrites(n.claim))
	mux.HandleFunc("POST /v1/duties/{name}/move", n.leaderWrites(n.move))
	mux.HandleFunc("POST /v1/duties/{name}/revoke", n.leaderWrites(n.order(catalog.RevokeTerm)))
	mux.HandleFunc("POST /v1/duties/{name}/park", n.leaderWrites(n.order(catalog.Suspend)))
	mux.HandleFunc("POST /v1/duties/{name}/unpark", n.leaderWrites(n.order(catalog.Resume)))
	mux.HandleFunc("POST /v1/voters", n.leaderWrites(n.stepVoters))
	mux.HandleFunc("POST /v1/sweep", n.leaderWrites(func(w http.ResponseWriter, r *http.Request) error {
		var b fenceBody
		if err := body(w, r, &b); err != nil {
			return err
		}
		if err := n.sweep(b.Fence); err != nil {
			return err
		}
		answer(w, struct{}{})
		return nil
	}))
}

func (n *Server) openSession(w http.ResponseWriter, r *http.Request) error {
	var s catalog.Session
	if err := body(w, r, &s); err != nil {
		return err
	}
	s.Process, s.Revision, s.Opened, s.Draining = r.PathValue("process"), 0, 0, false
	return n.commit(w, catalog.Command{Kind: catalog.OpenSession, Session: &s})
}

func (n *Server) endSession(w http.ResponseWriter, r *http.Request) error {
	kind := catalog.CloseSession
	if r.URL.Query().Get("rest") == "1" {
		kind = catalog.DrainSession
	}
	return n.commit(w, catalog.Command{Kind: kind, Session: &catalog.Session{Process: r.PathValue("process"), ID: r.URL.Query().Get("id")}})
}

type renewalBody struct {
	ID  string `json:"id"`
	Rev int64  `json:"rev"`
}

// renewSession notes that a process was heard. It is answered only by one that is shown to
// have led when it was: what another promises later is later by the whole time.
func (n *Server) renewSession(w http.ResponseWriter, r *http.Request) error {
	var b renewalBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	process := r.PathValue("process")
	now, leads := n.elapsed()
	if !leads {
		return errNoLeader
	}
	var code catalog.Code
	var t leaderelection.AssignmentUpdate
	n.lead.Lock()
	if n.tenures == nil {
		n.lead.Unlock()
		return errNoLeader
	}
	n.fsm.read(func(s *catalog.State) {
		if code = n.tenures.Renew(s, process, b.ID, now); code == catalog.Done {
			t.Assignments, t.Revision, _ = s.Assignments(process, b.ID)
		}
	})
	n.lead.Unlock()
	switch code {
	case catalog.Done:
	case catalog.Conflict:
		return &refusal{catalog.Result{Code: code, Text: "the end of its time has been decided; ask again"}}
	case catalog.Taken:
		return &refusal{catalog.Result{Code: code, Text: fmt.Sprintf("another process is called %s", process)}}
	default:
		return &refusal{catalog.Result{Code: code, Text: fmt.Sprintf("no session of %s", process)}}
	}
	if err := n.verifyLeader(r.Context()); err != nil {
		return err
	}
	if t.Revision <= b.Rev {
		t.Assignments = nil
	}
	answer(w, t)
	return nil
}

// mostPolls bounds the sessions that wait for their tasks at one steward.
const mostPolls = 4 * catalog.MaxSessions

// serveTasks waits until what a session is to do is later than what it knows, or a while.
func (n *Server) serveTasks(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, err := strconv.ParseInt(q.Get("rev"), 10, 64)
	if err != nil || rev < 0 {
		http.Error(w, "rev: no revision", http.StatusBadRequest)
		return
	}
	if n.polls.Add(1) > mostPolls {
		n.polls.Add(-1)
		n.calls.refuse(w, time.Second)
		return
	}
	defer n.polls.Add(-1)
	end := time.NewTimer(pollWait)
	defer end.Stop()
	for {
		t, ok, stirred := n.fsm.tasks(r.PathValue("process"), q.Get("id"))
		switch {
		case !ok && n.stale(), !ok && n.raft() == nil:
			refuse(w, errNoLeader)
			return
		case ok && t.Revision > rev:
			answer(w, t)
			return
		}
		select { // one that is not known here may be in a moment
		case <-stirred:
			continue
		case <-end.C:
		case <-r.Context().Done():
		case <-n.ctx.Done():
		}
		if !ok {
			http.Error(w, "unknown: no session of "+r.PathValue("process"), http.StatusNotFound)
			return
		}
		answer(w, leaderelection.AssignmentUpdate{Revision: t.Revision})
		return
	}
}

type termsBody struct {
	Kind catalog.Kind      `json:"kind"`
	Ties []catalog.TermRef `json:"ties"`
	Why  string            `json:"why,omitempty"`
}

// terms takes what holders say of their terms.
func (n *Server) terms(w http.ResponseWriter, r *http.Request) error {
	var b termsBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	if b.Kind != catalog.ReleaseTerm && b.Kind != catalog.AcceptTransfer {
		return bad("kind: must be %q or %q", catalog.ReleaseTerm, catalog.AcceptTransfer)
	}
	if len(b.Ties) == 0 || len(b.Ties) > maxRefs {
		return bad("ties: must be 1 to %d", maxRefs)
	}
	if !slices.Contains([]string{"", catalog.ReasonCompleted, catalog.ReasonFailed, catalog.ReasonTransferred, catalog.ReasonExpired, catalog.ReasonRevoked}, b.Why) {
		return bad("why: unknown word %q", b.Why)
	}
	for _, t := range b.Ties {
		if t.Session == "" {
			return bad("ties: one without its session")
		}
	}
	return n.commit(w, catalog.Command{Kind: b.Kind, Terms: b.Ties, Reason: b.Why})
}

// TaskDefinition is how a duty is defined.
type TaskDefinition struct {
	TTLMs   int64  `json:"ttl_ms"`
	Zone    string `json:"zone,omitempty"`
	Process string `json:"process,omitempty"`
}

func (n *Server) define(w http.ResponseWriter, r *http.Request) error {
	var b TaskDefinition
	if err := body(w, r, &b); err != nil {
		return err
	}
	if b.TTLMs < 0 || b.TTLMs > catalog.MaxTTL.Milliseconds() {
		return bad("ttl_ms: must be %d to %d, is %d", catalog.MinTTL.Milliseconds(), catalog.MaxTTL.Milliseconds(), b.TTLMs)
	}
	return n.commit(w, catalog.Command{Kind: catalog.DefineTask, LeasedTask: &catalog.LeasedTask{Name: r.PathValue("name"),
		TTL: time.Duration(b.TTLMs) * time.Millisecond, PreferredZone: b.Zone, PreferredProcess: b.Process}})
}

type claimBody struct {
	Process string `json:"process"`
	ID      string `json:"id"`
}

// claim gives a session a duty that nobody holds. One that is repeated, as its answer was
// lost, is answered as it was.
func (n *Server) claim(w http.ResponseWriter, r *http.Request) error {
	var b claimBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	return n.commit(w, catalog.Command{Kind: catalog.GrantTerm, Terms: []catalog.TermRef{{Name: r.PathValue("name"), Process: b.Process, Session: b.ID}}})
}

type wordBody struct {
	To  string `json:"to,omitempty"`
	Why string `json:"why,omitempty"`
}

func (n *Server) order(kind catalog.Kind) func(http.ResponseWriter, *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		var b wordBody
		if r.ContentLength != 0 {
			if err := body(w, r, &b); err != nil {
				return err
			}
		}
		if len(b.Why) > endpoints.MaxName || strings.ContainsAny(b.Why, "\n\r") {
			return bad("why: must be one line of at most %d bytes", endpoints.MaxName)
		}
		n.log.Info("an operator's word on a duty", "duty", r.PathValue("name"), "command", kind, "why", b.Why)
		return n.commit(w, catalog.Command{Kind: kind, Name: r.PathValue("name"), Reason: b.Why})
	}
}

// move has a duty go to a process, or to the best other one.
func (n *Server) move(w http.ResponseWriter, r *http.Request) error {
	var b wordBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	name := r.PathValue("name")
	if b.To == "" {
		n.lead.Lock()
		n.fsm.read(func(s *catalog.State) {
			if n.tenures != nil {
				b.To = n.tenures.PreferredSuccessor(s, name, n.base+time.Since(n.ledSince))
			}
		})
		n.lead.Unlock()
		if b.To == "" {
			return &refusal{catalog.Result{Code: catalog.Conflict, Text: fmt.Sprintf("no other process has room for duty %s, or nobody holds it", name)}}
		}
	}
	n.log.Info("an operator moves a duty", "duty", name, "to", b.To)
	return n.commit(w, catalog.Command{Kind: catalog.TransferTask, Terms: []catalog.TermRef{{Name: name, Process: b.To}}})
}

func (n *Server) serveDutyList(w http.ResponseWriter, _ *http.Request) {
	answer(w, copyAll(n.fsm, dutyTable, copyDuty))
}

func (n *Server) serveDuty(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	d := copyOne(n.fsm, dutyTable, name, copyDuty)
	answerOne(w, d, "unknown: no duty "+strconv.Quote(name))
}

func (n *Server) serveSessions(w http.ResponseWriter, _ *http.Request) {
	answer(w, copyAll(n.fsm, sessionTable, shallowCopy))
}
