package control

import (
	"context"
	"net/http"
	"time"

	"knotrouter/internal/catalog"
)

const (
	// catchUpTimeout is how long a reader whose version is later than this server's waits for this
	// server to catch up.
	catchUpTimeout = 1500 * time.Millisecond
	// catchUpInterval is how often a waiting request checks whether this server has caught up.
	catchUpInterval = 5 * time.Millisecond
	// maxRevisionLead is how far a valid version of a reader can be ahead of the wall clock in
	// microseconds. Versions start at the wall clock (see raiseRevision) and increase with each change;
	// the limit allows for one version per microsecond for a day.
	maxRevisionLead = int64(24 * time.Hour / time.Microsecond)
	// maxRevision is the highest version that is accepted from a reader. JSON numbers are exact up
	// to it, and the limit keeps a reader with an invalid version from exhausting the range.
	maxRevision = 1 << 52
)

// revisionBody is the body of a report of a version of the list, and of the answer to it.
type revisionBody struct {
	Seq int64 `json:"seq"`
}

// awaitRevision waits until this server has reached the version that a reader has. Either this server
// lags and catches up, or the version is from an earlier state of the control plane that was lost, and
// the leader raises the current version above it. It returns false if this server still lags after
// catchUpTimeout and another server can serve, or if the context ends.
func (s *Server) awaitRevision(ctx context.Context, since int64) bool {
	if since <= s.fsm.revision() || since > s.config.Now().UnixMicro()+maxRevisionLead {
		return true
	}
	s.reportRevision(since)
	timeout := time.NewTimer(catchUpTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for s.fsm.revision() < since {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return !s.peerCanServe()
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// reportRevision reports the version that a reader has to the leader, which may be this server.
func (s *Server) reportRevision(revision int64) {
	ctx, cancel := context.WithTimeout(s.ctx, catchUpTimeout)
	defer cancel()
	if _, leads := s.leaderClock(); leads {
		if err := s.raiseRevisionAbove(ctx, revision); err != nil {
			s.log.Debug("raising the list version above the reader's version failed", "list_version", revision, "err", err)
		}
		return
	}
	if p, ok := s.peer(s.leader()); ok {
		if err := call(ctx, s.peerClient, http.MethodPost, "http://"+p.HTTP+"/v1/seen", revisionBody{revision}, nil); err != nil {
			s.log.Debug("reporting a reader's list version to the leader failed", "list_version", revision, "err", err)
		}
	}
}

// handleReportedRevision raises the version above the one that a reader reported to another
// server, and answers with the resulting version.
func (s *Server) handleReportedRevision(w http.ResponseWriter, r *http.Request) error {
	var b revisionBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Seq > s.config.Now().UnixMicro()+maxRevisionLead || b.Seq < 0 {
		return newBadRequest("seq: no version that a reader can have")
	}
	if err := s.raiseRevisionAbove(r.Context(), b.Seq); err != nil {
		return err
	}
	writeJSON(w, revisionBody{s.fsm.revision()})
	return nil
}

// raiseRevisionAbove raises the version above the one that a reader reported, unless applying the log is
// enough to reach it. A follower may have applied entries that this leader has committed but not applied
// yet, so the leader first applies all committed entries. Raising the version needlessly is expensive: it
// drops the history, so that every reader is sent the full list.
func (s *Server) raiseRevisionAbove(ctx context.Context, reported int64) error {
	if s.fsm.revision() >= reported {
		return nil
	}
	if err := s.barrier(ctx); err != nil {
		return err
	}
	if s.fsm.revision() < reported {
		s.raiseRevision(reported)
	}
	return nil
}

// raiseRevision advances the version past every version that a reader can have seen, so that versions
// never decrease after the state was lost or restored. The new version is the wall clock in
// microseconds, but at least one above reported, the highest version that a reader reported.
func (s *Server) raiseRevision(reported int64) {
	version := max(s.config.Now().UnixMicro(), reported+1)
	if version > maxRevision {
		return // no server has ever issued such a version
	}
	if _, err := s.propose(catalog.Command{Kind: catalog.RaiseRevision, Seq: version}); err != nil {
		s.log.Warn("raising the list version failed", "list_version", version, "err", err)
		return
	}
	s.log.Info("list version raised", "list_version", version, "reader_list_version", reported)
}
