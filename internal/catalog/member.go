package catalog

import "time"

// MaxMembers is the maximum number of processes whose incarnations are stored.
const MaxMembers = 1024

// Member is a process that takes part in membership. Its incarnation identifies a start of the
// process: it is assigned from a counter shared by all members, not from a clock, and therefore
// grows with each start.
type Member struct {
	Name        string        `json:"name"`
	ID          string        `json:"id"`   // identifier of the process's data directory
	BootID      string        `json:"life"` // random identifier drawn at each start of the process
	Incarnation int64         `json:"incarnation"`
	Since       time.Duration `json:"since"`
	// PredecessorAbsent is set in a command if, according to the leader's membership view, the
	// process that has the name is not running.
	PredecessorAbsent bool `json:"gone,omitempty"`
}

// registerMember assigns an incarnation to a process and returns it in Result.Fence. A name belongs
// to one data directory while the process that uses the directory is running; a process with another
// directory is rejected as Taken. A process with the same directory counts as a restart, because only
// one process at a time can use a directory.
func (s *State) registerMember(request *Member) Result {
	if request == nil || !isName(request.Name) || !isName(request.ID) || !isName(request.BootID) {
		return s.reject(Invalid, "name, id, life: must be words")
	}
	member := s.Members[request.Name]
	switch {
	case member == nil && len(s.Members) >= MaxMembers:
		return s.reject(TooMany, "%d members, which is all there is room for", MaxMembers)
	case member == nil:
		member = &Member{Name: request.Name}
		s.Members[request.Name] = member
	case member.ID == request.ID && member.BootID == request.BootID:
		return s.doneWithNumber(member.Incarnation) // a retry after a lost response
	case member.ID != request.ID && !request.PredecessorAbsent:
		return s.rejectNameTaken(request.Name)
	}
	s.Incarnation++
	member.ID, member.BootID, member.Incarnation, member.Since = request.ID, request.BootID, s.Incarnation, s.Clock
	return s.doneWithNumber(member.Incarnation)
}

// rejectNameTaken rejects a process whose name is in use by another process.
func (s *State) rejectNameTaken(name string) Result {
	return s.reject(Taken, "another process is called %s, and is there", name)
}
