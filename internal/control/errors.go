package control

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

var (
	// errNoLeader means that a command was certainly not applied and is safe to retry.
	errNoLeader = errors.New("there is no leader at the moment")
	// errUnknownOutcome means that the outcome of a command is ambiguous: it may have been
	// applied, or may still be applied later.
	errUnknownOutcome = errors.New("the leader changed: whether it was carried out is unknown")
	// errNotInPeerTable means that a control-plane server can't be reached, as this server's
	// configuration has no address for its name.
	errNotInPeerTable = errors.New("not in the table of peers")
)

// retryAfterNoLeader is the Retry-After value, in seconds, of the answer to a request that this
// server could not serve. It is about the duration of an election.
const retryAfterNoLeader = "0.2"

// notAppliedHeader marks an answer to a request that certainly had no effect.
const notAppliedHeader = "Not-Applied"

// badRequestError reports an invalid request, which is rejected whatever the state of the catalog.
type badRequestError struct{ text string }

// Error returns the text of the answer.
func (e *badRequestError) Error() string { return e.text }

// newBadRequest returns a badRequestError with a formatted text.
func newBadRequest(format string, args ...any) error {
	return &badRequestError{fmt.Sprintf(format, args...)}
}

// rejectedError reports a command that the catalog rejected in its current state.
type rejectedError struct{ catalog.Result }

// Error returns the text of the answer: the code of the result and its text.
func (e *rejectedError) Error() string { return string(e.Code) + ": " + e.Text }

// statusByCode maps the codes with which the catalog rejects commands to HTTP statuses.
var statusByCode = map[catalog.Code]int{
	catalog.Superseded:  http.StatusConflict,
	catalog.Unknown:     http.StatusNotFound,
	catalog.Conflict:    http.StatusPreconditionFailed,
	catalog.Invalid:     http.StatusBadRequest,
	catalog.Fenced:      http.StatusPreconditionFailed,
	catalog.Taken:       http.StatusConflict,
	catalog.TooMany:     http.StatusInsufficientStorage,
	catalog.Unsupported: http.StatusNotImplemented,
}

// writeError answers with an error as one line of text. If the request certainly had no effect,
// because there is no leader, the answer has the header Not-Applied.
func writeError(w http.ResponseWriter, err error) {
	var badRequest *badRequestError
	var rejected *rejectedError
	switch {
	case errors.As(err, &rejected):
		http.Error(w, err.Error(), statusByCode[rejected.Code])
	case errors.As(err, &badRequest):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, errNoLeader):
		w.Header().Set(notAppliedHeader, "1")
		writeUnavailable(w, err.Error())
	default:
		writeUnavailable(w, err.Error())
	}
}

// writeUnavailable answers with status 503 and asks the client to retry soon.
func writeUnavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryAfterNoLeader)
	http.Error(w, text, http.StatusServiceUnavailable)
}

// raftConfigurationError translates an error of a change of the raft configuration: it returns
// errNoLeader if the change was certainly not made, and an error that wraps errUnknownOutcome
// otherwise.
func raftConfigurationError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return errNoLeader
	}
	return fmt.Errorf("%w: %v", errUnknownOutcome, err)
}
