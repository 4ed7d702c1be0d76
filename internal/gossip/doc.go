// Package gossip connects a member.Tracker to the network, for the processes that gossip:
// control-plane servers and workers. It owns the gossip library (hashicorp/memberlist), its
// sockets and its timers, and makes no decisions: package member decides how an event changes
// a member's state.
//
// # Evidence
//
// The library's probes detect which members are alive or dead. The control-plane servers are
// also observers: each pings the others itself, broadcasts changes to its observations, and
// sends each of the others a full report every fullReportInterval. A receiver broadcasts a
// partial report again if the report was new to it. The report therefore reaches every member
// even if some links are down, and is no longer sent once all members have it.
//
// # Goroutines
//
// A Node starts these goroutines and waits for them in Close:
//
//   - runTracker: ticks the Tracker, broadcasts changed observations, and detects pauses of
//     this process by late ticks;
//   - joinMissing: joins configured peers that the library does not report as alive;
//   - pingServers and sendFullReports, on control-plane servers only, each with one goroutine
//     for each call in progress;
//   - two in the transport, which receive datagrams and accept streams.
//
// The library has its own goroutines, which call the delegate's methods.
//
// # Locks
//
// Node.mu guards the Tracker and the Node's own Info. It is never held during a call to the
// library: the library calls the delegate with its own lock held, and the delegate takes
// Node.mu. For the same reason the delegate does not call the library's member list.
//
// # Addresses
//
// The transport dials members by name, through this process's own table of peers. It never
// dials an address that another process announced.
package gossip
