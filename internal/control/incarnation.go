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
	incarnationCheckInterval = 500 * time.Millisecond // time between checks of this process's incarnation
	// nameConflictTimeout is how long this process retries requests that are rejected because
	// another process has its name, before it gives up. After a restart with an empty data folder,
	// the peers need some time to notice that the earlier process has ended.
	nameConflictTimeout = 10 * time.Second
)

// incarnationRequestBody is the body of a request for a process's incarnation number. ID is the identity
// of the data folder. BootID is the identity of this start of the process; its JSON key is fixed by the
// wire format.
type incarnationRequestBody struct {
	ID     string `json:"id"`
	BootID string `json:"life"`
}

// supersededError means that the catalog has since given this process's name to another process, so
// that this process must stop.
type supersededError struct {
	name           string
	sameDataFolder bool // whether the other process has a copy of this one's data folder
}

// Error says which process keeps the name, and that this process stops.
func (e *supersededError) Error() string {
	if e.sameDataFolder {
		return fmt.Sprintf("name: a later process is called %s and has a copy of this data folder: this one stops", e.name)
	}
	return fmt.Sprintf("name: another process has been given the name %s, as this one was considered failed: this one stops", e.name)
}

// incarnationLoop obtains this process's incarnation number from the catalog and gossips it. It
// returns when the server stops, or after it has reported a fatal error because the name belongs to
// another process.
func (s *Server) incarnationLoop() {
	client := NewClient(nil, applyTimeout+peerTimeout)
	client.AddressSource = s.serverAddresses
	ticker := time.NewTicker(incarnationCheckInterval)
	defer ticker.Stop()
	requester := incarnationRequester{client: client}
	for {
		if err := s.checkIncarnation(&requester); err != nil {
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

// checkIncarnation adopts this process's incarnation number once the catalog has it, and requests
// one until then. It returns a supersededError if the catalog has since given this server's name to
// another process, and an error that wraps the rejection if another present process has had the
// name for nameConflictTimeout.
func (s *Server) checkIncarnation(requester *incarnationRequester) error {
	registered := s.registeredMember()
	if registered.ID == s.dataID && registered.BootID == s.bootID {
		s.adoptIncarnation(registered.Incarnation)
		return nil
	}
	if current := s.gossip().Self().Incarnation; current > 0 && registered.Incarnation > current {
		return &supersededError{s.config.Name, registered.ID == s.dataID}
	}
	return s.requestIncarnation(requester)
}

// registeredMember returns the catalog's member of this server's name, or the zero Member.
func (s *Server) registeredMember() (registered catalog.Member) {
	s.fsm.read(func(state *catalog.State) {
		if m := state.Members[s.config.Name]; m != nil {
			registered = *m
		}
	})
	return registered
}

// adoptIncarnation gossips this process's incarnation number, unless it already does.
func (s *Server) adoptIncarnation(incarnation int64) {
	if s.gossip().Self().Incarnation == incarnation {
		return
	}
	s.gossip().UpdateSelf(func(i *member.Info) { i.Incarnation = incarnation })
	s.log.Info("incarnation number obtained", "incarnation", incarnation)
}

// incarnationRequester requests this process's incarnation number until the catalog has it.
type incarnationRequester struct {
	client *Client
	// conflictSince is the time of the first rejection in the current run of requests that were rejected
	// because another process has the name. It is zero if the last request was not rejected for this reason.
	conflictSince time.Time
}

// requestIncarnation sends the request once. It returns an error only if the request has been
// rejected for longer than nameConflictTimeout because another process has the name.
func (s *Server) requestIncarnation(requester *incarnationRequester) error {
	path := endpoints.MembersPath + "/" + s.config.Name + "/arrival"
	var result catalog.Result
	err := requester.client.do(s.ctx, http.MethodPost, path, incarnationRequestBody{s.dataID, s.bootID}, &result)
	switch {
	case !isConflict(err):
		requester.conflictSince = time.Time{}
	case requester.conflictSince.IsZero():
		requester.conflictSince = time.Now()
	case time.Since(requester.conflictSince) > nameConflictTimeout:
		return fmt.Errorf("name: %w", err)
	}
	return nil
}

// memberPresence reports whether a process of this name may be alive according to the membership
// view. A suspect or joining process counts as present. dataID is the identity of the process's data
// folder, or "" if it is not known.
func (s *Server) memberPresence(name string) (dataID string, present bool) {
	if s.gossip() == nil {
		return "", false
	}
	s.gossip().WithTracker(func(_ time.Duration, t *member.Tracker) { dataID, present = t.InstanceID(name) })
	return dataID, present
}

// checkNameConflict returns a rejectedError if a process of this name whose data folder has another
// identity is present. An unknown identity, "", is not a conflict.
func (s *Server) checkNameConflict(name, dataID string) error {
	other, present := s.memberPresence(name)
	if present && dataID != "" && other != "" && other != dataID {
		if s.logLimiter.Allow() {
			s.log.Error("request of a second process with the name of a present one", "member", name)
		}
		text := fmt.Sprintf("another process is called %s, and is there", name)
		return &rejectedError{catalog.Result{Code: catalog.Taken, Text: text}}
	}
	return nil
}

// handleIncarnationRequest assigns an incarnation number to a control-plane server. It rejects a name
// that isn't in the peer table or that another present process has.
func (s *Server) handleIncarnationRequest(w http.ResponseWriter, r *http.Request) error {
	var b incarnationRequestBody
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
	dataID, present := s.memberPresence(name)
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.RegisterMember, Member: &catalog.Member{
		Name:              name,
		ID:                b.ID,
		BootID:            b.BootID,
		PredecessorAbsent: !present || dataID == b.ID,
	}})
}
