// Package hollow runs processes that put the load of a fleet on the control plane, with many simulated
// agents or servers in one process.
//
// A hollow agent reads the list with the real client (endpoints.Client), uses the real policy.Balancer to
// decide when to start a watch again and keeps a real table of the list, but has no data path. A hollow
// server is an entry that the process registers, renews, changes, drains, removes and replaces. A few HTTP
// servers per zone can answer requests for all hollow servers of the zone.
//
// Agents runs the hollow agents of one process. Run starts the agents and waits for the end. Each watch
// has its own goroutine, which reads lists and merges them into the agent's table, and the balancer's
// timers run in the goroutines of time.AfterFunc. All of these hold the agent's lock while they use its
// balancer or its table. The counters of the process are atomic; the histogram of ages has its own lock.
//
// Servers runs the hollow servers of one process. Run starts writerCount goroutines, each of which renews a
// fixed partition of the servers through its own client, one goroutine that draws changes, with another one
// for each change in progress, and the emulated HTTP servers. The lock of Servers guards the state of each
// server and the rates of changes.
//
// Both serve their state as JSON and accept commands on a loopback address (Serve, Call). The process of a
// scale run (package scale) uses these to monitor and control them.
package hollow
