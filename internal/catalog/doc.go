// Package catalog is the replicated state machine of the control plane. It records which
// servers are registered and listed, and which process runs which leased task.
//
// # Replication
//
// A State changes only through Commands. The leader of the control plane proposes a command
// (package control), the raft log orders it, and every replica applies it with State.Apply.
// The package does no I/O, reads no clock and uses no random numbers, and Apply does not depend
// on the iteration order of maps. All replicas that have applied the same log therefore have the
// same state and have returned the same Results.
//
// # Time
//
// The state's only source of time is Command.At, which the leader sets when it proposes a
// command. State.Clock is the latest Command.At that was applied. It never goes back, even when
// the leader changes. All points in time in the state, such as Entry.DampedUntil, are readings of
// this clock.
//
// # Revisions
//
// State.Seq is the revision of the endpoint list: each change that is visible to readers of the
// list increments it, and Entry.Version is the revision of the entry's last change. Readers ask
// for the changes after the revision that they have. The history of changes is bounded; a reader
// whose revision is older gets the full list. Leased tasks do not use this revision: a term has a
// fencing token (Fence), and a session has its own revision.
//
// # Leader-only state
//
// Renewals are frequent, so they do not go through the log. RegistrationLeases and TaskLeases
// record them in the leader's memory and decide what the leader proposes: which registrations
// and terms expire, and which process is granted which task. They take the time as an argument
// and read no clock. A new leader does not know which renewals its predecessor confirmed, so it
// starts with leases that all last for their full TTL.
//
// # Compatibility
//
// Commands and snapshots are JSON on the replicas' disks, and replicas of two builds share a
// quorum during a rolling update. The keys, their order, and the values of Kind, Code and the
// reasons are therefore fixed, and so are the texts of results and errors, which clients show.
// Some are older than the terms that the code uses: a leased task is stored as "duty", a
// reference to a term as "tie", a draining session as "resting", a suspended task as "parked".
// Fields and kinds may be added. A replica whose build does not know the kind or FormatVersion of
// a command returns Unsupported, and package control then stops the replica, because other
// replicas may have applied the command.
//
// # Where to look
//
//   - command.go: the commands, the fields that each reads, and the result codes
//   - state.go: the State, and the dispatch of commands
//   - snapshot.go: encoding, decoding and validation of snapshots
//   - entry.go, registration.go, override.go, damping.go: servers and the commands on them
//   - list.go: the endpoint list and its history
//   - servicehistory.go, serviceindex.go, servicelist.go: the lists and histories of services
//   - registrationleases.go, massfailure.go: when registrations expire, and when they are
//     quarantined instead because too many would expire at once
//   - session.go, leasedtask.go, term.go: sessions of processes, leased tasks, and their terms
//   - taskleases.go, placement.go: when terms expire, and which process gets which task
//   - member.go: incarnations of processes
package catalog
