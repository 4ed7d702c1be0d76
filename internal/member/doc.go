// Package member tracks which processes of the fleet are present, and makes the decisions
// that depend on it. All of it is pure: events and the time are arguments; views, reports and
// decisions are results. It starts no goroutine, reads no clock and does no I/O, and nothing
// in it is safe for concurrent use. Package gossip drives a Tracker with the events of the
// network; package control asks for the decisions.
//
// # Suspicion
//
// A Tracker holds, for each member, the state that this process observes itself:
//
//   - Servers of the control plane and workers gossip. Such a member is Failed once the
//     gossip library reports it dead, and Suspect while it does not answer this process's
//     own pings for Config.PeerTimeout. It is also Suspect, not Failed, if it answered a
//     ping just before the library reported it dead.
//   - Agents and servers hold a session at one server of the control plane at a time. When
//     the session ends, the member stays Present for Config.SessionGrace, as it may move to
//     another server, then is Suspect for Config.SuspicionTimeout, then Failed. If the member is
//     Present for another observer meanwhile, this process drops its own observation.
//
// Two guards keep a fault of this process from looking like a fault of the others. If more
// than Config.MassFailureShare of the gossiping members fail within
// Config.MassFailureWindow, their failures are Suspect until most observers that are left
// agree. And for Config.MassFailureDelay after a pause of this process, it suspects no member for
// unanswered pings.
//
// # Reports
//
// Observers, which are the servers of the control plane, send each other Reports: a full one
// now and then, and partial ones with what has changed. Partial reports are passed on and may
// arrive in any order. A report has the incarnation of its sender, the boot ID of the
// sender's process, and a sequence number; an older one changes nothing. A full report
// replaces all that the sender reported before. A report that is not renewed expires after
// Config.ReportRetention.
//
// # Views
//
// A View combines this process's own observations with the reports of the others, by a
// majority for members that gossip. It informs operators and decisions; which servers are
// registered is in the replicated catalog only.
//
// # Decisions
//
// DecideExpiry decides from the voters' evidence whether a server whose lease has expired is
// removed. NextReconfiguration proposes the next change of the control plane's voters.
package member
