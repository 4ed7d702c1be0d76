// Package leaderelection is the client side of leader election for leased tasks: it runs the
// functions of the tasks whose leases this process holds, and cancels each function before
// the control plane can grant its task to another process.
//
// # Leases and fencing
//
// A process opens a session with the control plane and renews it. The control plane assigns
// tasks to sessions. Each grant of a task is a term; it has a fencing token, which is
// greater than the token of every earlier term. One renewal of the session extends all of
// its terms.
//
// The holder measures a lease from the time at which it sent its last answered renewal; the
// control plane measures it from the later time at which that renewal arrived. The holder
// also stops SafetyMargin before the end of the lease. It therefore stops before the control
// plane's lease ends, as long as neither clock runs more than 5 % fast or slow. A write that a
// function sent before its term ended may still arrive later; the receiver rejects it by its
// fencing token.
//
// # Structure
//
// Participant makes all decisions. It has no side effects: it takes the control plane's
// answers, the functions' results and the time as arguments, and returns a list of Actions.
// It starts no goroutines and reads no clock.
//
// Runner does the I/O for a Participant. Its goroutines are:
//
//   - Run, the caller's: opens a session, renews it until it expires, and opens the next one;
//   - watchSession, one for each session: long-polls for changes to the assignments;
//   - enforceDeadlines: calls Participant.Tick when the next term may end;
//   - sendReports: reports released terms and accepted transfers to the control plane;
//   - one goroutine for each term, which runs the task's function.
//
// Runner.mu guards the Participant, the session's identifier, the running terms and the
// pending reports. It is held while the Participant decides and while its Actions are
// performed, and is never held during a call to the control plane or to a function.
// runningTerm.validUntil is atomic, so that a function can check its term without the lock.
package leaderelection
