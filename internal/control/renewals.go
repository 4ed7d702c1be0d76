package control

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/member"
)

// heardRenewals notes which servers renewed at this steward, before the renewals are passed on
// to the leader. It leaves the body of the request readable.
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
		n.noteRenewals(b.Refs)
	}
	return nil
}

// noteRenewals records in the membership tracker the servers among refs that the catalog has
// under the same name and start time.
func (n *Node) noteRenewals(refs []catalog.Ref) {
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
