package control

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"molepaddle/internal/catalog"
	"molepaddle/internal/endpoints"
	"molepaddle/internal/member"
)

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
