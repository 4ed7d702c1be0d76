// Package control is the control plane's server. It keeps the list of registered servers in
// agreement with its peers by raft, serves the list to agents, expires the leases of servers that
// no longer renew, and grants leased tasks. The decisions are made by the packages catalog,
// member and leaderelection, which do no I/O; this package carries them out: raft, disk, HTTP,
// watches, gossip, timers and metrics.
//
// A registered server, or server in the terms of the catalog, is an entry of the list. A peer is
// another control-plane server. A process opens a session to hold leased tasks. The version of
// the list, in code its revision, is the Seq of the replicated state. Texts that clients and
// operators see still use earlier words: steward for control-plane server, duty for leased task,
// spare for non-voter, held for quarantined.
//
// # Life of a server
//
// Start listens for HTTP, opens the data folder, joins gossip and starts raft. On an empty data
// folder it first asks the peers what that means (see chooseStartMode). Reload replaces the
// peer table. Close releases the leased tasks, transfers leadership, migrates the watches,
// leaves gossip and stops. All exported methods may be called from any goroutine; Close once.
//
// # Goroutines
//
// Besides one per HTTP request, raft's own and gossip's own:
//
//   - leaderLoop follows elections and, on the leader, proposes what sessions and tasks call for
//   - watchBroadcaster.run turns changes of the state into events for the watches
//   - watchLoop measures the replication lag and migrates watches to peers
//   - evidenceLoop, on the leader, has the voters observe servers with suspected leases
//   - incarnationLoop, with gossip, obtains this process's incarnation number
//   - the task runner (package leaderelection) runs the control plane's own tasks that this
//     server holds: the sweep of leases, copies of the state, the audit, the replacement of voters
//   - requestReadmission, after a start on an empty folder, until this server is readmitted
//   - runSharedChecks, while a request waits for a confirmation by a quorum
//
// All of them end soon after Server.ctx does, and Close waits for them. The task runner has a
// context of its own, as Close ends it first.
//
// # Locks
//
// A goroutine that holds leaderMu may take fsm.mu or gossip's lock, and one that holds fsm.mu that
// of failureObservations. One that holds the lock of serviceTopics, or that of serviceLists, may
// take fsm.mu. No other locks are nested, and none is held over a wait for the network or the
// disk, but statusCache.mu, so that concurrent calls share the requests for statuses.
//
//   - fsm.mu guards the replicated state; only raft's goroutine changes it
//   - Server.leaderMu guards what only a leader has: the leases and the clock
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
// The data folder has raft.db (the log, each entry with a checksum, and raft's term and vote),
// snapshots/ (raft's), identity (drawn at random, distinguishes a restart from another process
// of the same name) and saved/ (copies of the state by the state-copy task). Leases aren't on disk: a
// new leader gives all of them their full time.
//
// # Where to look
//
//	server.go              Server, Start, Close
//	join.go, store.go      start of raft, the data folder; raftstream.go, raftlogger.go
//	leadership.go          elections, the leader's clock
//	propose.go, barrier.go writes and linearizable reads by raft
//	fsm.go                 the replicated state
//	routes.go              all HTTP routes, and with them the handlers
//	forwarding.go          which requests the leader serves, and how they get there
//	errors.go              errors and their HTTP statuses
//	listhandler.go         the list: watchbroadcaster.go and servicetopics.go send its changes
//	listrevision.go        why versions never decrease
//	admission.go           load shedding
//	rebalance.go           watches that migrate to peers; staleness.go, watchload.go
//	registrations.go       registered servers; leases.go, evidence.go, failureobservations.go
//	sessions.go, tasks.go  leased tasks; controltasks.go, audit.go, statecopies.go
//	replicas.go, voters.go the raft configuration
//	gossip.go, members.go  membership; incarnation.go, renewals.go
//	status.go, metrics.go  what operators see
//	client.go, call.go     the client of the HTTP API
package control
