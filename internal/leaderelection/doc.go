// Package leaderelection is the client side of leader election for leased tasks: it runs the
// functions of the tasks whose lease this process holds, and ends each function before the
// control plane can grant the task to another process.
//
// # Leases and fencing
//
// A process opens a session at the control plane and renews it. The control plane assigns
// tasks to sessions. Each grant of a task is a term; it has a fencing token, which is
// greater than the token of every earlier term. One renewal of the session extends all of
// its terms.
//
// The holder counts a term from the moment at which it sent the last renewal that was
// answered, the control plane from the later moment at which that renewal arrived. The
// holder also stops SafetyMargin before the lease's duration is over. So the holder stops
// first, as long as neither clock is more than 5 % off. What a function has already sent when
// its term ends may still arrive later; the receiver rejects it by its fencing token.
//
// # Structure
//
// Participant makes all decisions. It is pure: the control plane's answers, the functions'
// results and the time are its arguments, and a list of Actions is its result. It starts no
// goroutine and reads no clock.
//
// Runner is the shell around a Participant. Its goroutines are:
//
//   - Run, the caller's: opens a session, renews it until it expires, and opens the next one;
//   - watchSession, one for each session: long-polls for changes of the assignments;
//   - enforceDeadlines: gives the Participant the time whenever the next term may end;
//   - sendReports: sends the control plane what was released and accepted;
//   - one for each term, which runs the task's function.
//
// Runner.mu guards the Participant, the session's identifier, the running terms and the
// pending reports. It is held while the Participant decides and while its Actions are
// performed, and is never held during a call to the control plane or to a function.
// runningTerm.validUntil is atomic, so that a function can check its term without the lock.
package leaderelection
