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

// observeRenewals records which servers renewed their leases through this control-plane server, before
// the renewals are forwarded to the leader. The body of the request can be read again afterwards.
func (s *Server) observeRenewals(w http.ResponseWriter, r *http.Request) error {
	if s.gossip() == nil {
		return nil
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var b RenewalBatch
	if r.Header.Get(forwardedByHeader) == "" && json.Unmarshal(body, &b) == nil && len(b.Refs) <= maxRefsPerCall {
		s.recordRenewals(b.Refs)
	}
	return nil
}

// recordRenewals records a heartbeat in the membership tracker for each instance in refs that the
// catalog has.
func (s *Server) recordRenewals(refs []catalog.InstanceRef) {
	var known []catalog.InstanceRef
	zones := map[string]string{}
	s.fsm.read(func(state *catalog.State) {
		for _, ref := range refs {
			if e := instanceEntry(state, ref); e != nil {
				known, zones[ref.Name] = append(known, ref), e.Endpoint.Site
			}
		}
	})
	s.gossip().WithTracker(func(now time.Duration, t *member.Tracker) {
		for _, ref := range known {
			info := member.Info{
				ProtocolVersion: member.ProtocolVersion,
				Name:            ref.Name,
				Role:            member.RoleServer,
				Zone:            zones[ref.Name],
				Incarnation:     int64(ref.StartedMs),
			}
			t.Heartbeat(now, info, s.config.LeaseTTL)
		}
	})
}
