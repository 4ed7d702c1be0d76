package endpoints

import (
	"errors"
	"fmt"
	"time"
)

// Reasons why a call to the list service ends. classifyOutcome maps them to outcomes, which determine
// how long the address is avoided.
var (
	errSilenceTimeout = errors.New("no data received within the silence timeout")
	errListTooLong    = fmt.Errorf("list exceeds %d bytes", maxListBytes)
	errMalformedList  = errors.New("malformed list")
	errStaleList      = errors.New("list is older than the reader's version")
	errServerStale    = errors.New("server has no current list")
	errAddressRemoved = errors.New("address was removed")
	errNoAddress      = errors.New("no address to call")
	errBusy           = errors.New("server is busy")
	errWatchClosed    = errors.New("server closed the watch")
	// errFullListExpected means that a response began with changes although the reader holds no
	// full list to apply them to.
	errFullListExpected = errors.New("received changes instead of the requested full list")
	// errSubscriptionChanged ends a call that requested the services of an earlier subscription. It
	// does not count as a failure of the address.
	errSubscriptionChanged = errors.New("subscribed services have changed")
	// errServerCaughtUp ends a watch that sent the reader's version and learned that the list
	// service has reached that version. It does not count as a failure of the address: the next
	// request to it asks for the full list.
	errServerCaughtUp = errors.New("list service has reached the reader's version")
)

// busyError reports that a server rejected a call and told the client how long to
// wait.
type busyError struct{ retryAfter time.Duration }

// Error includes the time to wait.
func (e *busyError) Error() string { return fmt.Sprintf("%v: retry after %v", errBusy, e.retryAfter) }

// IncompleteError reports that a response ended inside a list.
type IncompleteError struct {
	Pending int           // number of received bytes of the unfinished list
	Age     time.Duration // time since the first of these bytes
	Err     error         // why the response ended
}

// Error includes the number of received bytes and the reason.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response ended after %d bytes of a list: %v", e.Pending, e.Err)
}

// Unwrap returns the reason why the response ended.
func (e *IncompleteError) Unwrap() error { return e.Err }

// classifyOutcome returns the outcome of a call that ended with err. The duration is the wait that a
// busy server asked for, and 0 for other outcomes.
func classifyOutcome(err error) (CallOutcome, time.Duration) {
	var busy *busyError
	switch {
	case errors.As(err, &busy):
		return OutcomeBusy, busy.retryAfter
	case errors.Is(err, errStaleList), errors.Is(err, errServerStale):
		return OutcomeStale, 0
	case errors.Is(err, errWatchClosed):
		return OutcomeRedirected, 0
	}
	return OutcomeFailed, 0
}

// isOutdated reports whether a call ended because the reader has to send a different request now.
func isOutdated(err error) bool {
	return errors.Is(err, errSubscriptionChanged) || errors.Is(err, errServerCaughtUp)
}
