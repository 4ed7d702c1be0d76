package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"molepaddle/internal/catalog"
	"molepaddle/internal/endpoints"
	"molepaddle/internal/gossip"
	"molepaddle/internal/member"
)

const (
	arriveAgain  = 500 * time.Millisecond
	inquireEvery = 250 * time.Millisecond
	evidenceWait = 1200 * time.Millisecond // for another steward's answer
	probeWait    = 500 * time.Millisecond  // for a server's
	// maxConcurrentProbes is as many as the leader asks about at once, so that all silent servers
	// of one question are settled within one probe's time-out, before the question's own.
	maxConcurrentProbes = 256
	verdictLasts        = 3 * time.Second
	maxEvidence         = 256 // servers of one question
	// mostQuestions bounds the questions that are looked into at once: one leader asks one.
	mostQuestions = 4
	// nameWait is how long a name may seem to be another's: one that has lost its folder and is
	// back at once has to be heard by the others before they know that it is not.
	nameWait    = 10 * time.Second
	votersEvery = time.Second
)

// Program is the version of this build.
func Program() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

// identity is drawn once for a data folder. By it another process of this name is told from
// this one started again.
func identity(dir string) (string, error) {
	path := filepath.Join(dir, "identity")
	text, err := os.ReadFile(path)
	if id := strings.TrimSpace(string(text)); err == nil && endpoints.IsWord(id, 64) {
		return id, nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	id := rand.Text()
	if err := WriteWhole(path, []byte(id+"\n")); err != nil {
		return "", fmt.Errorf("data: identity: %w", err)
	}
	return id, nil
}

// startGossip has this steward tell others that it is there, and hear who is.
func (n *Node) startGossip() error {
	if n.c.Gossip == "" {
		return nil
	}
	self := member.Info{Form: member.Form, Name: n.c.Name, Role: member.Steward, Zone: n.c.Zone, Program: Program(),
		Speaks: member.Speaks{Gossip: member.Form, Catalog: catalog.Form}, ID: n.id}
	g, err := gossip.Start(gossip.Config{Self: self, Listen: n.c.Gossip, Log: n.log, Tracker: member.Defaults(self),
		Peers: func() map[string]string {
			addrs := map[string]string{}
			for name, p := range *n.table.Load() {
				if p.Gossip != "" {
					addrs[name] = p.Gossip
				}
			}
			return addrs
		},
		Changed: func(changes []member.Change) {
			for _, c := range changes {
				n.m.changes.WithLabelValues(string(c.Role), string(c.To)).Inc()
				if c.Role.Gossips() {
					n.log.Info("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
				} else {
					n.log.Debug("member", "name", c.Name, "role", c.Role, "from", c.From, "to", c.To)
				}
			}
		},
		Conflict: func(name, address string) {
			if n.m.conflicts.Inc(); n.repeatedLogs.Allow() {
				n.log.Error("two processes have one name: the one whose folder the catalog knows keeps it", "name", name, "other", address)
			}
		}})
	if err != nil {
		return err
	}
	n.gossip = g
	return nil
}

// arrivalBody is a process that wants the number of its life.
type arrivalBody struct {
	ID   string `json:"id"`
	Life string `json:"life"`
}

// arrive gets this process its incarnation, and ends the process if its name is another's.
func (n *Node) arrive() {
	c := NewClient(nil, applyWait+peerWait)
	c.Table = n.addresses
	t := time.NewTicker(arriveAgain)
	defer t.Stop()
	var since time.Time // the name has seemed to be another's
	for {
		var mine catalog.Member
		n.fsm.read(func(s *catalog.State) {
			if m := s.Members[n.c.Name]; m != nil {
				mine = *m
			}
		})
		had := n.gossip.Self().Incarnation
		switch {
		case mine.ID == n.id && mine.Life == n.startID:
			if had != mine.Incarnation {
				n.gossip.Say(func(i *member.Info) { i.Incarnation = mine.Incarnation })
				n.log.Info("arrived", "incarnation", mine.Incarnation)
			}
		case had > 0 && mine.Incarnation > had && mine.ID == n.id:
			n.fail(fmt.Errorf("name: a later process is called %s and has a copy of this folder: this one yields", n.c.Name))
			return
		case had > 0 && mine.Incarnation > had:
			n.fail(fmt.Errorf("name: another process is called %s, and this one was thought to be gone: it yields", n.c.Name))
			return
		default:
			var r catalog.Result
			err := c.do(n.ctx, http.MethodPost, endpoints.MembersPath+"/"+n.c.Name+"/arrival", arrivalBody{n.id, n.startID}, &r)
			var refused *HTTPError
			taken := errors.As(err, &refused) && refused.Status == http.StatusConflict
			switch {
			case !taken:
				since = time.Time{}
			case since.IsZero():
				since = time.Now()
			case time.Since(since) > nameWait:
				n.fail(fmt.Errorf("name: %w", err))
				return
			}
		}
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
	}
}

// present tells whether the view has a process of a name as there, and by which folder.
func (n *Node) present(name string) (id string, is bool) {
	if n.gossip == nil {
		return "", false
	}
	n.gossip.Do(func(_ time.Duration, t *member.Tracker) { id, is = t.Folder(name) })
	return id, is
}

// another refuses what a process asks in a name that another one has, which is there.
func (n *Node) another(name, id string) error {
	if has, is := n.present(name); is && id != "" && has != "" && has != id {
		if n.repeatedLogs.Allow() {
			n.log.Error("a second process came with the name of one that is there", "name", name)
		}
		return &refusal{catalog.Result{Code: catalog.Taken, Text: fmt.Sprintf("another process is called %s, and is there", name)}}
	}
	return nil
}

func (n *Node) handleMembers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+endpoints.MembersPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.gossip == nil {
			http.Error(w, "gossip: off at this steward", http.StatusNotFound)
			return
		}
		answer(w, n.gossip.View())
	})
	mux.HandleFunc("POST "+endpoints.MembersPath+"/{name}/arrival", n.leaderWrites(n.takeArrival))
	mux.HandleFunc("DELETE "+endpoints.MembersPath+"/{name}", n.leaveSession)
	mux.HandleFunc("POST /v1/evidence", n.serveEvidence)
}

