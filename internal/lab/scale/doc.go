// Package scale runs scale experiments: it runs fleets of growing size on real control-plane servers
// and measures the resources that each role uses and how long changes and recoveries take.
//
// Run runs the sizes of the experiment file one after the other. For each size it starts, as separate processes,
// the control-plane servers, some real agents, one process of hollow servers and as many processes of
// hollow agents as the file's watches need (package hollow). It stops all of them before the next
// size. The phases of a size also run one after the other. Each is measured as the difference between
// two samples of all counters, one before and one after the phase.
//
// The goroutine that calls Run owns the results and the state of a size, with three exceptions. The
// memory guard of a size reads the memory use of its processes and may cancel the size. The goroutines
// of the load generator send requests to the real agents and update its figures under its lock. The
// goroutines of a forwarder copy bytes between real agents and one control-plane server and count them
// in atomic counters.
package scale
