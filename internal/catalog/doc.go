// Package catalog is the replicated state machine of the control plane. It holds which
// servers are registered and listed, and which process runs which leased task.
//
// # Replication
//
// A State is changed by Commands only. The leader of the control plane proposes a command
// (package control), the raft log orders it, and every replica carries it out by State.Apply.
// The package does no I/O, reads no clock and draws no random numbers, and nothing that Apply
// does depends on the iteration order of a map. So all replicas that have applied the same log
// have the same state and have returned the same Results.
//
// # Time
//
// The only time of the state is Command.At, the elapsed time that the leader stamps on a
// command when it proposes it. State.Clock is the latest such time and never goes back, whichever
// replica leads. All points in time of the state, such as Entry.DampedUntil, are on that clock.
//
// # Revisions
//
// State.Seq is the revision of the endpoint list: each change that readers of the list can see
// raises it by one, and Entry.Version is the revision of the entry's last change. Readers ask
// for the changes after the revision that they have. The history that answers them is bounded;
// a reader from before it is sent the full list. Leased tasks do not use this revision: a term
// has a fencing token (Fence), and a session has a revision of its own.
//
// # Leader-only state
//
// Renewals are frequent, so they do not go through the log. RegistrationLeases and TaskLeases
// record them in the leader's memory and tell the leader what to propose: which registrations
// and terms expire, and which process is granted which task. They have no clock either and take
// the time as an argument. A new leader makes new ones, and every lease lasts for its full TTL
// from then on, since the new leader does not know what its predecessor promised.
//
// # Compatibility
//
// Commands and snapshots are JSON on the replicas' disks, and replicas of two builds share a
// quorum during a rolling update. The keys, their order, and the values of Kind, Code and the
// reasons are therefore fixed, and so are the texts of results and errors, which clients show.
// Some are older than the terms that the code uses: a leased task is stored as "duty", a
// reference to a term as "tie", a draining session as "resting", a suspended task as "parked".
// Fields and kinds may be added. A replica that meets a kind or a FormatVersion that its build
// does not know answers Unsupported, and package control then stops it: the other replicas may
// have applied the command.
//
// # Where to look
//
//   - command.go: the commands, what each reads, and the result codes
//   - state.go: the State, and the dispatch of commands
//   - snapshot.go: encoding, decoding and validation of snapshots
//   - entry.go, registration.go, override.go, damping.go: servers and the commands on them
//   - list.go: the endpoint list and its history
//   - servicehistory.go, serviceindex.go, servicelist.go: the same by service
//   - registrationleases.go, massfailure.go: when registrations expire, and when they are
//     quarantined instead because too many would expire at once
//   - session.go, leasedtask.go, term.go: processes, the tasks that they run, and their terms
//   - taskleases.go, placement.go: when terms expire, and which process gets which task
//   - member.go: incarnations of processes
package catalog
