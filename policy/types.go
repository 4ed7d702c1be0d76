// Package policy decides, for one agent (a sidecar load balancer), where each request of its client is
// sent: to which server, when, until when, whether it is retried, and when it is rejected. It is a state
// machine without I/O: the caller hands in events with a clock and carries out the actions that are
// returned, in order.
//
// This file holds the interface: events and actions. The settings are in settings.go, the decisions in
// the files that policy.go lists, and the state that they keep in state.go.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; no ID is used twice.
type RequestID uint32

// State is the health of a listed server as one agent sees it.
type State uint8

// The four states, best first.
const (
	Connected        State = iota // it answers
	Unknown                       // nothing is known of it yet
	UnhealthyPending              // to be validated by a probe or a request
	Unhealthy                     // ejected
)

// Health is the lifecycle state of a server by the list. Its values are those of the simulator's wire.
type Health uint8

// The values of Health. On the wire they are 0, 1 and 2; discovery's texts write the last one "gone".
const (
	Draining Health = iota // it finishes what it has, and must not be sent anything new
	Ready
	Gone // it is removed
)

// Entry is one server's entry in the list.
type Entry struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int     // of machine
	StartedMs float64 // clock time of the latest start; 0: long past
	Health    Health
	Weight    float64
}

// ListKind is how a list event changes the list that the agent holds.
type ListKind uint8

// The kinds of list events.
const (
	ListChange        ListKind = iota // the entries that changed
	ListFull                          // all entries; a server without one is removed
	ListCached                        // all entries as the agent last held them, perhaps stale
	ListFailed                        // a call failed or the subscription ended; no entries
	ListPartial                       // the part that arrived of an answer that began AgeMs ago
	ListSourceChanged                 // discovery moved: earlier failures don't count any more
)

// Status is how an attempt or a probe ended.
type Status uint16

// The values of Status are those of the simulator's wire, where it is called ending.
const (
	OK            Status = 100
	Error         Status = 301 // the server answered with an error
	Full          Status = 302 // the server rejected the attempt for want of capacity
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305 // the connection was closed before the response
	Cancelled     Status = 306 // by the agent or the client
	Withdrawn     Status = 307 // before a byte of it was written
)

// NotExecuted reports whether the status proves that the attempt was not executed.
func (s Status) NotExecuted() bool { return s == Full || s == ConnectFailed || s == Withdrawn }

// EventKind is what an Event reports, and so which of its fields are set.
type EventKind uint8

// The kinds of events, with the fields that are set.
const (
	EvRequest         EventKind = iota + 1 // Request, Class, Tenant, Key, RemainingMs, HintMs, HasHint, Retry
	EvOutcome                              // Request, Attempt, Server, Status, LatencyMs, Final, Local, Report
	EvResponseStarted                      // Request, Attempt, Server, LatencyMs: a streamed response began
	EvClientCanceled                       // Request: its client gave up
	EvList                                 // List, Entries, AgeMs
	EvProbeResult                          // Server, Status, LatencyMs, Report
	EvTimer                                // Token
	EvPeer                                 // a message of another agent; ignored
	EvUnsolicited                          // Server: it sent bytes that no request had asked for
)

// Event is something that happened to one agent.
type Event struct {
	Kind        EventKind
	Request     RequestID
	Class       int
	Tenant      int
	Key         uint64 // 0: none
	RemainingMs float64
	HintMs      float64 // expected work, valid if HasHint
	HasHint     bool
	Retry       bool // the client says that it is a retry
	Attempt     int  // index among the request's attempts, in the order of sends
	Server      Addr
	Status      Status
	LatencyMs   float64
	Final       bool      // the request is finished
	Local       bool      // the attempt failed for lack of a resource of the agent's own machine
	Report      []float32 // load report; its values are named by Settings.Report
	List        ListKind
	AgeMs       float64 // of a partial list: time since the answer began
	Entries     []Entry // not changed and not kept by the Balancer
	Token       uint32
}

// ActionKind is what an Action asks for, and so which of its fields are set.
type ActionKind uint8

// The kinds of actions, with the fields that are set.
const (
	ActSend      ActionKind = iota + 1 // Request, Server, Ms: timeout, SendByMs, ReuseDelayMs, SingleUse
	ActCancel                          // Request, Attempt
	ActReject                          // Request, Ms: Retry-After
	ActFail                            // Request: answer that it failed
	ActProbe                           // Server, ReuseDelayMs, SingleUse
	ActTimer                           // Ms, Token
	ActWatchList                       // subscribe to the list
	ActFetchList                       // fetch the full list once
	ActLog                             // Text
	ActClose                           // Server: close idle connections to it
	ActWithdraw                        // Server: end its attempts of which no byte has been written
)

// Action is something that the agent must do, in the order of the actions.
type Action struct {
	Kind         ActionKind
	Request      RequestID
	Server       Addr
	Attempt      int
	Ms           float64
	SendByMs     float64 // the last byte must be written in this time, or the attempt dropped; 0: no limit
	ReuseDelayMs float64 // from the last response on its connection until it may use that
	SingleUse    bool    // on a new connection that is closed after it
	Token        uint32
	Text         string
}
