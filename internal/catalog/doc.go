// Package catalog is the replicated state machine of the control plane. It holds which
// servers are registered and listed, and which process runs which leased task.
//
// # Replication
//
// A State is changed by Commands only. The leader of the control plane proposes a command
// (package control), the raft log orders it, and every replica carries it out by State.Apply.
// The package does no I/O, reads no clock and draws no random numbers, and nothing that Apply
// does depends on the iteration order of a map, so every replica that has applied one log has
// one state and has returned the same Results.
//
// # Time
//
// The only time of the state is Command.At, the elapsed time that the leader stamps on a
// command when it proposes it. State.Clock is the latest such time and never goes back, whichever
// replica leads. All times in the state, such as Entry.DampedUntil, are readings of that clock.
//
// # Revisions
//
// State.Seq is the revision of the endpoint list: each change that readers of the list can see
// raises it by one, and Entry.Version is the revision of the entry's last change. Readers ask
// for the changes after the revision that they have. What is needed to answer them is bounded;
// a reader from before the retained changes is sent the full list. Leased tasks do not use
// this revision: a term has a fencing token (Fence), and a session has a revision of its own.
//
// # Leader-only state
//
// Renewals are frequent, so they do not go through the log. RegistrationLeases and TaskLeases
// record them in the leader's memory and tell the leader what to propose: which registrations
// and terms expire, and who is granted which task. They are as pure as the state and take the
// time as an argument. A new leader starts with empty ones, and gives every lease its full
// duration from then on, since it cannot know what its predecessor promised.
//
// # Compatibility
//
// Commands and snapshots are JSON on the replicas' disks, and replicas of two builds share a
// quorum during a rolling update. The keys, their order, and the values of Kind, Code and the
// reasons are therefore fixed, though some are older
// than the terms that the code uses: a leased task is stored as "duty", a term reference as
// "tie". Fields and kinds may be added. A replica that meets a kind or a FormatVersion that it does not know answers Unsupported, and package
// control then stops it, as the other replicas may have applied the command.
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
