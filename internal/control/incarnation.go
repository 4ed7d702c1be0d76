package control

import (
	"fmt"
	"net/http"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/member"
)

const (
	incarnationInterval = 500 * time.Millisecond // between checks of this process's incarnation
	// nameConflictTimeout is for how long a name may seem to belong to another process before this
	// one gives up: after a restart with an empty data folder, the peers need some time to notice
	// that the earlier process has ended.
	nameConflictTimeout = 10 * time.Second
)

// memberArrivalBody requests the incarnation number of a start of a process: it has the identity of
// the data folder and that of the start.
type memberArrivalBody struct {
	ID     string `json:"id"`
	BootID string `json:"life"`
}

// incarnationLoop obtains this process's incarnation number from the catalog and gossips it. It
// ends the process if its name belongs to another one, and returns then or when the server
// stops.
func (s *Server) incarnationLoop() {
	client := NewClient(nil, applyTimeout+peerTimeout)
	client.AddressSource = s.serverAddresses
	ticker := time.NewTicker(incarnationInterval)
	defer ticker.Stop()
	var conflictSince time.Time
	for {
		if err := s.checkIncarnation(client, &conflictSince); err != nil {
			s.fail(err)
			return
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// checkIncarnation takes over this process's incarnation number once the catalog has it, and
// requests one until then. It returns an error if this server's name belongs to another process.
// conflictSince is when the name began to seem another process's; zero if it doesn't.
func (s *Server) checkIncarnation(client *Client, conflictSince *time.Time) error {
	var registered catalog.Member
	s.fsm.read(func(state *catalog.State) {
		if m := state.Members[s.config.Name]; m != nil {
			registered = *m
		}
	})
	current := s.gossip.Self().Incarnation
	switch {
	case registered.ID == s.dataID && registered.BootID == s.bootID:
		if current != registered.Incarnation {
			s.gossip.UpdateSelf(func(i *member.Info) { i.Incarnation = registered.Incarnation })
			s.log.Info("incarnation number obtained", "incarnation", registered.Incarnation)
		}
		return nil
	case current > 0 && registered.Incarnation > current && registered.ID == s.dataID:
		return fmt.Errorf("name: a later process is called %s and has a copy of this folder: this one yields", s.config.Name)
	case current > 0 && registered.Incarnation > current:
		return fmt.Errorf("name: another process is called %s, and this one was thought to be gone: it yields", s.config.Name)
	}
	var result catalog.Result
	err := client.do(s.ctx, http.MethodPost, endpoints.MembersPath+"/"+s.config.Name+"/arrival", memberArrivalBody{s.dataID, s.bootID}, &result)
	switch {
	case !isConflict(err):
		*conflictSince = time.Time{}
	case conflictSince.IsZero():
		*conflictSince = time.Now()
	case time.Since(*conflictSince) > nameConflictTimeout:
		return fmt.Errorf("name: %w", err)
	}
	return nil
}

// presentMember reports whether a process of this name is present in the membership view, and
// returns the identity of its data folder.
func (s *Server) presentMember(name string) (id string, is bool) {
	if s.gossip == nil {
		return "", false
	}
	s.gossip.WithTracker(func(_ time.Duration, t *member.Tracker) { id, is = t.InstanceID(name) })
	return id, is
}

// checkNameConflict returns a rejectedError if a process other than the one with this data folder's
// identity is present under the name.
func (s *Server) checkNameConflict(name, id string) error {
	if has, is := s.presentMember(name); is && id != "" && has != "" && has != id {
		if s.logLimiter.Allow() {
			s.log.Error("request of a second process with the name of a present one", "name", name)
		}
		text := fmt.Sprintf("another process is called %s, and is there", name)
		return &rejectedError{catalog.Result{Code: catalog.Taken, Text: text}}
	}
	return nil
}

// handleMemberArrival gives a control-plane server its incarnation number. It rejects a name that
// isn't in the peer table or that another present process has.
func (s *Server) handleMemberArrival(w http.ResponseWriter, r *http.Request) error {
	var b memberArrivalBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	name := r.PathValue("name")
	if _, known := s.peer(name); !known && name != s.config.Name {
		return newBadRequest("name: %q is not in the leader's table of peers", name)
	}
	if err := s.checkNameConflict(name, b.ID); err != nil {
		return err
	}
	id, is := s.presentMember(name)
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.RegisterMember, Member: &catalog.Member{
		Name:              name,
		ID:                b.ID,
		BootID:            b.BootID,
		PredecessorAbsent: !is || id == b.ID,
	}})
}