func (n *Node) takeArrival(w http.ResponseWriter, r *http.Request) error {
	var b arrivalBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	name := r.PathValue("name")
	if _, known := (*n.table.Load())[name]; !known && name != n.c.Name {
		return bad("name: %q is not in the leader's table of peers", name)
	}
	if err := n.another(name, b.ID); err != nil {
		return err
	}
	id, is := n.present(name)
	return n.commit(w, catalog.Command{Kind: catalog.Arrive, Member: &catalog.Member{Name: name, ID: b.ID, Life: b.Life, Gone: !is || id == b.ID}})
}

// openSessionOf notes an agent that watches here, and returns what notes the end.
func (n *Node) openSessionOf(r *http.Request) func() {
	name := r.Header.Get(endpoints.MemberHeader)
	if n.gossip == nil || !endpoints.IsWord(name, endpoints.MaxName) {
		return func() {}
	}
	life := r.Header.Get(endpoints.LifeHeader)
	i := member.Info{Form: member.Form, Name: name, Role: member.Agent, ID: life[:min(len(life), 64)]}
	n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Open(now, i) })
	return func() {
		n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Closed(now, name) })
	}
}

func (n *Node) leaveSession(w http.ResponseWriter, r *http.Request) {
	if n.gossip == nil {
		http.Error(w, "gossip: off at this steward", http.StatusNotFound)
		return
	}
	i := member.Info{Form: member.Form, Name: r.PathValue("name"), Role: member.Agent, ID: r.Header.Get(endpoints.LifeHeader)}
	if err := i.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.gossip.Do(func(now time.Duration, t *member.Tracker) { t.Leaves(now, i) })
	answer(w, struct{}{})
}

// heardRenewals notes which servers were heard here, on the way to the leader.
func (n *Node) heardRenewals(w http.ResponseWriter, r *http.Request) error {
	if n.gossip == nil {
		return nil
	}
	text, err := readBody(w, r)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	var b Renewals
	if r.Header.Get(forwarded) == "" && json.Unmarshal(text, &b) == nil && len(b.Refs) <= maxRefs {
		n.hear(b.Refs)
	}
	return nil
}

