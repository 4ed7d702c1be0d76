package catalog

import (
	"fmt"
	"time"

	"knotrouter/internal/endpoints"
)

// The commands on members.
const (
	RegisterMember Kind = "arrive" // Member: a process is there, and gets its number
	CheckTerm      Kind = "check"  // nothing, but that it is refused when its duty's term is over
)

// MaxMembers bounds the processes whose numbers are remembered.
const MaxMembers = 1024

// Member is a process that speaks for itself. Its incarnation numbers its lives: it outlives
// restarts, and is not taken from a clock.
type Member struct {
	Name        string        `json:"name"`
	ID          string        `json:"id"`   // of the folder that its state is in
	BootID      string        `json:"life"` // drawn at its start
	Incarnation int64         `json:"incarnation"`
	Since       time.Duration `json:"since"`
	// PredecessorAbsent is the leader's word, from its view, that the process that had the name is not there.
	PredecessorAbsent bool `json:"gone,omitempty"`
}

// registerMember gives a process the number of its life. A name is one folder's for as long as the
// process of that folder is there: another that comes with it is told so, and yields. A
// process of the same folder is the same one started again, as one at a time can have it.
func (s *State) registerMember(m *Member) Result {
	if m == nil || !endpoints.IsToken(m.Name, endpoints.MaxName) || !endpoints.IsToken(m.ID, endpoints.MaxName) || !endpoints.IsToken(m.BootID, endpoints.MaxName) {
		return s.result(Invalid, "name, id, life: must be words")
	}
	was := s.Members[m.Name]
	switch {
	case was == nil && len(s.Members) >= MaxMembers:
		return s.result(TooMany, fmt.Sprintf("%d members, which is all there is room for", MaxMembers))
	case was == nil:
		was = &Member{Name: m.Name}
		s.Members[m.Name] = was
	case was.ID == m.ID && was.BootID == m.BootID: // asked again, as the answer was lost
		r := s.result(Done, "")
		r.Fence = was.Incarnation
		return r
	case was.ID != m.ID && !m.PredecessorAbsent:
		return s.result(Taken, fmt.Sprintf("another process is called %s, and is there", m.Name))
	}
	s.Incarnation++
	was.ID, was.BootID, was.Incarnation, was.Since = m.ID, m.BootID, s.Incarnation, s.Clock
	r := s.result(Done, "")
	r.Fence = was.Incarnation
	return r
}

func (s *State) checkMembers() error {
	if s.Members == nil {
		s.Members = map[string]*Member{}
	}
	for name, m := range s.Members {
		if m == nil || m.Name != name || m.Incarnation > s.Incarnation {
			return fmt.Errorf("member %q is not itself", name)
		}
	}
	return nil
}
