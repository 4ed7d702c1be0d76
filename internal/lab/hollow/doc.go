// Package hollow runs processes that load the control plane as a fleet does, with many simulated
// agents or servers in one process.
//
// A hollow agent reads the list with the real client (endpoints.Client), lets the real
// policy.Balancer decide when a watch begins again and keeps a real table of the list, but has no
// data path. A hollow server is an entry that the process registers, renews, changes, drains,
// removes and replaces; a few HTTP servers a zone may answer requests for all of them.
//
// Agents is one process of hollow agents. Run starts the agents and waits; a watch has a goroutine
// of its own, which reads lists and takes them into the agent's table, and the policy's timers run
// in the goroutines of time.AfterFunc. All of these hold the agent's lock while they use its
// balancer or its table. Counts of the process are atomic; the histogram of ages has a lock.
//
// Servers is one process of hollow servers. Run starts writerCount goroutines, each of which renews
// a fixed part of the servers through a client of its own, one goroutine that draws changes, with
// one more for each change under way, and the emulated HTTP servers. The lock of Servers guards
// what is known of each server and the rates of changes.
//
// Both offer their state as JSON and take commands on a loopback address (Serve, Call), by which
// the process of a scale run (package scale) reads and controls them.
package hollow