// hear notes servers that the catalog knows by name and birth.
func (n *Node) hear(refs []catalog.Ref) {
	var known []catalog.Ref
	zones := map[string]string{}
	n.fsm.read(func(s *catalog.State) {
		for _, ref := range refs {
			if e := s.Entries[ref.Name]; e != nil && !e.Ended && e.Host.BornMs == ref.BornMs {
				known, zones[ref.Name] = append(known, ref), e.Host.Site
			}
		}
	})
	n.gossip.Do(func(now time.Duration, t *member.Tracker) {
		for _, ref := range known {
			t.Heard(now, member.Info{Form: member.Form, Name: ref.Name, Role: member.Server, Zone: zones[ref.Name], Incarnation: int64(ref.BornMs)}, n.c.LeaseTTL)
		}
	})
}

// Evidence is what a steward was asked about, or says.
type Evidence struct {
	From    string                   `json:"from,omitempty"`
	Refs    []catalog.Ref            `json:"refs,omitempty"`
	Answers map[string]member.Answer `json:"answers,omitempty"`
}

func (n *Node) serveEvidence(w http.ResponseWriter, r *http.Request) {
	var b Evidence
	if err := body(w, r, &b); err != nil {
		refuse(w, err)
		return
	}
	if len(b.Refs) > maxEvidence {
		refuse(w, bad("refs: %d of at most %d", len(b.Refs), maxEvidence))
		return
	}
	if n.evidenceCalls.Add(1) > mostQuestions {
		n.evidenceCalls.Add(-1)
		n.calls.refuse(w, evidenceWait) // who asked counts this one as silent
		return
	}
	defer n.evidenceCalls.Add(-1)
	answer(w, Evidence{From: n.c.Name, Answers: n.testify(r.Context(), b.Refs)})
}

// testify tells what this steward sees of servers, by asking them itself.
func (n *Node) testify(ctx context.Context, refs []catalog.Ref) map[string]member.Answer {
	ctx, cancel := context.WithTimeout(ctx, evidenceWait-100*time.Millisecond)
	defer cancel()
	dials := make([]string, len(refs))
	n.fsm.read(func(s *catalog.State) {
		for i, ref := range refs {
			if e := s.Entries[ref.Name]; e != nil && !e.Ended && e.Host.BornMs == ref.BornMs {
				dials[i] = e.Host.Dial
			}
		}
	})
	out := map[string]member.Answer{}
	began := time.Now()
	found := make([]member.Answer, len(refs))
	places := make(chan struct{}, maxConcurrentProbes)
	var all sync.WaitGroup
	for i, dial := range dials {
		if dial == "" {
			continue // this steward doesn't know it: no opinion
		}
		places <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-places }()
			found[i] = n.probe(ctx, dial)
		}()
	}
	all.Wait()
	slow := n.slow() || time.Since(began) > 2*evidenceWait
	for i, a := range found {
		if slow && a == member.Silent {
			a = member.Unsure // who was late itself accuses nobody
		}
		if a != member.None {
			out[refs[i].Name] = a
		}
	}
	return out
}

// slow tells whether this process stood still of late.
func (n *Node) slow() (is bool) {
	if n.gossip != nil {
		n.gossip.Do(func(now time.Duration, t *member.Tracker) { is = t.Calm(now) })
	}
	return is
}

// probe asks a server how it is.
func (n *Node) probe(ctx context.Context, dial string) member.Answer {
	if ctx.Err() != nil {
		return member.None // there was no time for it: not the server's fault
	}
	c, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	req, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+dial+"/health", nil)
	if err != nil {
		return member.None
	}
	resp, err := n.probes.Do(req)
	switch {
	case err == nil:
		resp.Body.Close()
		return member.Sees
	case errors.Is(err, syscall.ECONNREFUSED):
		return member.Refuses
	case ctx.Err() != nil:
		return member.None
	}
	return member.Silent
}

// verdicts is what the stewards said of servers that are in doubt.
type verdicts struct {
	mu     sync.Mutex
	about  map[string]testimony
	voters []string
}

type testimony struct {
	bornMs  float64
	at      time.Time
	answers map[string]member.Answer
}

