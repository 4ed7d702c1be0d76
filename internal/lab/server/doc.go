// Package server emulates application servers. Each server listens at an address of its own and
// answers requests, probes and operations over HTTP as the agents' wire protocol says; the work of
// a request is a span of time in a queue and uses no processor.
//
// # Model
//
// A Model is the queue of one server in virtual time: it computes from the work that arrives, in
// milliseconds of a standard core, when each job ends. The jobs in the server's slots share its
// cores evenly; the others wait in a bounded queue. Several effects change how fast the cores are:
// the warm-up after a start (warmup.go), the slowdown of an overloaded server (overload.go),
// thrashing under many requests, pauses, keys that were used recently (affinity.go), another
// program on the machine, and a slow version or a fault. A server that gets too much work while
// it warms up crashes (WarmupCrash). A model has no clock, draws no random numbers and is not safe
// for concurrent use.
//
// # Server
//
// A Server runs a Model against the experiment's clock behind an HTTP front. Its process can be
// started, drained and killed; each start is a new incarnation with a new model. Its machine can
// be isolated from the network while the process goes on. Faults of responses, load reports and
// the noise of the work are drawn from the server's own random source.
//
// # Effects
//
// Effects is shared by all servers of a fleet. It remembers the idempotency keys whose requests
// were carried out, and counts the repeats that it drops and the effects that were duplicated.
//
// # Concurrency
//
// The methods of Server and Effects are safe for concurrent use. Server.mu guards the model, the
// state of the process and the random source; a timer advances the model to the end of the next
// job. Each request runs in a goroutine of net/http and waits for its job without the lock. The
// callbacks of Env are called without the lock, so that they may call the server.
package server
