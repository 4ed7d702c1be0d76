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
	arrivalInterval = 500 * time.Millisecond // between checks of this process's incarnation
	// nameConflictTimeout is for how long a name may seem to belong to another process before
	// this one gives up: after a quick restart with an empty data folder, the others need some
	// time to notice that the earlier process is gone.
	nameConflictTimeout = 10 * time.Second
)

// arrivalBody asks for the incarnation number of a start of a process.
type arrivalBody struct {
	ID   string `json:"id"`
	Life string `json:"life"`
}

// arrivalLoop obtains this process's incarnation number from the catalog and gossips it. It
// ends the process if its name belongs to another one, and returns then or when the steward
// stops.
func (n *Server) arrivalLoop() {
	c := NewClient(nil, applyWait+peerWait)
	c.AddressSource = n.addresses
	t := time.NewTicker(arrivalInterval)
	defer t.Stop()
	var conflictSince time.Time // when the name began to seem another process's; zero if it doesn't
	for {
		var mine catalog.Member
		n.fsm.read(func(s *catalog.State) {
			if m := s.Members[n.c.Name]; m != nil {
				mine = *m
			}
		})
		had := n.gossip.Self().Incarnation
		switch {
		case mine.ID == n.id && mine.BootID == n.startID:
			if had != mine.Incarnation {
				n.gossip.UpdateSelf(func(i *member.Info) { i.Incarnation = mine.Incarnation })
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
			switch {
			case !isConflict(err):
				conflictSince = time.Time{}
			case conflictSince.IsZero():
				conflictSince = time.Now()
			case time.Since(conflictSince) > nameConflictTimeout:
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

// present reports whether the membership view holds a process of this name to be present, and
// the identity of its data folder.
func (n *Server) present(name string) (id string, is bool) {
	if n.gossip == nil {
		return "", false
	}
	n.gossip.WithTracker(func(_ time.Duration, t *member.Tracker) { id, is = t.DataID(name) })
	return id, is
}

// another returns a refusal if a process other than the one with this identity is present
// under the name.
func (n *Server) another(name, id string) error {
	if has, is := n.present(name); is && id != "" && has != "" && has != id {
		if n.repeatedLogs.Allow() {
			n.log.Error("a second process came with the name of one that is there", "name", name)
		}
		return &refusal{catalog.Result{Code: catalog.Taken, Text: fmt.Sprintf("another process is called %s, and is there", name)}}
	}
	return nil
}

// takeArrival gives a process of the control plane its incarnation number. It refuses a name
// that isn't in the table of peers or that another present process has.
func (n *Server) takeArrival(w http.ResponseWriter, r *http.Request) error {
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
	return n.commit(w, catalog.Command{Kind: catalog.RegisterMember, Member: &catalog.Member{Name: name, ID: b.ID, BootID: b.Life, PredecessorAbsent: !is || id == b.ID}})
}