// judge is how leases are decided: by what most of the stewards that vote said of late.
func (n *Node) judge() catalog.Judge {
	if !n.c.Evidence {
		return catalog.LeaseAlone
	}
	n.judged.mu.Lock()
	about, voters := n.judged.about, n.judged.voters
	n.judged.mu.Unlock()
	return func(ref catalog.Ref, over bool) catalog.Evidence {
		t, ok := about[ref.Name]
		if !ok || t.bornMs != ref.BornMs || time.Since(t.at) > verdictLasts {
			return catalog.Unsettled
		}
		switch member.Judge(voters, true, over, t.answers) {
		case member.Keep:
			return catalog.Stays
		case member.Remove:
			return catalog.Gone
		}
		return catalog.Unsettled
	}
}

// inquire has the stewards that vote asked about servers that are not heard, while this one
// leads. What they say counts only if this one was shown to lead after it was said.
func (n *Node) inquire() {
	t := time.NewTicker(inquireEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
		now, leads := n.elapsed()
		if !leads || !n.c.Evidence {
			continue
		}
		var refs []catalog.Ref
		n.lead.Lock()
		if n.leases != nil {
			n.fsm.read(func(s *catalog.State) { refs = n.leases.Doubtful(s, now) })
		}
		n.lead.Unlock()
		if len(refs) == 0 {
			continue
		}
		voters := n.voters()
		answers := n.ask(voters, refs)
		if n.verifyLeader(n.ctx) != nil {
			continue
		}
		at := time.Now()
		n.judged.mu.Lock()
		about := map[string]testimony{}
		for name, t := range n.judged.about { // those asked about in another turn
			if at.Sub(t.at) <= verdictLasts {
				about[name] = t
			}
		}
		for _, ref := range refs {
			about[ref.Name] = testimony{ref.BornMs, at, answers[ref.Name]}
		}
		n.judged.about, n.judged.voters = about, voters
		n.judged.mu.Unlock()
	}
}

// ask returns what each voter says, by server and voter.
func (n *Node) ask(voters []string, refs []catalog.Ref) map[string]map[string]member.Answer {
	ctx, cancel := context.WithTimeout(n.ctx, evidenceWait)
	defer cancel()
	// The context bounds the calls: n.peers would give up before a steward that has many silent
	// servers to probe can answer.
	client := &http.Client{Transport: n.peers.Transport}
	type said struct {
		from    string
		answers map[string]member.Answer
	}
	heard := make(chan said, len(voters))
	for _, v := range voters {
		go func() {
			if v == n.c.Name {
				heard <- said{v, n.testify(ctx, refs)}
				return
			}
			p, known := (*n.table.Load())[v]
			if !known {
				heard <- said{from: v}
				return
			}
			var e Evidence
			err := call(ctx, client, http.MethodPost, "http://"+p.HTTP+"/v1/evidence", Evidence{Refs: refs}, &e)
			var refused *HTTPError
			switch {
			case errors.As(err, &refused) && refused.Status == http.StatusNotFound:
				e.From, e.Answers = v, map[string]member.Answer{}
				for _, ref := range refs {
					e.Answers[ref.Name] = member.Agrees
				}
			case err != nil || e.From != v: // the table may lead to another
				e.Answers = nil
			}
			heard <- said{v, e.Answers}
		}()
	}
	out := map[string]map[string]member.Answer{}
	for _, ref := range refs {
		out[ref.Name] = map[string]member.Answer{}
	}
	for range voters {
		s := <-heard
		for name, a := range s.answers {
			if out[name] != nil {
				out[name][s.from] = a
			}
		}
	}
	return out
}

// absent is who the view doesn't have as present, of those that hold duties and gossip.
func (n *Node) absent() map[string]bool {
	if n.gossip == nil {
		return nil
	}
	out := map[string]bool{}
	n.gossip.Do(func(_ time.Duration, t *member.Tracker) { t.Absent(out) })
	return out
}

