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

// Effect tells whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	Idempotent    Effect = "free"        // safe to repeat
	Deduplicated  Effect = "guarded"     // repeats are dropped within a group of servers, for a time
	NonIdempotent Effect = "single_shot" // must never run twice
)

// Group tells which servers drop repeats of a guarded request.
type Group string

// The groups a guarded class may have.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone"
	GroupCell Group = "cell"
)

// Class is one class of requests.
type Class struct {
	Name          string  `json:"name"`
	TargetMs      float64 `json:"aimMs"`
	TargetStretch float64 `json:"aimStretch"`
	DeadlineMs    float64 `json:"giveUpMs"`
	Effect        Effect  `json:"effect"`
	Group         Group   `json:"group"`
	DedupWindowMs float64 `json:"keyTtlMs"`
	Credit        float64 `json:"credit"`
	LateShare     float64 `json:"lateShare"`
	Streamed      bool    `json:"streamed"`
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name          string  `json:"name"`
	QuotaPerS     float64 `json:"quotaPerS"`
	QuotaFraction float64 `json:"portion"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"`
	MaxAttempts      int     `json:"maxAttempts"`
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	ParallelAttempts bool    `json:"parallelTries"`
	Probing          bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"`
	OpenCap          int     `json:"openCap"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	AnswerSlackMs    float64 `json:"answerSlackMs"`
	ListPollWithinMs float64 `json:"askWithinMs"`
	SlowStartFrom    float64 `json:"coldFrom"`
	SlowStartMs      float64 `json:"coldMs"`
	DrainGraceMs     float64 `json:"drainGraceMs"`
	FallMultiple     float64 `json:"fallMultiple"`
	TipAfterMs       float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone  float64 `json:"crossZone"`
	Handshake  float64 `json:"handshake"`
	Connection float64 `json:"connection"`
	LateFail   float64 `json:"lateFail"`
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"`
	List       float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// Report names the values of the servers' load reports.
type Report struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

// Settings is what an agent is told at its start.
type Settings struct {
	Classes    []Class   `json:"classes"`
	Tenants    []Tenant  `json:"tenants"`
	Limits     Limits    `json:"limits"`
	Contract   Contract  `json:"contract"`
	Prices     Prices    `json:"prices"`
	Objective  Objective `json:"objectiveMix"`
	Report     Report    `json:"report"`
	Membership string    `json:"membershipMode"` // "pushed" or "on_request"
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	Index           int     `json:"index"`
	Replicas        int     `json:"replicasOfMe"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	RoundMs         float64 `json:"roundMs"`
	Weights         string  `json:"weights"` // "off", "nominal", "rough" or "live"
	WeightBy        string  `json:"worthBy"` // "request" or "work"
	Zone            int     `json:"zone"`
}

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
