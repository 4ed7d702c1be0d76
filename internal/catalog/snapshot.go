package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// FormatError reports a snapshot or a command in a format that this build does not read.
type FormatError struct {
	FormatVersion int // the one found
}

// Error names both formats.
func (e *FormatError) Error() string {
	return fmt.Sprintf("form %d, this build reads form %d", e.FormatVersion, FormatVersion)
}

// InconsistentStateError reports a snapshot that no log of commands can lead to.
type InconsistentStateError struct {
	Part    string // of the snapshot, such as `entry "a"`
	Problem string
}

// Error names the part and its problem.
func (e *InconsistentStateError) Error() string { return e.Part + e.Problem }

// inconsistent returns an InconsistentStateError for the element name of a table.
func inconsistent(table, name, problem string) error {
	return &InconsistentStateError{Part: fmt.Sprintf("%s %q", table, name), Problem: problem}
}

// Encode returns the snapshot of the state. Equal states have equal snapshots.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the state: %w", err)
	}
	return text, nil
}

// Decode returns the state of a snapshot that Encode wrote, in this build or an earlier one.
// It returns an error that wraps a *FormatError, an *InconsistentStateError, or the error of
// package json or of endpoints.Endpoint.Validate.
func Decode(text []byte) (*State, error) {
	s, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}

func decode(text []byte) (*State, error) {
	s := New()
	s.FormatVersion, s.ServiceHistory = 0, nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	if s.FormatVersion != FormatVersion {
		return nil, &FormatError{s.FormatVersion}
	}
	s.fillAbsentTables()
	if err := errors.Join(s.checkSessionsAndTasks(), s.checkMembers(), s.checkServiceHistory()); err != nil {
		return nil, err
	}
	if err := s.checkEntries(); err != nil {
		return nil, err
	}
	if err := s.checkHistory(); err != nil {
		return nil, err
	}
	s.rebuildIndexes()
	return s, nil
}

// fillAbsentTables makes the tables that are null in a snapshot, or absent from one of an
// earlier build.
func (s *State) fillAbsentTables() {
	if s.Entries == nil {
		s.Entries = map[string]*Entry{}
	}
	if s.Sessions == nil {
		s.Sessions = map[string]*Session{}
	}
	if s.LeasedTasks == nil {
		s.LeasedTasks = map[string]*LeasedTask{}
	}
	if s.Members == nil {
		s.Members = map[string]*Member{}
	}
	if s.ServiceHistory == nil {
		// What changed in a service before is not known, so its readers get the full list. The
		// minimum revision may thus differ between replicas that decoded different snapshots from
		// before there were services, until the revision is raised; no decision depends on it.
		s.ServiceHistory = &ServiceHistory{MinRevision: s.Seq}
	}
}

// checkEntries returns an error for an entry that Apply could not have made.
func (s *State) checkEntries() error {
	for name, entry := range s.Entries {
		if entry == nil || entry.Endpoint.Name != name {
			return inconsistent("entry", name, " is not itself")
		}
		if err := entry.Endpoint.Validate(); err != nil {
			return fmt.Errorf("entry %q: %w", name, err)
		}
		if entry.Version > s.Seq {
			return inconsistent("entry", name, fmt.Sprintf(": version %d is beyond the state's", entry.Version))
		}
	}
	return nil
}

// checkHistory returns an error if the history is not in order, or names a missing entry.
func (s *State) checkHistory() error {
	previous := int64(math.MinInt64)
	for _, change := range s.History {
		if change.Seq <= previous || change.Seq > s.Seq || s.Entries[change.Name] == nil {
			return &InconsistentStateError{"the history", fmt.Sprintf(" is out of order at version %d", change.Seq)}
		}
		previous = change.Seq
	}
	return nil
}

// checkSessionsAndTasks returns an error for a session or task that Apply could not have made.
func (s *State) checkSessionsAndTasks() error {
	for process, session := range s.Sessions {
		if session == nil || session.Process != process || session.ID == "" || session.MaxTasks < 0 || session.Revision > s.SessionRevision {
			return inconsistent("session", process, " is not itself")
		}
	}
	for name, task := range s.LeasedTasks {
		if task == nil || task.Name != name || task.TTL < MinTTL || task.TTL > MaxTTL || task.Fence > s.Fence {
			return inconsistent("duty", name, " is not itself")
		}
		if !s.hasConsistentHolder(task) {
			return inconsistent("duty", name, ": its holder makes no sense")
		}
	}
	return nil
}

// hasConsistentHolder reports whether a task has a holder with a session or neither, and a
// successor only beside a holder and with an open session.
func (s *State) hasConsistentHolder(task *LeasedTask) bool {
	if (task.Holder == "") != (task.Session == "") {
		return false
	}
	return task.Successor == "" || task.Holder != "" && s.Sessions[task.Successor] != nil
}

// checkMembers returns an error for a member that Apply could not have made.
func (s *State) checkMembers() error {
	for name, member := range s.Members {
		if member == nil || member.Name != name || member.Incarnation > s.Incarnation {
			return inconsistent("member", name, " is not itself")
		}
	}
	return nil
}

// checkServiceHistory returns an error for a service history that Apply could not have made.
func (s *State) checkServiceHistory() error {
	const part = "scopes: "
	history := s.ServiceHistory
	if len(history.Departures) > MaxDepartures || len(history.MinRevisions) > MaxServiceMinRevisions || history.MinRevision > s.Seq {
		return &InconsistentStateError{part, "beyond their bounds"}
	}
	for name, revision := range history.MinRevisions {
		if revision > s.Seq || !isServiceName(name) {
			return &InconsistentStateError{part, fmt.Sprintf("service %q has no such oldest version", name)}
		}
	}
	previous := int64(-1)
	for _, departure := range history.Departures {
		if departure.Seq < previous || departure.Seq > s.Seq || !isName(departure.Name) || !isServiceName(departure.Service) {
			return &InconsistentStateError{part, fmt.Sprintf("the moves are out of order at version %d", departure.Seq)}
		}
		previous = departure.Seq
	}
	return nil
}
