package catalog

import (
	"time"

	"knotrouter/internal/endpoints"
)

// FormatVersion is the version of commands and snapshots that this build writes and reads.
const FormatVersion = 1

// Kind says what a command does. Its values are stored in logs and must not change.
type Kind string

// Commands on registered servers. Those that read Refs skip every instance that has been
// replaced or removed in the meantime.
const (
	// RaiseRevision makes Seq the least value of the list's revision, and of fencing tokens,
	// session revisions and incarnations.
	RaiseRevision Kind = "floor"
	// Register adds the server Endpoint, or replaces an older instance of that name.
	Register Kind = "register"
	// Drain marks the instances Refs as draining: they complete the requests in flight.
	Drain Kind = "drain"
	// Deregister removes the instances Refs, which shut down as planned.
	Deregister Kind = "leave"
	// ExpireRegistration removes the instances Refs, which have failed: their leases have expired or
	// are late, and the voters' FailureEvidence confirms it where it is collected.
	ExpireRegistration Kind = "lapse"
	// Quarantine keeps the instances Refs listed though their leases have expired, because too many
	// would expire at once. If Reason is QuarantineByService, the failure is of their service alone.
	Quarantine Kind = "hold"
	// Recover ends the quarantine of the instances Refs, which have renewed or were observed alive.
	Recover Kind = "seen"
	// ConfirmRemoval removes all quarantined instances: an operator confirms that they failed.
	ConfirmRemoval Kind = "confirm"
	// EndDamping lists the instances Refs whose damping is over.
	EndDamping Kind = "admit"
	// SetOverride sets an operator's Weight and Health for the server Name. If IfVersion is not 0,
	// the entry must have that version.
	SetOverride Kind = "set"
)

// Commands on sessions: processes that can run leased tasks.
const (
	// OpenSession opens Session, or updates the open one of the same process and ID.
	OpenSession Kind = "open"
	// CloseSession ends Session and all its terms, for Reason or else ReasonSessionClosed.
	CloseSession Kind = "close"
	// DrainSession has the tasks of Session transferred to other processes.
	DrainSession Kind = "rest"
)

// Commands on leased tasks and their terms.
const (
	// DefineTask creates LeasedTask, or changes its TTL and preferences.
	DefineTask Kind = "define"
	// DeleteTask deletes the task Name, which must not have a holder.
	DeleteTask Kind = "drop"
	// GrantTerm grants each task of Terms to that element's Process and Session.
	GrantTerm Kind = "grant"
	// ExpireTerm ends the Terms, whose holders have not renewed their sessions for the tasks' TTL.
	ExpireTerm Kind = "free"
	// ReleaseTerm ends the Terms, whose holder has stopped, for Reason or else ReasonCompleted.
	ReleaseTerm Kind = "give up"
	// TransferTask names each element's Process of Terms as the task's successor; "" cancels the
	// transfer.
	TransferTask Kind = "move"
	// AcceptTransfer records that the Process and Session of each element of Terms is ready to
	// take over the task.
	AcceptTransfer Kind = "accept"
	// RevokeTerm asks the holder of the task Name to stop.
	RevokeTerm Kind = "revoke"
	// Suspend stops the task Name and keeps it from being granted, for Reason.
	Suspend Kind = "park"
	// Resume lets the task Name be granted again and clears its failures.
	Resume Kind = "unpark"
)

// Commands on members.
const (
	// RegisterMember gives the process Member its incarnation.
	RegisterMember Kind = "arrive"
	// CheckTerm changes nothing. Like any command it is rejected if the term of UnderTask and Fence
	// has ended; its result tells the proposer whether it has.
	CheckTerm Kind = "check"
)

// QuarantineByService is the Reason of a Quarantine for a mass failure of one service only.
const QuarantineByService = "service"

// InstanceRef refers to one instance of a server: its name and its start.
type InstanceRef struct {
	Name      string  `json:"name"`
	StartedMs float64 `json:"born_ms"` // Unix time in milliseconds
}

// Command is one change of the state, as it is stored in the log. The comments of the Kinds say
// which fields each of them reads; FormatVersion, At, UnderTask and Fence are read of all.
type Command struct {
	FormatVersion int                 `json:"form"`
	Kind          Kind                `json:"kind"`
	At            time.Duration       `json:"at"` // the leader's elapsed time at the proposal
	Seq           int64               `json:"seq,omitempty"`
	Endpoint      *endpoints.Endpoint `json:"host,omitempty"`
	Refs          []InstanceRef       `json:"refs,omitempty"`
	Name          string              `json:"name,omitempty"` // of a server or of a task
	Weight        *float64            `json:"share,omitempty"`
	Health        *string             `json:"health,omitempty"` // "" clears an operator's override
	IfVersion     int64               `json:"if,omitempty"`     // the entry's expected version; 0: any

	Session    *Session    `json:"session,omitempty"`
	LeasedTask *LeasedTask `json:"duty,omitempty"`
	Terms      []TermRef   `json:"ties,omitempty"`
	Member     *Member     `json:"member,omitempty"`
	Reason     string      `json:"why,omitempty"`

	// UnderTask and Fence refer to the term of a leased task under which the command is
	// proposed. The command is rejected if that term has ended. UnderTask "" refers to no term.
	UnderTask string `json:"under,omitempty"`
	Fence     int64  `json:"fence,omitempty"`
}

// Code is the outcome of a command. Its values are part of the HTTP interface.
type Code string

// The codes.
const (
	Done        Code = ""            // the command was carried out, or had been before
	Superseded  Code = "superseded"  // a newer instance has the name
	Unknown     Code = "unknown"     // there is no such entry, session or task, or it was removed
	Conflict    Code = "conflict"    // the entry or task is not in the state that the command requires
	Invalid     Code = "invalid"     // the command has a missing or malformed field
	TooMany     Code = "too many"    // a table of the state is full
	Unsupported Code = "unsupported" // this build does not know the command's format or kind
	Fenced      Code = "fenced"      // the command refers to a term that is not the current one
	Taken       Code = "taken"       // another process has the name, or holds the task
)

// Result is the outcome of a command.
type Result struct {
	Code Code   `json:"code,omitempty"`
	Seq  int64  `json:"seq"`            // the list's revision after the command
	Text string `json:"text,omitempty"` // why the command was rejected
	// DampedFor is how long a registered server stays unlisted for restarting too often.
	DampedFor time.Duration `json:"damped_for,omitempty"`
	// Fence is the fencing token of a granted term, or the incarnation of a registered member.
	Fence int64 `json:"fence,omitempty"`
}
