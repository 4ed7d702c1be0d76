// Package policy makes the routing decisions of one agent (a sidecar load balancer): which server gets each
// request of its client, when, with which timeout, whether the request is retried, and when it is rejected.
// It is a state machine without I/O: the caller passes in events with a clock reading and carries out the
// returned actions in order.
//
// This file holds the interface: events and actions. The settings are in settings.go, the decisions in the
// files that policy.go lists, and the state that they share in state.go.
//
// An identifier such as i5d0607 or case5409 in a comment names a recorded case in which the described
// failure was seen.
package policy

// Addr identifies a server: four address bytes and a port. The Balancer only compares and hashes it, and
// returns it unchanged.
type Addr [6]byte

// RequestID identifies one try of a client; IDs are never reused.
type RequestID uint32

// State is the health of a listed server as one agent sees it.
type State uint8

// The states, best first.
const (
	Connected        State = iota // responds to attempts or probes
	Unknown                       // no evidence of health or failure yet
	UnhealthyPending              // awaits validation by a probe or a request
	Unhealthy                     // ejected
)

// Health is a server's lifecycle state as discovery lists it.
type Health uint8

// The values of Health. Their numbers 0, 1 and 2 are fixed by the simulator's wire protocol. In discovery's
// texts, Gone is "gone".
const (
	Draining Health = iota // the server finishes its requests and must not get new ones
	Ready
	Gone // the server was removed
)

// Entry is one server in the list.
type Entry struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int     // machine type
	StartedMs float64 // clock time of the last start; 0: long ago
	Health    Health
	Weight    float64
}

// ListKind is the kind of a list event: how it changes the list that the agent holds.
type ListKind uint8

// The kinds of list events, with the entries that the event carries.
const (
	ListChange        ListKind = iota // the entries that changed
	ListFull                          // all entries; a server without an entry is removed
	ListCached                        // all entries as the agent last stored them, possibly stale
	ListFailed                        // no entries: a call failed or the subscription ended
	ListPartial                       // the part received so far of a response that began AgeMs ago
	ListSourceChanged                 // no entries: the agent uses another discovery now, so earlier failures don't count
)

// Status is how an attempt or a probe ended.
type Status uint16

// The values of Status. The numbers are fixed by the simulator's wire protocol, which calls a status an ending.
const (
	OK            Status = 100
	Error         Status = 301 // the server answered with an error
	Full          Status = 302 // the server rejected the attempt: no capacity
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305 // the connection was closed before the response
	Cancelled     Status = 306 // cancelled by the agent or the client
	Withdrawn     Status = 307 // withdrawn by the agent before any byte was written
)

// NotExecuted reports whether the status proves that the server did not execute the attempt.
func (s Status) NotExecuted() bool { return s == Full || s == ConnectFailed || s == Withdrawn }

// EventKind is the kind of an Event. It determines which fields are set.
type EventKind uint8

// The kinds of events, with the fields that are set.
const (
	EvRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, RemainingMs, HintMs, HasHint, Retry
	EvOutcome                              // Request, Attempt, Server, Status, LatencyMs, Final, Local, Report
	EvResponseStarted                      // Request, Attempt, Server, LatencyMs: a streamed response began
	EvClientCanceled                       // Request: cancelled by its client
	EvList                                 // List, Entries, AgeMs
	EvProbeResult                          // Server, Status, LatencyMs, Report
	EvTimer                                // Token
	EvPeer                                 // a message of another agent; ignored
	EvUnsolicited                          // Server: sent bytes that belong to no request
)

// Event is an input to the Balancer.
type Event struct {
	Kind        EventKind
	Request     RequestID
	Class       int
	Tenant      int
	Key         uint64  // affinity key; 0: no key
	RemainingMs float64 // time until the client's deadline
	HintMs      float64 // expected work, valid if HasHint
	HasHint     bool
	Retry       bool // marked as a retry by the client
	Attempt     int  // index among the request's attempts, in send order
	Server      Addr
	Status      Status
	LatencyMs   float64
	Final       bool      // the request is finished
	Local       bool      // the attempt failed because the agent's own machine lacked a resource
	Report      []float32 // load report; Settings.Report names its values
	List        ListKind
	AgeMs       float64 // ListPartial only: time since the response began
	Entries     []Entry // neither modified nor retained by the Balancer
	Token       uint32
}

// ActionKind is the kind of an Action. It determines which fields are set.
type ActionKind uint8

// The kinds of actions, with the fields that are set.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Ms: timeout, SendByMs, ReuseDelayMs, SingleUse
	ActCancel                          // Request, Attempt
	ActReject                          // Request, Ms: Retry-After
	ActFail                            // Request: respond with a failure
	ActProbe                           // Server, ReuseDelayMs, SingleUse
	ActTimer                           // Ms, Token
	ActWatchList                       // subscribe to the list
	ActFetchList                       // fetch the full list once
	ActLog                             // Text
	ActClose                           // Server: close idle connections to it
	ActWithdraw                        // Server: end attempts to it of which no byte was written
)

// Action is an instruction to the agent. Actions are carried out in order.
type Action struct {
	Kind         ActionKind
	Request      RequestID
	Server       Addr
	Attempt      int
	Ms           float64
	SendByMs     float64 // time until the last byte must be written, or the attempt is dropped; 0: no limit
	ReuseDelayMs float64 // minimum time between the last response on a connection and its reuse
	SingleUse    bool    // use a new connection and close it afterwards
	Token        uint32
	Text         string
}