// failures is since when the leader has had members as failed.
type failures struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// fleet is the stewards as the leader knows them.
func (n *Node) fleet() member.Fleet {
	f := member.Fleet{Failed: map[string]time.Duration{}, There: map[string]bool{}, Leader: n.c.Name, Wanted: n.c.Voters, After: n.c.ReplaceAfter}
	conf := n.raft().GetConfiguration()
	if conf.Error() != nil {
		return f
	}
	committed := n.raft().CommitIndex()
	caught := map[string]bool{n.c.Name: true}
	for _, st := range n.peerStatuses() {
		caught[st.Name] = st.Applied > 0 && st.Applied+16 >= committed
	}
	v := n.gossip.View()
	n.failed.mu.Lock()
	defer n.failed.mu.Unlock()
	if n.failed.since == nil {
		n.failed.since = map[string]time.Time{}
	}
	for _, s := range conf.Configuration().Servers {
		name := string(s.ID)
		state := v.State(name)
		if name == n.c.Name {
			state = member.Present
		}
		f.There[name] = state == member.Present && caught[name]
		if s.Suffrage == raft.Voter {
			f.Voters = append(f.Voters, name)
		} else {
			f.Spares = append(f.Spares, name)
		}
		if state != member.Failed && state != member.Left {
			delete(n.failed.since, name)
			continue
		}
		if n.failed.since[name].IsZero() {
			n.failed.since[name] = time.Now()
		}
		f.Failed[name] = time.Since(n.failed.since[name])
	}
	return f
}

// stepVoters takes one step towards as many voters as are wanted, all of them alive.
func (n *Node) stepVoters(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := body(w, r, &b); err != nil {
		return err
	}
	if n.gossip == nil || n.c.Voters == 0 {
		answer(w, struct{}{})
		return nil
	}
	f := n.fleet()
	step, some := member.Replace(&f)
	if !some {
		answer(w, step)
		return nil
	}
	// The step is this duty's, and this steward leads: shown by an entry of the log.
	res, err := n.propose(catalog.Command{Kind: catalog.Check, Under: votersDuty, Fence: b.Fence})
	if err != nil {
		return err
	}
	if res.Code != catalog.Done {
		return &refusal{res}
	}
	switch {
	case step.Add != "":
		err = n.raft().AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), 0, applyWait).Error()
	case step.Demote != "":
		err = n.raft().DemoteVoter(raft.ServerID(step.Demote), 0, applyWait).Error()
	default:
		err = n.raft().RemoveServer(raft.ServerID(step.Remove), 0, applyWait).Error()
	}
	if err != nil {
		return membership(err)
	}
	n.m.replaced.Inc()
	n.log.Warn("voters", "added", step.Add, "removed", step.Remove, "demoted", step.Demote, "wanted", f.Wanted, "fence", b.Fence)
	answer(w, step)
	return nil
}

// rejoinLost asks to be a spare where this steward was replaced while it was away.
func (n *Node) rejoinLost(found []Status) {
	if n.c.Voters == 0 || n.raft() == nil {
		return
	}
	for i := range found {
		st := &found[i]
		if st.State != "leader" || st.Term < n.raft().CurrentTerm() && n.silence() < n.c.StaleAfter {
			continue
		}
		if _, in := st.Peers[n.c.Name]; in || len(st.Peers) == 0 {
			return
		}
		p, known := (*n.table.Load())[st.Name]
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(n.ctx, peerWait)
		defer cancel()
		if err := call(ctx, n.peers, http.MethodPut, "http://"+p.HTTP+"/v1/peers/"+n.c.Name+"?spare=1", nil, nil); err != nil {
			n.log.Warn("replaced while away, and not taken in as a spare yet", "err", err)
			return
		}
		n.log.Info("replaced while away: a spare from now on")
		return
	}
}

// Members reads what each of the client's stewards knows; those that don't answer are named.
func Members(ctx context.Context, addrs []string, within time.Duration) (views []member.View, silent []string) {
	for _, addr := range addrs {
		var v member.View
		if err := NewClient([]string{addr}, within).do(ctx, http.MethodGet, endpoints.MembersPath, nil, &v); err != nil {
			silent = append(silent, addr)
			continue
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b member.View) int { return strings.Compare(a.From, b.From) })
	return views, silent
}

// gossipCounts offers what gossip counted as metrics.
func (n *Node) gossipCounts() map[string]float64 {
	if n.gossip == nil {
		return nil
	}
	c := n.gossip.Counts()
	return map[string]float64{"old": float64(c.Old), "held": float64(c.Held), "suspects": float64(c.Suspects), "wrongs": float64(c.Wrongs),
		"full": float64(c.Full), "strange": float64(c.Strange), "pauses": float64(c.Pauses), "rubbish": float64(c.Rubbish),
		"refused": float64(c.Refused), "conflicts": float64(c.Conflicts), "unknown": float64(c.Unknown), "dropped": float64(c.Dropped), "sent_bytes": float64(c.Sent)}
}
