package catalog

import (
	"time"

	"knotrouter/internal/endpoints"
)

// FormatVersion is the version of commands and snapshots that this build writes and reads.
const FormatVersion = 1

// Kind is the type of a command. Its values are stored in logs and must not change.
type Kind string

// Commands on registered servers. Commands that read Refs skip instances that have since been
// replaced or removed.
const (
	// RaiseRevision raises the revision of the endpoint list and the last fencing token, session
	// revision and incarnation, each to at least Seq.
	RaiseRevision Kind = "floor"
	// Register adds the server Endpoint, or replaces an older instance of the same name.
	Register Kind = "register"
	// Drain marks the instances Refs as draining: they only complete the requests in flight.
	Drain Kind = "drain"
	// Deregister removes the instances Refs, which are shutting down in an orderly way.
	Deregister Kind = "leave"
	// ExpireRegistration removes the instances Refs, which have failed: their leases have expired or
	// are late. If the leader collects FailureEvidence, the voters have confirmed the failure.
	ExpireRegistration Kind = "lapse"
	// Quarantine keeps the instances Refs listed although their leases have expired, because too many
	// would expire at once. If Reason is QuarantineByService, only their own service is affected.
	Quarantine Kind = "hold"
	// Recover ends the quarantine of the instances Refs, which have renewed their leases or were
	// observed to be alive.
	Recover Kind = "seen"
	// ConfirmRemoval removes all quarantined instances after an operator has confirmed that they failed.
	ConfirmRemoval Kind = "confirm"
	// EndDamping returns to the list those of the instances Refs whose damping period has ended.
	EndDamping Kind = "admit"
	// SetOverride sets an operator's Weight and Health for the server Name. If IfVersion is not 0,
	// the entry must have that version.
	SetOverride Kind = "set"
)

// Commands on sessions: processes that can run leased tasks.
const (
	// OpenSession opens Session, or updates the open session with the same process and ID.
	OpenSession Kind = "open"
	// CloseSession closes Session and ends all its terms. Reason defaults to ReasonSessionClosed.
	CloseSession Kind = "close"
	// DrainSession marks Session as draining: its tasks are to be transferred to other processes.
	DrainSession Kind = "rest"
)

// Commands on leased tasks and their terms.
const (
	// DefineTask creates LeasedTask, or changes its TTL and preferences.
	DefineTask Kind = "define"
	// DeleteTask deletes the task Name, which must not have a holder.
	DeleteTask Kind = "drop"
	// GrantTerm grants the task of each element of Terms to the element's Process and Session.
	GrantTerm Kind = "grant"
	// ExpireTerm ends the Terms, whose holders have not renewed their sessions for the tasks' TTL.
	ExpireTerm Kind = "free"
	// ReleaseTerm ends the Terms, whose holder has stopped. Reason defaults to ReasonCompleted.
	ReleaseTerm Kind = "give up"
	// TransferTask makes the Process of each element of Terms the successor for its task; a Process
	// of "" cancels the transfer.
	TransferTask Kind = "move"
	// AcceptTransfer records for each element of Terms that its Process and Session are ready to
	// take over the task.
	AcceptTransfer Kind = "accept"
	// RevokeTerm asks the holder of the task Name to stop.
	RevokeTerm Kind = "revoke"
	// Suspend stops the task Name, for Reason, and prevents it from being granted.
	Suspend Kind = "park"
	// Resume allows the task Name to be granted again and clears its failures.
	Resume Kind = "unpark"
)

// Commands on members.
const (
	// RegisterMember assigns an incarnation to the process Member.
	RegisterMember Kind = "arrive"
	// CheckTerm changes nothing. Like any command it is rejected if the term of UnderTask and Fence
	// has ended, so its result tells the proposer whether the term is still current.
	CheckTerm Kind = "check"
)

// QuarantineByService is the Reason of a Quarantine command for a mass failure of a single service.
const QuarantineByService = "service"

// InstanceRef identifies an instance of a server by the server's name and the instance's start time.
type InstanceRef struct {
	Name      string  `json:"name"`
	StartedMs float64 `json:"born_ms"` // Unix time in milliseconds
}

// Command is a change of the state, as it is stored in the log. The comment on each Kind names the
// fields that it reads; FormatVersion, At, UnderTask and Fence are read for every kind.
type Command struct {
	FormatVersion int                 `json:"form"`
	Kind          Kind                `json:"kind"`
	At            time.Duration       `json:"at"` // when the leader proposed the command, on the state's clock
	Seq           int64               `json:"seq,omitempty"`
	Endpoint      *endpoints.Endpoint `json:"host,omitempty"`
	Refs          []InstanceRef       `json:"refs,omitempty"`
	Name          string              `json:"name,omitempty"` // name of a server or a task
	Weight        *float64            `json:"share,omitempty"`
	Health        *string             `json:"health,omitempty"` // "" clears an operator's override
	IfVersion     int64               `json:"if,omitempty"`     // the entry's expected version; 0 matches any

	Session    *Session    `json:"session,omitempty"`
	LeasedTask *LeasedTask `json:"duty,omitempty"`
	Terms      []TermRef   `json:"ties,omitempty"`
	Member     *Member     `json:"member,omitempty"`
	Reason     string      `json:"why,omitempty"`

	// UnderTask and Fence identify the term of a leased task under which the command is proposed.
	// The command is rejected if that term has ended. If UnderTask is "", there is no such condition.
	UnderTask string `json:"under,omitempty"`
	Fence     int64  `json:"fence,omitempty"`
}

// Code classifies the outcome of a command. Its values are part of the HTTP interface.
type Code string

// Result codes.
const (
	Done        Code = ""            // the command was applied, now or by an earlier attempt
	Superseded  Code = "superseded"  // a newer instance has the name
	Unknown     Code = "unknown"     // the entry, session or task does not exist or was removed
	Conflict    Code = "conflict"    // the entry or task is not in the state that the command requires
	Invalid     Code = "invalid"     // the command has a missing or malformed field
	TooMany     Code = "too many"    // a table of the state is full
	Unsupported Code = "unsupported" // this build does not know the command's format or kind
	Fenced      Code = "fenced"      // the command refers to a term that is no longer current
	Taken       Code = "taken"       // another process has the name, or holds the task
)

// Result is the outcome of a command: its code, and the numbers that the command assigned.
type Result struct {
	Code Code   `json:"code,omitempty"`
	Seq  int64  `json:"seq"`            // revision of the endpoint list after the command
	Text string `json:"text,omitempty"` // why the command was rejected
	// DampedFor is how long a registered server stays unlisted because it restarted too often.
	DampedFor time.Duration `json:"damped_for,omitempty"`
	// Fence is the fencing token of a granted term, or the incarnation of a registered member.
	Fence int64 `json:"fence,omitempty"`
}
