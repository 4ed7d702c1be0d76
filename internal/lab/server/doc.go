// Package server emulates application servers. Each server listens on its own address and answers
// requests, probes and operations over HTTP by the agents' wire protocol. The work of a request is
// modelled as time in a queue and uses no CPU.
//
// # Model
//
// A Model simulates the queue of one server in virtual time. It computes when each job ends from the
// work that arrives, which is measured in milliseconds of a standard core. The jobs in the server's
// slots share its cores evenly; the others wait in a bounded queue. Several effects change the speed:
// the warm-up after a start (warmup.go), the slowdown of an overloaded server (overload.go), thrashing
// under many requests, pauses, recently used keys (affinity.go), another program on the machine, a slow
// version and a slowdown fault. A server that gets too much work during its warm-up crashes
// (WarmupCrash). A model has no clock, draws no random numbers and is not safe for concurrent use.
//
// # Server
//
// A Server drives a Model by the experiment's clock and serves HTTP. Its process can be started,
// drained and killed; each start is a new incarnation with a new model. Its machine can be isolated
// from the network while the process continues to run. Response faults and the noise of load reports
// and of work are drawn from the server's own random source.
//
// # Effects
//
// Effects is shared by all servers of a fleet. It remembers the idempotency keys of executed requests,
// and counts the repeats that it dropped and the effects that were duplicated.
//
// # Concurrency
//
// The methods of Server and Effects are safe for concurrent use. Server.mu guards the model, the
// state of the process and the random source; a timer advances the model to the end of the next
// job. Each request runs in a goroutine of net/http and waits for its job without holding the lock.
// The callbacks of Env are called without the lock, so they may call methods of the server.
package server
