// Package control implements the control-plane server. It replicates the list of registered
// servers to its peers with raft, serves the list to agents, expires the leases of servers that no
// longer renew, and grants leased tasks. The packages catalog, member and leaderelection, which do
// no I/O, make the decisions; this package carries them out and handles raft, disk, HTTP, watches,
// gossip, timers and metrics.
//
// A registered server, called just server in the catalog, is an entry of the list. A peer is
// another control-plane server. A process opens a session to hold leased tasks. The version of
// the list, called revision in the code, is the Seq of the replicated state. Texts that clients
// and operators see still use earlier terms: steward for control-plane server, duty for leased
// task, spare for non-voter, held for quarantined.
//
// # Lifecycle
//
// Start listens for HTTP, opens the data folder, joins gossip and starts raft. On an empty data
// folder it first asks the peers whether the cluster is new (see chooseStartMode). Reload replaces
// the peer table. Close releases the leased tasks, transfers leadership, migrates the watches,
// leaves gossip and stops. All exported methods are safe for concurrent use; Close may be called
// only once.
//
// # Goroutines
//
// Besides one goroutine per HTTP request and those of raft and gossip:
//
//   - leaderLoop follows elections and, on the leader, proposes decisions on sessions and tasks
//   - watchBroadcaster.run turns changes of the state into events for the watches
//   - watchLoop measures the replication lag and migrates watches to peers
//   - evidenceLoop, on the leader, asks the voters about servers whose leases are late or expired
//   - incarnationLoop, with gossip, obtains this process's incarnation number
//   - the task runner (package leaderelection) runs the control plane's own tasks that this
//     server holds: the sweep of leases, copies of the state, the audit, replacement of voters
//   - requestReadmission, after a start on an empty data folder, until this server is readmitted
//   - runSharedChecks, while requests wait for confirmation by a quorum
//
// All of them end soon after Server.ctx is canceled, and Close waits for them. The task runner has
// a context of its own, as Close stops it first.
//
// # Locks
//
// A goroutine that holds leaderMu may take fsm.mu or gossip's lock, and one that holds fsm.mu may
// take failureObservations.mu. One that holds serviceTopics.mu or serviceLists.mu may take fsm.mu.
// No other locks are nested. No lock is held while waiting for the network or the disk, except
// statusCache.mu, so that concurrent calls share the requests for statuses.
//
//   - fsm.mu guards the replicated state; only raft's goroutine changes it
//   - Server.leaderMu guards the state that only a leader has: the leases and the clock
//   - watchBroadcaster.mu guards the events of the full list and the open watches
//   - serviceTopics.mu guards events and subscriptions of services, serviceLists.mu their cache
//   - failureObservations.mu, memberFailures.mu, statusCache.mu, sharedChecks.mu and admission.mu
//     guard the fields of their structs
//
// The fields of Server outside the group of leaderMu are atomic, or are set before the goroutines
// that read them start. HTTP requests are served before gossipNode and taskRunner are set, and find
// them nil until then.
//
// # Disk
//
// The data folder contains raft.db (the log, each entry with a checksum, and raft's term and vote),
// snapshots/ (raft's), identity (a random identifier that distinguishes a restart from another
// process of the same name) and saved/ (copies of the state by the state-copy task). Leases are not
// stored on disk: a new leader extends all of them to their full duration.
//
// # Files
//
//	server.go              Server, Start, Close
//	join.go, store.go      start of raft, the data folder; raftstream.go, raftlogger.go
//	leadership.go          elections, the leader's clock
//	propose.go, barrier.go writes and linearizable reads with raft
//	fsm.go                 the replicated state
//	routes.go              all HTTP routes and their handlers
//	forwarding.go          which requests the leader serves, and how they are forwarded to it
//	errors.go              errors and their HTTP statuses
//	listhandler.go         the list: watchbroadcaster.go and servicetopics.go send its changes
//	listrevision.go        why versions never decrease
//	admission.go           load shedding
//	rebalance.go           migration of watches to peers; staleness.go, watchload.go
//	registrations.go       registered servers; leases.go, evidence.go, failureobservations.go
//	sessions.go, tasks.go  leased tasks; controltasks.go, audit.go, statecopies.go
//	replicas.go, voters.go the raft configuration
//	gossip.go, members.go  membership; incarnation.go, renewals.go
//	status.go, metrics.go  status and metrics for operators
//	client.go, call.go     the client of the HTTP API
package control
