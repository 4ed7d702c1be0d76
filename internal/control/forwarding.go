package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// forwardedByHeader marks a request that another server forwarded to the leader; it isn't
// forwarded again.
const forwardedByHeader = "Forwarded-By"

// leaderWrites returns a handler for a write. The leader carries the write out; any other server forwards
// the request to the leader.
func (s *Server) leaderWrites(do commandHandler) http.HandlerFunc {
	return s.leaderWritesAfter(func(http.ResponseWriter, *http.Request) error { return nil }, do)
}

// leaderWritesAfter is like leaderWrites, but calls before on the server where the request arrived,
// after the request was admitted and before the leader carries it out. If before returns an error,
// the answer is that error and the write is not carried out.
func (s *Server) leaderWritesAfter(before, do commandHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		release, ok := s.admission.admitWrite(w)
		if !ok {
			return
		}
		defer release()
		if err := before(w, r); err != nil {
			writeError(w, err)
			return
		}
		if _, leads := s.leaderClock(); !leads {
			s.forwardToLeader(w, r)
			return
		}
		if err := do(w, r); err != nil {
			writeError(w, err)
		}
	}
}

// leaderReads returns a handler for a read. A request with consistent=1 is answered by the leader
// and reflects every write acknowledged before it. Any other request is answered by this server
// from the state that it has applied.
func (s *Server) leaderReads(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("consistent") != "1" {
			do(w, r)
			return
		}
		if _, leads := s.leaderClock(); !leads {
			s.forwardToLeader(w, r)
			return
		}
		if err := s.barrier(r.Context()); err != nil {
			writeError(w, err)
			return
		}
		do(w, r)
	}
}

// forwardToLeader forwards a request to the leader and relays the leader's answer. It answers
// with errNoLeader if the leader certainly didn't get the request, and with errUnknownOutcome if
// the leader didn't answer.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request) {
	leader, known := s.peer(s.leader())
	if !known || s.leader() == s.config.Name || r.Header.Get(forwardedByHeader) != "" {
		writeError(w, errNoLeader)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout+peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+leader.HTTP+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		writeError(w, err)
		return
	}
	req.Header.Set(forwardedByHeader, s.config.Name)
	req.GetBody = nil // so that the transport can't send the request a second time
	resp, err := (&http.Client{Transport: s.peerClient.Transport}).Do(req)
	switch {
	case err != nil && neverSent(err):
		writeError(w, errNoLeader)
		return
	case err != nil:
		writeError(w, fmt.Errorf("%w: %v", errUnknownOutcome, err))
		return
	}
	relayAnswer(w, resp)
}

// relayAnswer copies another server's answer to the client and closes it. If the answer can't be
// read to its end, the client gets the part that was read.
func relayAnswer(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	for _, key := range []string{"Content-Type", "Retry-After", notAppliedHeader, endpoints.ScopeHeader} {
		if v := resp.Header.Get(key); v != "" {
			w.Header().Set(key, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// commitAndAnswer proposes a command and answers with its result. It returns a rejectedError if
// the catalog rejected the command, or the error of propose.
func (s *Server) commitAndAnswer(w http.ResponseWriter, c catalog.Command) error {
	result, err := s.propose(c)
	if err != nil {
		return err
	}
	if result.Code != catalog.Done {
		return &rejectedError{result}
	}
	writeJSON(w, result)
	return nil
}
