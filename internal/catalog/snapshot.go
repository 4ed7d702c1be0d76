package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// FormatError reports a snapshot or a command in a format that this build does not read.
type FormatError struct {
	FormatVersion int // format version of the snapshot or command
}

// Error returns a text with the format that was found and the one that this build reads.
func (e *FormatError) Error() string {
	return fmt.Sprintf("form %d, this build reads form %d", e.FormatVersion, FormatVersion)
}

// InconsistentStateError reports a snapshot that no log of commands can produce.
type InconsistentStateError struct {
	Part    string // part of the snapshot, such as `entry "a"`
	Problem string
}

// Error returns the part followed by its problem.
func (e *InconsistentStateError) Error() string { return e.Part + e.Problem }

// inconsistent returns an InconsistentStateError for the element with the given name in a table.
func inconsistent(table, name, problem string) error {
	return &InconsistentStateError{Part: fmt.Sprintf("%s %q", table, name), Problem: problem}
}

// Encode returns a snapshot of the state. Equal states have equal snapshots.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the state: %w", err)
	}
	return text, nil
}

// Decode returns the state of a snapshot that Encode wrote, in this build or an earlier one.
// Its errors wrap a *FormatError, an *InconsistentStateError, or an error from package json or from
// endpoints.Endpoint.Validate.
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

// fillAbsentTables creates the tables that are null in a snapshot, or that a snapshot of an earlier
// build does not have.
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
		// Earlier changes of a service are unknown, so its readers get the full list. Until the revision
		// is raised, the minimum revision may differ between replicas that decoded different snapshots
		// from before services existed; no decision depends on it.
		s.ServiceHistory = &ServiceHistory{MinRevision: s.Seq}
	}
}

// checkEntries returns an error if there is an entry that Apply could not have produced.
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

// checkHistory returns an error if the history is not sorted, or refers to a missing entry.
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

// checkSessionsAndTasks returns an error if there is a session or task that Apply could not have
// produced.
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

// hasConsistentHolder reports whether a task has either both a holder and a session or neither, and a
// successor only if it has a holder and the successor has an open session.
func (s *State) hasConsistentHolder(task *LeasedTask) bool {
	if (task.Holder == "") != (task.Session == "") {
		return false
	}
	return task.Successor == "" || task.Holder != "" && s.Sessions[task.Successor] != nil
}

// checkMembers returns an error if there is a member that Apply could not have produced.
func (s *State) checkMembers() error {
	for name, member := range s.Members {
		if member == nil || member.Name != name || member.Incarnation > s.Incarnation {
			return inconsistent("member", name, " is not itself")
		}
	}
	return nil
}

// checkServiceHistory returns an error for a service history that Apply could not have produced.
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
