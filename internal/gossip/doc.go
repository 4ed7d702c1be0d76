// Package gossip connects a member.Tracker to the network for processes that gossip, which
// are the servers of the control plane and workers. It holds the gossip library
// (hashicorp/memberlist), its sockets and its timers, and makes no decisions: what an event
// means for a member's state is decided by package member.
//
// # Evidence
//
// The library's probes tell which members are alive or dead. The servers of the control
// plane are also observers: each pings the others itself, broadcasts the changes of its
// observations, and sends each of the others a full report every fullReportInterval. A
// partial report that was new to a receiver is broadcast again, so it reaches every member
// even if some links are down, and dies out once all have it.
//
// # Goroutines
//
// A Node starts these and waits for them in Close:
//
//   - runTracker: ticks the Tracker, broadcasts changed observations, and notices by late
//     ticks that this process was paused;
//   - joinMissing: connects to configured peers that the library does not know as alive;
//   - pingServers and sendFullReports, on servers of the control plane only, each with one
//     goroutine for each call in progress;
//   - two of the transport, which receive datagrams and accept streams.
//
// The library has goroutines of its own. They call the delegate's methods.
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
