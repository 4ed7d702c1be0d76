// Package policy decides, for one agent (a sidecar balancer), where each
// request of its client goes: which server, when, for how long, whether again,
// and when to give up. It is a state machine without I/O: the caller hands in
// events with a clock and carries out the actions that come back, in order.
//
// The decisions are in policy.go, pick.go, health.go, list.go, unconfirmed.go and crowd.go; this file holds the interface only.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is what an agent holds a listed server to be.
type State uint8

// The four states, best first.
const (
	Connected State = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// Health is what the list says of a server.
type Health uint8

// The list's words.
const (
	Draining Health = iota
	Ready
	Gone
)

// Entry is one line of the list of servers.
type Entry struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int
	StartedMs float64 // clock time of the latest start; 0: long past
	Health    Health
	Weight    float64
}

// ListKind tells how a list event changes the list at hand.
type ListKind uint8

// The kinds of list events.
const (
	ListChange ListKind = iota
	ListFull
	ListCached
	ListFailed
	ListPartial       // what arrived of an answer whose rest didn't, or not yet; AgeMs since its begin
	ListSourceChanged // discovery is elsewhere: what failed before doesn't count
)

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	OK            Status = 100
	Error         Status = 301
	Full          Status = 302
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	Withdrawn     Status = 307
)

// NotExecuted tells whether the ending proves that the attempt did not run.
func (s Status) NotExecuted() bool { return s == Full || s == ConnectFailed || s == Withdrawn }

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EvRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, RemainingMs, HintMs, HasHint, Retry
	EvOutcome                              // Request, Attempt, Server, Status, LatencyMs, Final, Report
	EvResponseStarted                      // Request, Attempt, Server, LatencyMs: a streamed answer began
	EvClientCanceled                       // Request: the client left
	EvList                                 // List, Entries, AgeMs
	EvProbeResult                          // Server, Status, LatencyMs, Report
	EvTimer                                // Token
	EvPeer                                 // a message of another agent; carries nothing that is used
)

// Event is something that happened to one agent.
type Event struct {
	Kind        EventKind
	Request     RequestID
	Class       int
	Tenant      int
	Key         uint64 // 0: none
	RemainingMs float64
	HintMs      float64
	HasHint     bool
	Retry       bool
	Attempt     int
	Server      Addr
	Status      Status
	LatencyMs   float64
	Final       bool // the request is finished
	Report      []float32
	List        ListKind
	AgeMs       float64
	Entries     []Entry // not changed and not kept by the Balancer
	Token       uint32
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Ms: time-out, SendByMs
	ActCancel                          // Request, Attempt
	ActReject                          // Request, Ms: advice
	ActFail                            // Request
	ActProbe                           // Server
	ActTimer                           // Ms, Token
	ActWatchList                       // subscribe to the list
	ActFetchList                       // ask for the whole list once
	ActLog                             // Text
	ActClose                           // Server: close idle connections to it
	ActWithdraw                        // Server: end its attempts of which no byte has gone out, as those of a server that drains
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind     ActionKind
	Request  RequestID
	Server   Addr
	Attempt  int
	Ms       float64
	SendByMs float64 // until its last byte must be out, else it must not go; 0: whenever
	Token    uint32
	Text     string
}
