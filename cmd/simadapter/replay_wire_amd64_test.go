package main

import (
	"bytes"
	"encoding/binary"
)

// This file holds the codes of the wire format and encodes events.

// The codes of the events that the simulator writes.
const (
	eventClientCanceled  = 16
	eventRequest         = 17
	eventOutcome         = 18
	eventServerList      = 19
	eventResponseStarted = 20
	eventKilled          = 21
	eventListUpdate      = 22
	eventProbeResult     = 24
	eventBoot            = 25
	eventTimerFired      = 26
)

// The codes of the actions that the adapter replies with.
const (
	actionCloseIdle = 80
	actionReject    = 81
	actionProbe     = 82
	actionWatchList = 83
	actionSend      = 84
	actionFetchList = 85
	actionSetTimer  = 88
	actionCancel    = 89
	actionFail      = 90
	actionLog       = 91
)

// The sizes of an event and of an action, in bytes.
const (
	eventSize  = 48
	actionSize = 24
)

// The kinds of list updates.
const (
	listChange = 0 // the servers that changed
	listFull   = 1 // all servers
	listCached = 2 // all servers as the agent last had them
	listFailed = 3 // a call failed or the subscription ended
)

// The health of a server in a list.
const (
	healthDraining = 0
	healthReady    = 1
	healthRemoved  = 2
)

// The status codes of attempts and probes.
const (
	outcomeOK            = 100
	outcomeError         = 301
	outcomeFull          = 302
	outcomeTimeout       = 303
	outcomeConnectFailed = 304
	outcomeReset         = 305
	outcomeCancelled     = 306
	outcomeWithdrawn     = 307
)

// record returns an event with this code and these fields, in big-endian order and without padding.
// It panics if a field has no fixed size.
func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, f := range fields {
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}
