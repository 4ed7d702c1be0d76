package control

import (
	"net/http"
	"strconv"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// maxRefsPerCall bounds the servers or terms that one request refers to.
const maxRefsPerCall = 2000

// RenewalBatch is a request to renew the leases of servers (Refs) or the answer to such a request
// (Codes and TTLMs).
type RenewalBatch struct {
	Refs  []catalog.InstanceRef `json:"refs"`
	Codes []catalog.Code        `json:"codes,omitempty"`  // the result for each of Refs, in their order
	TTLMs int64                 `json:"ttl_ms,omitempty"` // the time to live of a lease, in milliseconds
}

// ServerOverride is an operator's override of a server's weight and health. A nil field leaves that
// part of the override unchanged.
type ServerOverride struct {
	Weight    *float64 `json:"share,omitempty"`  // the JSON key is fixed by the HTTP API
	Health    *string  `json:"health,omitempty"` // "" withdraws the override
	IfVersion int64    `json:"if,omitempty"`     // if not 0, the override is rejected unless the entry has this version
}

// handleRegister registers a server and starts its lease.
func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) error {
	var endpoint endpoints.Endpoint
	if err := decodeBody(w, r, &endpoint); err != nil {
		return err
	}
	if endpoint.Name != r.PathValue("name") {
		return newBadRequest("host: %q is not the name in the path", endpoint.Name)
	}
	if err := endpoint.Validate(); err != nil {
		return newBadRequest("%v", err)
	}
	if endpoint.Health == endpoints.Removed {
		return newBadRequest("health: a server that is gone doesn't register")
	}
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.Register, Endpoint: &endpoint})
}

// registrationEndHandler returns a handler that drains a server or removes it from the list, depending
// on the kind of command.
func (s *Server) registrationEndHandler(kind catalog.Kind) commandHandler {
	return func(w http.ResponseWriter, r *http.Request) error {
		startedMs, err := strconv.ParseFloat(r.URL.Query().Get("born_ms"), 64)
		if err != nil {
			return newBadRequest("born_ms: no number in the query")
		}
		ref := catalog.InstanceRef{Name: r.PathValue("name"), StartedMs: startedMs}
		return s.commitAndAnswer(w, catalog.Command{Kind: kind, Refs: []catalog.InstanceRef{ref}})
	}
}

// handleRenewals renews leases and answers with a result code for each.
func (s *Server) handleRenewals(w http.ResponseWriter, r *http.Request) error {
	var b RenewalBatch
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if len(b.Refs) > maxRefsPerCall {
		return newBadRequest("refs: %d of at most %d", len(b.Refs), maxRefsPerCall)
	}
	codes, err := s.renew(b.Refs)
	if err != nil {
		return err
	}
	writeJSON(w, RenewalBatch{Refs: []catalog.InstanceRef{}, Codes: codes, TTLMs: s.config.LeaseTTL.Milliseconds()})
	return nil
}

// handleSetOverride sets or withdraws an operator's override.
func (s *Server) handleSetOverride(w http.ResponseWriter, r *http.Request) error {
	var b ServerOverride
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if b.Weight == nil && b.Health == nil {
		return newBadRequest("share, health: neither is given")
	}
	return s.commitAndAnswer(w, catalog.Command{
		Kind:      catalog.SetOverride,
		Name:      r.PathValue("name"),
		Weight:    b.Weight,
		Health:    b.Health,
		IfVersion: b.IfVersion,
	})
}

// handleConfirmRemovals removes the servers that the mass-failure guard has quarantined.
func (s *Server) handleConfirmRemovals(w http.ResponseWriter, _ *http.Request) error {
	s.log.Warn("operator confirmed the removal of quarantined servers")
	return s.commitAndAnswer(w, catalog.Command{Kind: catalog.ConfirmRemoval})
}

// handleServers answers with all entries.
func (s *Server) handleServers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, copyAll(s.fsm, entryTable, shallowCopy))
}

// handleServer answers with the entry of one server.
func (s *Server) handleServer(w http.ResponseWriter, r *http.Request) {
	entry := copyOne(s.fsm, entryTable, r.PathValue("name"), shallowCopy)
	writeJSONOrNotFound(w, entry, "no server of this name")
}

// fenceBody carries the fencing token of the holder of a control-plane task.
type fenceBody struct {
	Fence int64 `json:"fence"`
}

// handleSweep acts on expired leases, on behalf of the holder of the sweep task.
func (s *Server) handleSweep(w http.ResponseWriter, r *http.Request) error {
	var b fenceBody
	if err := decodeBody(w, r, &b); err != nil {
		return err
	}
	if err := s.sweep(b.Fence); err != nil {
		return err
	}
	writeJSON(w, struct{}{})
	return nil
}
