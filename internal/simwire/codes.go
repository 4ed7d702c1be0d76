// Package simwire translates between the simulator's binary frames and the policy's events and actions.
// It decides nothing. The frames are described in WIRE-knotrouter.md; the names that the page gives to
// records stand beside their codes below, and in the texts of errors.
package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Sizes of the wire in bytes.
const (
	EventSize  = 48
	ActionSize = 24

	frameHeaderSize = 8 // number of records and length of the rest
	clockSize       = 8 // the first of a batch's rest
	listEntrySize   = 24
	maxFrameSize    = 1 << 30 // no legal batch comes near it
	maxReportValues = 4
	serverListCount = 16 // numbers of lists: 0 to 15
)

// Codes of event records.
const (
	codeClientCanceled  = 16 // dropped
	codeRequest         = 17 // ask
	codeOutcome         = 18 // verdict
	codeServerList      = 19 // pool
	codeResponseStarted = 20 // flowing
	codeKilled          = 21 // killed
	codeListUpdate      = 22 // targets
	codePeerMessage     = 23 // peer_data
	codeProbeResult     = 24 // health
	codeBoot            = 25 // boot
	codeTimerFired      = 26 // fired
)

// Codes of action records.
const (
	codeCloseIdle = 80 // hang_up
	codeReject    = 81 // not_now
	codeProbe     = 82 // touch
	codeWatchList = 83 // follow
	codeSend      = 84 // call_out
	codeFetchList = 85 // read_list
	codeCrash     = 87 // crash
	codeSetTimer  = 88 // notify_me
	codeCancel    = 89 // retract
	codeFail      = 90 // finish_error
	codeLog       = 91 // trace
)

// Bits of a request's flags.
const (
	flagHasHint = 1
	flagRetry   = 2
)

// A FormatError names the part of a frame that does not follow the wire's format.
type FormatError struct {
	Field  string // the record and the field, as the wire's page names them
	Reason string
}

// Error returns the field and the reason in one line.
func (e *FormatError) Error() string { return e.Field + ": " + e.Reason }

// formatError returns a *FormatError with a formatted reason.
func formatError(field, format string, args ...any) error {
	return &FormatError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func getF64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putF64(raw []byte, v float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(v)) }
