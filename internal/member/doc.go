// Package member tracks which processes of the fleet are present, and makes the decisions
// that depend on it. The package is pure: events and the time are arguments; views, reports and
// decisions are results. It starts no goroutine, reads no clock and does no I/O, and nothing
// in it is safe for concurrent use. Package gossip feeds network events to a Tracker;
// package control requests the decisions.
//
// # Suspicion
//
// A Tracker holds, for each member, the state that this process observes itself:
//
//   - Servers of the control plane and workers gossip. Such a member is Failed once the
//     gossip library reports it dead, and Suspect while it has not answered this process's
//     own pings for Config.PeerTimeout. It is also Suspect, not Failed, if it answered a
//     ping just before the library reported it dead.
//   - Agents and servers hold a session at one server of the control plane at a time. When
//     the session ends, the member stays Present for Config.SessionGrace, as it may move to
//     another server, then is Suspect for Config.SuspicionTimeout, then Failed. If the member is
//     Present for another observer meanwhile, this process drops its own observation.
//
// Two guards keep a fault of this process from being mistaken for a fault of other members. If
// more than Config.MassFailureShare of the gossiping members fail within
// Config.MassFailureWindow, these members are Suspect until most of the remaining observers
// agree that they failed. And for Config.MassFailureDelay after a pause of this process, it
// suspects no member for unanswered pings.
//
// # Reports
//
// Observers, which are the servers of the control plane, send each other Reports: periodic full
// reports, and partial reports of changed observations. Partial reports are forwarded and may
// arrive in any order. A report has the incarnation of its sender, the boot ID of the
// sender's process, and a sequence number; an outdated report is ignored. A full report
// replaces all earlier reports of its sender. A report that is not renewed expires after
// Config.ReportRetention.
//
// # Views
//
// A View combines this process's own observations with the reports of the other observers, by
// majority for members that gossip. Views serve operators and decisions; the registered servers
// are recorded in the replicated catalog only.
//
// # Decisions
//
// DecideExpiry decides from the voters' evidence whether a server that has not renewed its lease
// is removed. NextReconfiguration proposes the next change of the control plane's voters.
package member
