// Package simwire decodes the simulator's binary frames into the policy's events and encodes the policy's
// actions as reply frames. It makes no decisions. WIRE-knotrouter.md specifies the frames; its names of
// records are given next to their codes below and used in error messages.
package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Sizes, in bytes, and limits of the wire format.
const (
	EventSize  = 48
	ActionSize = 24

	frameHeaderSize = 8 // number of records and length of the body
	clockSize       = 8 // at the start of a batch's body
	listEntrySize   = 24
	maxFrameSize    = 1 << 30 // far above the size of any valid batch
	maxReportValues = 4
	serverListCount = 16 // lists are numbered 0 to 15
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

// A FormatError reports a part of a frame that violates the wire format.
type FormatError struct {
	Field  string // the record and the field, as the specification names them
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
