package member

import (
	"encoding/json"
	"fmt"

	"knotrouter/internal/endpoints"
)

// ProtocolVersion is the version of the messages between members.
const ProtocolVersion = 1

// MaxMembers is the maximum number of members of a Tracker and of observations in a Report.
const MaxMembers = 4096

// maxTextBytes is the maximum length of an Info's ProgramVersion and InstanceID.
const maxTextBytes = 64

// Role is the kind of process that a member is. The values are part of the wire format.
type Role string

// Values of Role. Servers of the control plane and workers gossip; an agent or a server has a
// session at a server of the control plane.
const (
	RoleControlPlane Role = "steward"
	RoleWorker       Role = "worker"
	RoleAgent        Role = "agent"
	RoleServer       Role = "server"
)

// Gossips reports whether members of the role take part in gossip themselves.
func (r Role) Gossips() bool { return r == RoleControlPlane || r == RoleWorker }

// known reports whether this build knows the role.
func (r Role) known() bool {
	return r == RoleControlPlane || r == RoleWorker || r == RoleAgent || r == RoleServer
}

// State is the state of a member as an observer sees it. The values are part of the wire format. The
// empty state means that the observer has no observation of the member.
type State string

// Values of State.
const (
	Joining State = "joining" // alive, but without an incarnation from the catalog yet
	Present State = "present"
	Suspect State = "suspect" // the member does not answer, or observers disagree about it
	Left    State = "left"    // the member announced its shutdown
	Failed  State = "failed"
)

// known reports whether this build knows the state.
func (s State) known() bool {
	return s == Joining || s == Present || s == Suspect || s == Left || s == Failed
}

// ProtocolVersions holds the highest versions that a process supports of the messages between
// members (Gossip) and of the catalog's commands (Catalog).
type ProtocolVersions struct {
	Gossip  int `json:"g"`
	Catalog int `json:"c"`
}

// Info describes a member, as the member itself announces it. The JSON keys are part of the wire
// format.
type Info struct {
	ProtocolVersion int              `json:"f"`
	Name            string           `json:"n"`
	Role            Role             `json:"r"`
	Zone            string           `json:"z,omitempty"`
	ProgramVersion  string           `json:"v,omitempty"`
	Versions        ProtocolVersions `json:"s"`
	// Incarnation is a number that the catalog assigns and that grows with each start of the
	// process. It is 0 until the catalog has assigned one.
	Incarnation  int64 `json:"i,omitempty"`
	ShuttingDown bool  `json:"l,omitempty"` // a planned shutdown has begun
	// InstanceID distinguishes processes of the same name. A member that gossips stores it in
	// its state folder, so it survives a restart; an agent generates it at each start.
	InstanceID string `json:"d,omitempty"`
}

// UnsupportedVersionError means that this build does not support the version of a message.
type UnsupportedVersionError struct{ Version int }

// Error names both versions.
func (e *UnsupportedVersionError) Error() string {
	return fmt.Sprintf("message version %d is not supported, this build reads version %d", e.Version, ProtocolVersion)
}

// InvalidMessageError means that an Info or a Report is too large or has an invalid field. JSON that
// can't be decoded is not an InvalidMessageError.
type InvalidMessageError struct{ Problem string }

// Error returns the problem, which names the invalid part of the message.
func (e *InvalidMessageError) Error() string { return e.Problem }

// invalidMessage returns an *InvalidMessageError with a formatted problem.
func invalidMessage(format string, args ...any) error {
	return &InvalidMessageError{fmt.Sprintf(format, args...)}
}

// Validate returns an *UnsupportedVersionError if this build does not support the version, and an
// *InvalidMessageError for the first invalid field.
func (i *Info) Validate() error {
	switch {
	case i.ProtocolVersion != ProtocolVersion:
		return &UnsupportedVersionError{i.ProtocolVersion}
	case !endpoints.IsToken(i.Name, endpoints.MaxName):
		return invalidMessage("name: must be a word")
	case !i.Role.known():
		return invalidMessage("role: unknown role %q", i.Role)
	case i.Zone != "" && !endpoints.IsToken(i.Zone, endpoints.MaxLabel),
		len(i.ProgramVersion) > maxTextBytes, len(i.InstanceID) > maxTextBytes:
		return invalidMessage("zone, program, id: must be words")
	case i.Incarnation < 0:
		return invalidMessage("incarnation: must be 0 or above")
	}
	return nil
}

// DecodeInfo decodes and validates the JSON text of an Info. On failure it returns the zero
// Info and an error that wraps one of Validate or of package json.
func DecodeInfo(text []byte) (Info, error) {
	var i Info
	if err := json.Unmarshal(text, &i); err != nil {
		return Info{}, fmt.Errorf("member: %w", err)
	}
	if err := i.Validate(); err != nil {
		return Info{}, fmt.Errorf("member: %w", err)
	}
	return i, nil
}
