package control

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// bodyTimeout is how long a client may take to send the body of a request.
const bodyTimeout = 3 * time.Second

// commandHandler handles a request. If it returns an error, writeError writes the answer; if it
// returns nil, it has written the answer itself.
type commandHandler func(http.ResponseWriter, *http.Request) error

// handler returns the handler of the whole HTTP API.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoints.Path, s.handleList)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	mux.HandleFunc("POST /v1/seen", s.leaderWrites(s.handleReportedRevision))
	mux.HandleFunc("GET /v1/snapshot", s.leaderReads(s.handleSnapshot))
	mux.HandleFunc("PUT /v1/snapshot", s.leaderWrites(s.handleRestore))
	mux.HandleFunc("PUT /v1/peers/{name}", s.leaderWrites(s.handleAddPeer))
	mux.HandleFunc("DELETE /v1/peers/{name}", s.leaderWrites(s.handleRemovePeer))
	s.addRegistrationRoutes(mux)
	s.addSessionRoutes(mux)
	s.addTaskRoutes(mux)
	s.addMemberRoutes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// The deadline also covers a body that no handler reads: net/http reads it to its end after the
			// handler, and would wait for it without a deadline.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		mux.ServeHTTP(w, r)
	})
}

// addRegistrationRoutes adds the routes of registered servers and their leases.
func (s *Server) addRegistrationRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/servers", s.leaderReads(s.handleServers))
	mux.HandleFunc("GET /v1/servers/{name}", s.leaderReads(s.handleServer))
	mux.HandleFunc("PUT /v1/servers/{name}", s.leaderWrites(s.handleRegister))
	mux.HandleFunc("PATCH /v1/servers/{name}", s.leaderWrites(s.handleSetOverride))
	mux.HandleFunc("DELETE /v1/servers/{name}", s.leaderWrites(s.registrationEndHandler(catalog.Deregister)))
	mux.HandleFunc("POST /v1/servers/{name}/drain", s.leaderWrites(s.registrationEndHandler(catalog.Drain)))
	mux.HandleFunc("POST /v1/renewals", s.leaderWritesAfter(s.observeRenewals, s.handleRenewals))
	mux.HandleFunc("POST /v1/guard/confirm", s.leaderWrites(s.handleConfirmRemovals))
	mux.HandleFunc("POST /v1/sweep", s.leaderWrites(s.handleSweep))
}

// addSessionRoutes adds the routes of the sessions of processes that can hold leased tasks.
func (s *Server) addSessionRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/sessions", s.leaderReads(s.handleSessions))
	mux.HandleFunc("PUT /v1/sessions/{process}", s.leaderWrites(s.handleOpenSession))
	mux.HandleFunc("DELETE /v1/sessions/{process}", s.leaderWrites(s.handleEndSession))
	mux.HandleFunc("POST /v1/sessions/{process}/renewal", s.leaderWrites(s.handleRenewSession))
	mux.HandleFunc("GET /v1/sessions/{process}/tasks", s.handleAssignments)
}

// addTaskRoutes adds the routes of leased tasks and their terms.
func (s *Server) addTaskRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/duties", s.leaderReads(s.handleTasks))
	mux.HandleFunc("GET /v1/duties/{name}", s.leaderReads(s.handleTask))
	mux.HandleFunc("PUT /v1/duties/{name}", s.leaderWrites(s.handleDefineTask))
	mux.HandleFunc("DELETE /v1/duties/{name}", s.leaderWrites(s.taskCommandHandler(catalog.DeleteTask)))
	mux.HandleFunc("POST /v1/duties/{name}/claim", s.leaderWrites(s.handleClaimTask))
	mux.HandleFunc("POST /v1/duties/{name}/move", s.leaderWrites(s.handleTransferTask))
	mux.HandleFunc("POST /v1/duties/{name}/revoke", s.leaderWrites(s.taskCommandHandler(catalog.RevokeTerm)))
	mux.HandleFunc("POST /v1/duties/{name}/park", s.leaderWrites(s.taskCommandHandler(catalog.Suspend)))
	mux.HandleFunc("POST /v1/duties/{name}/unpark", s.leaderWrites(s.taskCommandHandler(catalog.Resume)))
	mux.HandleFunc("POST /v1/terms", s.leaderWrites(s.handleTerms))
	mux.HandleFunc("POST /v1/voters", s.leaderWrites(s.handleReconfigureVoters))
}

// addMemberRoutes adds the routes of the membership view.
func (s *Server) addMemberRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+endpoints.MembersPath, s.handleMemberView)
	mux.HandleFunc("POST "+endpoints.MembersPath+"/{name}/arrival", s.leaderWrites(s.handleIncarnationRequest))
	mux.HandleFunc("DELETE "+endpoints.MembersPath+"/{name}", s.handleAgentLeave)
	mux.HandleFunc("POST /v1/evidence", s.handleEvidence)
}
