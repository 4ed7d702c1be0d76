package endpoints

import (
	"errors"
	"fmt"
	"time"
)

// Reasons for which a call to the list service ends. classifyOutcome says which of them the address
// is avoided for.
var (
	errSilenceTimeout = errors.New("silent for too long")
	errListTooLong    = fmt.Errorf("a list of over %d bytes", maxListBytes)
	errMalformedList  = errors.New("no list")
	errStaleList      = errors.New("older than the list at hand")
	errServerStale    = errors.New("behind, or without a list of now")
	errAddressRemoved = errors.New("no longer one of the addresses")
	errNoAddress      = errors.New("no address")
	errBusy           = errors.New("too many calls there")
	errWatchClosed    = errors.New("the watch was ended in order")
	// errFullListExpected means that a response began with changes, although the reader holds no
	// list that these changes could apply to.
	errFullListExpected = errors.New("changes in place of the whole list that was asked for")
	// errSubscriptionChanged ends a call that requested the services of an earlier subscription. It
	// is no fault of the address.
	errSubscriptionChanged = errors.New("the services subscribed to have changed")
	// errServerCaughtUp ends a watch that sent the reader's version and learned that the list
	// service has that version by now. It is no fault of the address: the next request there asks
	// for the full list.
	errServerCaughtUp = errors.New("the list service has the reader's version")
)

// busyError reports that a server rejected a call and named a time to wait.
type busyError struct{ retryAfter time.Duration }

// Error names the time to wait.
func (e *busyError) Error() string { return fmt.Sprintf("%v: come back in %v", errBusy, e.retryAfter) }

// IncompleteError reports that a response ended inside a list.
type IncompleteError struct {
	Pending int           // received bytes of the unfinished list
	Age     time.Duration // time since the first of these bytes
	Err     error         // why the response ended
}

// Error names the received bytes and the reason.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("%d bytes into a list: %v", e.Pending, e.Err)
}

// Unwrap returns the reason for which the response ended.
func (e *IncompleteError) Unwrap() error { return e.Err }

// classifyOutcome says what a failed call means for its address. The duration is the time to wait
// that a busy server named, and 0 for other outcomes.
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
