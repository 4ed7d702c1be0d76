package catalog

import "time"

// MaxMembers bounds the processes whose incarnations are remembered.
const MaxMembers = 1024

// Member is a process that takes part in membership. Its incarnation numbers its starts: it
// grows with each, across all members, and is not taken from a clock.
type Member struct {
	Name        string        `json:"name"`
	ID          string        `json:"id"`   // of the folder that the process keeps its state in
	BootID      string        `json:"life"` // drawn at each start of the process
	Incarnation int64         `json:"incarnation"`
	Since       time.Duration `json:"since"`
	// PredecessorAbsent is set by the leader in a command: according to the leader's membership
	// view, the process that has the name is not running.
	PredecessorAbsent bool `json:"gone,omitempty"`
}

// registerMember gives a process its incarnation, which Result.Fence returns. A name belongs
// to one folder for as long as the process of that folder is running: a process of another
// folder is rejected as Taken. A process of the same folder is the same one started again,
// since only one process at a time can use a folder.
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
		return s.doneWithNumber(member.Incarnation) // a retry: the first answer was lost
	case member.ID != request.ID && !request.PredecessorAbsent:
		return s.rejectNameTaken(request.Name)
	}
	s.Incarnation++
	member.ID, member.BootID, member.Incarnation, member.Since = request.ID, request.BootID, s.Incarnation, s.Clock
	return s.doneWithNumber(member.Incarnation)
}

// rejectNameTaken rejects a process whose name another running process has.
func (s *State) rejectNameTaken(name string) Result {
	return s.reject(Taken, "another process is called %s, and is there", name)
}
