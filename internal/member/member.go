// Package member says who is present in the fleet, and what follows from it. All of it is
// pure: what was heard and the time go in, opinions, a view and decisions come out.
//
// An observer has opinions of its own. A view puts its own together with what others
// report. A view is evidence only: what acts is the catalog.
package member

import (
	"encoding/json"
	"errors"
	"fmt"

	"knotrouter/internal/endpoints"
)

// ProtocolVersion is the version of what members tell each other.
const ProtocolVersion = 1

// Role is what a member is there for.
type Role string

// The roles. Stewards and workers gossip; for agents and servers a steward holds a session.
const (
	RoleControlPlane Role = "steward"
	RoleWorker       Role = "worker"
	RoleAgent        Role = "agent"
	RoleServer       Role = "server"
)

// Gossips tells whether members of the role speak for themselves.
func (r Role) Gossips() bool { return r == RoleControlPlane || r == RoleWorker }

func (r Role) known() bool {
	return r == RoleControlPlane || r == RoleWorker || r == RoleAgent || r == RoleServer
}

// State is how a member is thought to be.
type State string

// The states.
const (
	Joining State = "joining" // heard, and not known to the catalog yet
	Present State = "present"
	Suspect State = "suspect" // not heard of late, or not by everybody
	Left    State = "left"    // it said so
	Failed  State = "failed"
)

func (s State) known() bool {
	return s == Joining || s == Present || s == Suspect || s == Left || s == Failed
}

// ProtocolVersions is the forms that a process reads: of what members tell each other, and of the
// catalog's commands.
type ProtocolVersions struct {
	Gossip  int `json:"g"`
	Catalog int `json:"c"`
}

// Info is what a member says of itself.
type Info struct {
	ProtocolVersion int              `json:"f"`
	Name            string           `json:"n"`
	Role            Role             `json:"r"`
	Zone            string           `json:"z,omitempty"`
	ProgramVersion  string           `json:"v,omitempty"` // its version
	Versions        ProtocolVersions `json:"s"`
	Incarnation     int64            `json:"i,omitempty"` // given by the catalog; 0: not yet
	ShuttingDown    bool             `json:"l,omitempty"` // it is about to end as planned
	// InstanceID is of the folder that the process has its state in: another process of the name, which
	// is not the same one started again, has another.
	InstanceID string `json:"d,omitempty"`
}

// Validate tells why a word for itself makes no sense.
func (i *Info) Validate() error {
	switch {
	case i.ProtocolVersion != ProtocolVersion:
		return fmt.Errorf("form %d, this build reads form %d", i.ProtocolVersion, ProtocolVersion)
	case !endpoints.IsToken(i.Name, endpoints.MaxName):
		return errors.New("name: must be a word")
	case !i.Role.known():
		return fmt.Errorf("role: unknown word %q", i.Role)
	case i.Zone != "" && !endpoints.IsToken(i.Zone, endpoints.MaxLabel), len(i.ProgramVersion) > 64, len(i.InstanceID) > 64:
		return errors.New("zone, program, id: must be words")
	case i.Incarnation < 0:
		return errors.New("incarnation: must be 0 or above")
	}
	return nil
}

// Observation is what one observer thinks of a member; without a state it thinks nothing any more.
type Observation struct {
	Name        string `json:"n"`
	Role        Role   `json:"r"`
	Zone        string `json:"z,omitempty"`
	Incarnation int64  `json:"i,omitempty"`
	State       State  `json:"s"`
	ForMs       int64  `json:"t"` // it has thought so
}

// Report is what an observer thinks, all of it or what has changed.
type Report struct {
	ProtocolVersion int           `json:"f"`
	From            string        `json:"n"`
	Incarnation     int64         `json:"i,omitempty"`
	Seq             int64         `json:"q"` // grows within one life of the observer
	BootID          string        `json:"b"` // drawn at the start of each life of the observer
	Full            bool          `json:"w,omitempty"`
	Observations    []Observation `json:"o,omitempty"`
}

// Bounds of what is taken from others.
const (
	MaxMembers     = 4096
	maxReportBytes = 1 << 20 // bytes
)

// DecodeInfo reads a member's word for itself.
func DecodeInfo(text []byte) (i Info, err error) {
	if err := json.Unmarshal(text, &i); err != nil {
		return Info{}, fmt.Errorf("member: %w", err)
	}
	if err := i.Validate(); err != nil {
		return Info{}, fmt.Errorf("member: %w", err)
	}
	return i, nil
}

// DecodeReport reads an observer's report, and refuses what this build doesn't read.
func DecodeReport(text []byte) (r Report, err error) {
	if len(text) > maxReportBytes {
		return r, fmt.Errorf("report: over %d bytes", maxReportBytes)
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	switch {
	case r.ProtocolVersion != ProtocolVersion:
		return Report{}, fmt.Errorf("report: form %d, this build reads form %d", r.ProtocolVersion, ProtocolVersion)
	case !endpoints.IsToken(r.From, endpoints.MaxName):
		return Report{}, errors.New("report: from: must be a word")
	case len(r.Observations) > MaxMembers:
		return Report{}, fmt.Errorf("report: %d members of at most %d", len(r.Observations), MaxMembers)
	}
	for i := range r.Observations {
		s := &r.Observations[i]
		if !endpoints.IsToken(s.Name, endpoints.MaxName) || !s.Role.known() || s.State != "" && !s.State.known() || s.ForMs < 0 || s.Incarnation < 0 ||
			s.Zone != "" && !endpoints.IsToken(s.Zone, endpoints.MaxLabel) {
			return Report{}, fmt.Errorf("report: member %d makes no sense", i)
		}
	}
	return r, nil
}
