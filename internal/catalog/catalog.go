// Package catalog is the replicated state of the list service, as a pure state machine:
// commands and the leader's elapsed time go in, a new state and a result come out. It does
// no I/O, has no clock and draws nothing, so that every process that applies one log comes
// to one state.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"knotrouter/internal/endpoints"
)

// Form is the version of commands and snapshots that this build writes and reads.
const Form = 1

// Kind names a command.
type Kind string

// The commands.
const (
	Floor    Kind = "floor"    // Seq: the version is at least that from now on
	Register Kind = "register" // Host
	Drain    Kind = "drain"    // Refs: they complete what they hold
	Leave    Kind = "leave"    // Refs: they have ended as planned
	Lapse    Kind = "lapse"    // Refs: their leases ended
	Hold     Kind = "hold"     // Refs: theirs did too, but too many at once to be believed
	Seen     Kind = "seen"     // Refs: held ones that were heard again
	Confirm  Kind = "confirm"  // an operator says that the held ones are gone
	Admit    Kind = "admit"    // Refs: their damping is over
	Set      Kind = "set"      // Name, Share, Health, If: an operator's word
)

// HoldService is the Why of a Hold whose mass failure is of one service only.
const HoldService = "service"

// Ref names one process of a server: its name, and when it was born.
type Ref struct {
	Name   string  `json:"name"`
	BornMs float64 `json:"born_ms"`
}

// Command is one change of the state, as it stands in the log.
type Command struct {
	Form   int             `json:"form"`
	Kind   Kind            `json:"kind"`
	At     time.Duration   `json:"at"` // the leader's elapsed time
	Seq    int64           `json:"seq,omitempty"`
	Host   *endpoints.Host `json:"host,omitempty"`
	Refs   []Ref           `json:"refs,omitempty"`
	Name   string          `json:"name,omitempty"`
	Share  *float64        `json:"share,omitempty"`
	Health *string         `json:"health,omitempty"` // "" takes an operator's word back
	If     int64           `json:"if,omitempty"`     // only if the entry's version is that one; 0: in any case

	Session *Session `json:"session,omitempty"`
	Duty    *Duty    `json:"duty,omitempty"`
	Ties    []Tie    `json:"ties,omitempty"`
	Member  *Member  `json:"member,omitempty"`
	Why     string   `json:"why,omitempty"`
	// Under and Fence name the term of a duty under which the command is given; it is
	// refused when that is over.
	Under string `json:"under,omitempty"`
	Fence int64  `json:"fence,omitempty"`
}

// Code says what became of a command.
type Code string

// The codes.
const (
	Done        Code = ""
	Superseded  Code = "superseded"  // a newer process has the name
	Unknown     Code = "unknown"     // no such entry, or it is gone
	Conflict    Code = "conflict"    // the entry has another version by now
	Invalid     Code = "invalid"     // the command makes no sense
	TooMany     Code = "too many"    // the table of entries is full
	Unsupported Code = "unsupported" // this build doesn't know the command
)

// Result is what became of a command.
type Result struct {
	Code Code   `json:"code,omitempty"`
	Seq  int64  `json:"seq"` // the version after it
	Text string `json:"text,omitempty"`
	// DampedFor is how long the entry stays unlisted for coming and going too often.
	DampedFor time.Duration `json:"damped_for,omitempty"`
	Fence     int64         `json:"fence,omitempty"` // of a duty that was granted
}

// Bounds of the state.
const (
	// MaxEntries is how many names there may be, those kept for a while after their end included:
	// 39,000 servers, a region of 6,500 whose names are all replaced, 9,100 replacements of a day,
	// and a sixth on top.
	MaxEntries = 64_000
	// MaxHistory is how many changes are kept for watches of the whole list; one from before them
	// gets the whole list. A region that is lost and comes back is 13,000.
	MaxHistory = 16_384
	// keepGone is how long the end of a name is remembered: for an older process of that
	// name that is heard late, and for its comings and goings.
	keepGone = 10 * time.Minute
	// A server that ended flapAfter times within flapWindow is kept off the list for
	// flapFirst, and twice as long each time more, up to flapMost.
	flapAfter  = 3
	flapWindow = time.Minute
	flapFirst  = 5 * time.Second
	flapMost   = time.Minute
)

// Entry is a server as the state knows it.
type Entry struct {
	Host    endpoints.Host `json:"host"` // as it was registered
	Version int64          `json:"version"`
	Share   *float64       `json:"share,omitempty"`  // an operator's
	Health  string         `json:"health,omitempty"` // an operator's
	Ended   bool           `json:"ended,omitempty"`
	EndedAt time.Duration  `json:"ended_at,omitempty"`
	Held    bool           `json:"held,omitempty"` // would have lapsed in a mass failure
	// HeldByService is of a held entry: the failure is of its service alone.
	HeldByService bool            `json:"held_by_service,omitempty"`
	Ends          []time.Duration `json:"ends,omitempty"`   // its last ends
	Damped        time.Duration   `json:"damped,omitempty"` // unlisted until then; 0: it is not

	counted bool // it is in its service's number of listed servers
}

// Listed is the entry as readers see it. It leaves the service out: readers that know no
// services are sent the same list, byte for byte, as before entries had one.
func (e *Entry) Listed() endpoints.Host {
	h := e.Host
	h.Service = ""
	if e.Share != nil {
		h.Share = *e.Share
	}
	if e.Health != "" {
		h.Health = e.Health
	}
	if e.Ended || e.Damped > 0 {
		h.Health = endpoints.Gone
	}
	return h
}

// change is one version's cause.
type change struct {
	Seq  int64  `json:"seq"`
	Name string `json:"name"`
}

// State is all that the stewards replicate. It is not safe for concurrent use.
type State struct {
	Form    int               `json:"form"`
	Seq     int64             `json:"seq"`
	Clock   time.Duration     `json:"clock"`
	Entries map[string]*Entry `json:"entries"`
	History []change          `json:"history"`
	// HeldSince is since when entries are kept that would have lapsed; 0: none is.
	HeldSince time.Duration `json:"held_since,omitempty"`

	Sessions map[string]*Session `json:"sessions,omitempty"`
	Duties   map[string]*Duty    `json:"duties,omitempty"`
	Fence    int64               `json:"fence,omitempty"` // the last that was given
	Rev      int64               `json:"rev,omitempty"`   // the last revision of a session
	Members  map[string]*Member  `json:"members,omitempty"`
	// Incarnation is the last that was given.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Scopes is what readers of services need; snapshots from before there were services have none.
	Scopes *Scopes `json:"scopes,omitempty"`

	// What follows is derived from the above, and built again when a snapshot is read.
	services map[string]*service
	listed   int   // servers that are on the list
	held     int   // entries that are held
	applied  int64 // commands since it was made or read
}

// New is the empty state.
func New() *State {
	return &State{Form: Form, Entries: map[string]*Entry{}, Sessions: map[string]*Session{}, Duties: map[string]*Duty{}, Members: map[string]*Member{},
		Scopes: &Scopes{}, services: map[string]*service{}}
}

// Encode words the state; one state has one wording.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the state: %w", err)
	}
	return text, nil
}

// Decode reads what Encode wrote, and refuses what this build can't read.
func Decode(text []byte) (*State, error) {
	s := New()
	s.Form, s.Scopes = 0, nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Form != Form {
		return nil, fmt.Errorf("snapshot: form %d, this build reads form %d", s.Form, Form)
	}
	if s.Entries == nil {
		s.Entries = map[string]*Entry{}
	}
	if s.Scopes == nil {
		// What changed in a service before is not known: its readers get the whole list. The
		// floor may so differ between processes that read different snapshots from before there
		// were services, until the version is raised; nothing that is decided depends on it.
		s.Scopes = &Scopes{Floor: s.Seq}
	}
	if err := errors.Join(s.checkDuties(), s.checkMembers(), s.checkScopes()); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	for name, e := range s.Entries {
		if e == nil || e.Host.Host != name {
			return nil, fmt.Errorf("snapshot: entry %q is not itself", name)
		}
		if err := e.Host.Validate(); err != nil {
			return nil, fmt.Errorf("snapshot: entry %q: %w", name, err)
		}
		if e.Version > s.Seq {
			return nil, fmt.Errorf("snapshot: entry %q: version %d is beyond the state's", name, e.Version)
		}
	}
	last := int64(math.MinInt64)
	for _, c := range s.History {
		if c.Seq <= last || c.Seq > s.Seq || s.Entries[c.Name] == nil {
			return nil, fmt.Errorf("snapshot: the history is out of order at version %d", c.Seq)
		}
		last = c.Seq
	}
	s.rebuildIndex()
	return s, nil
}

// Apply carries out one command. Time never goes back, whoever leads.
func (s *State) Apply(c *Command) Result {
	if c.Form != Form {
		return s.result(Unsupported, fmt.Sprintf("form %d, this build reads form %d", c.Form, Form))
	}
	s.Clock = max(s.Clock, c.At)
	if r, is := s.fenced(c); is {
		return r
	}
	if r, is := s.duties(c); is {
		return r
	}
	s.applied++
	switch c.Kind {
	case Floor:
		// Fences and revisions go on beyond those of another life of the state too.
		s.Fence, s.Rev = max(s.Fence, c.Seq), max(s.Rev, c.Seq)
		s.Incarnation = max(s.Incarnation, c.Seq)
		if c.Seq > s.Seq {
			// A reader who comes with a version below it may have it from another life of the
			// service, so no change leads on from there: it gets the whole list.
			s.Seq, s.History = c.Seq, nil
			s.resetScopes(c.Seq)
		}
		return s.result(Done, "")
	case Register:
		return s.register(c.Host)
	case Drain, Leave, Lapse, Hold, Seen, Admit:
		return s.each(c)
	case Confirm:
		return s.confirm()
	case Set:
		return s.set(c)
	case Arrive:
		return s.arrive(c.Member)
	case Check:
		return s.result(Done, "")
	}
	return s.result(Unsupported, fmt.Sprintf("unknown command %q", c.Kind))
}

func (s *State) result(code Code, text string) Result {
	return Result{Code: code, Seq: s.Seq, Text: text}
}

// touch gives the state its next version, which is the entry's.
func (s *State) touch(e *Entry) {
	s.Seq++
	e.Version = s.Seq
	if len(s.History) >= MaxHistory {
		s.History = s.History[len(s.History)-MaxHistory+1:]
	}
	s.History = append(s.History, change{s.Seq, e.Host.Host})
	s.index(e)
}

// register takes a server's word for itself. The process that was born last has the name.
func (s *State) register(h *endpoints.Host) Result {
	if h == nil {
		return s.result(Invalid, "no entry")
	}
	if err := h.Validate(); err != nil {
		return s.result(Invalid, err.Error())
	}
	if h.Health == endpoints.Gone {
		return s.result(Invalid, "health: a server that is gone doesn't register")
	}
	e := s.Entries[h.Host]
	if e == nil {
		if len(s.Entries) >= MaxEntries {
			s.forget()
		}
		if len(s.Entries) >= MaxEntries {
			return s.result(TooMany, fmt.Sprintf("%d names, which is all there is room for", MaxEntries))
		}
		e = &Entry{Host: *h}
		s.Entries[h.Host] = e
		s.touch(e)
		return s.result(Done, "")
	}
	if e.Host.BornMs > h.BornMs {
		return s.result(Superseded, fmt.Sprintf("%s was born later, at %.0f", h.Host, e.Host.BornMs))
	}
	was := e.Listed()
	left, moves := e.Host.Service, e.Host.Service != h.Service
	again := e.Ended
	if !e.Ended && e.Host.BornMs < h.BornMs {
		s.end(e) // the process before ended and nobody noticed
		again = true
	}
	s.setHeld(e, false)
	if moves {
		s.removeFromService(e)
	}
	e.Host, e.Ended, e.EndedAt = *h, false, 0
	if again {
		e.Damped = s.damp(e)
	}
	s.settle()
	if e.Listed() != was || again && e.Damped == 0 || moves {
		s.touch(e)
	}
	if moves {
		s.noteMove(Departure{Seq: s.Seq, Name: h.Host, Service: left})
		s.boundFloors()
	}
	r := s.result(Done, "")
	if e.Damped > 0 {
		r.DampedFor = e.Damped - s.Clock
	}
	return r
}

// end notes the end of an entry's process.
func (s *State) end(e *Entry) {
	s.setHeld(e, false)
	e.Ended, e.EndedAt = true, s.Clock
	e.Ends = append(e.Ends, s.Clock)
	if most := flapAfter + 5; len(e.Ends) > most {
		e.Ends = e.Ends[len(e.Ends)-most:]
	}
}

// damp tells until when a server that came back stays unlisted; 0: it is listed at once.
func (s *State) damp(e *Entry) time.Duration {
	n := 0
	for _, at := range e.Ends {
		if s.Clock-at <= flapWindow {
			n++
		}
	}
	if n <= flapAfter {
		return 0
	}
	return s.Clock + min(flapFirst<<(n-flapAfter-1), flapMost)
}

// each carries out a command on the processes that it names; one that has been replaced
// or has ended meanwhile is passed over.
func (s *State) each(c *Command) Result {
	done, refs := 0, c.Refs
	for _, ref := range refs {
		e := s.Entries[ref.Name]
		if e == nil || e.Ended || e.Host.BornMs != ref.BornMs {
			continue
		}
		done++
		was := e.Listed()
		switch c.Kind {
		case Drain:
			e.Host.Health = endpoints.Draining
		case Leave, Lapse:
			s.end(e)
		case Hold:
			s.setHeld(e, true)
			e.HeldByService = c.Why == HoldService
			if s.HeldSince == 0 {
				s.HeldSince = max(s.Clock, 1)
			}
		case Seen:
			s.setHeld(e, false)
		case Admit:
			if e.Damped > 0 && s.Clock >= e.Damped {
				e.Damped = 0
			}
		}
		if e.Listed() != was {
			s.touch(e)
		}
	}
	s.settle()
	if done == 0 && len(refs) == 1 {
		e := s.Entries[refs[0].Name]
		if e != nil && e.Host.BornMs > refs[0].BornMs {
			return s.result(Superseded, fmt.Sprintf("%s was born later, at %.0f", refs[0].Name, e.Host.BornMs))
		}
		return s.result(Unknown, fmt.Sprintf("no server %s that was born at %.0f", refs[0].Name, refs[0].BornMs))
	}
	return s.result(Done, "")
}

// settle ends the guard's hold when nothing is held any more.
func (s *State) settle() {
	if s.held == 0 {
		s.HeldSince = 0
	}
}

// setHeld marks an entry as held or not, and counts it.
func (s *State) setHeld(e *Entry, held bool) {
	switch {
	case held && !e.Held:
		s.held++
	case !held && e.Held:
		s.held--
	}
	e.Held = held
	if !held {
		e.HeldByService = false
	}
}

// confirm ends what is held.
func (s *State) confirm() Result {
	for _, name := range s.Names() {
		if e := s.Entries[name]; e.Held {
			was := e.Listed()
			s.end(e)
			if e.Listed() != was {
				s.touch(e)
			}
		}
	}
	s.HeldSince = 0
	return s.result(Done, "")
}

// set takes an operator's word for a server's share or health.
func (s *State) set(c *Command) Result {
	e := s.Entries[c.Name]
	switch {
	case e == nil || e.Ended:
		return s.result(Unknown, fmt.Sprintf("no server %s", c.Name))
	case c.Share != nil && !endpoints.IsShare(*c.Share):
		return s.result(Invalid, "share: must be 0 or above and at most 1e6")
	case c.Health != nil && *c.Health != "" && *c.Health != endpoints.Ready && *c.Health != endpoints.Draining:
		return s.result(Invalid, fmt.Sprintf("health: must be ready, draining or empty, is %q", *c.Health))
	case c.If != 0 && c.If != e.Version:
		return s.result(Conflict, fmt.Sprintf("%s has version %d", c.Name, e.Version))
	}
	if c.Share != nil {
		share := *c.Share
		e.Share = &share
	}
	if c.Health != nil {
		e.Health = *c.Health
	}
	s.touch(e)
	return s.result(Done, "")
}

// forget drops the ends of names that were long ago, with their part of the history.
func (s *State) forget() {
	dropped := false
	for name, e := range s.Entries {
		if e.Ended && s.Clock-e.EndedAt > keepGone {
			delete(s.Entries, name)
			s.raiseFloor(e.Host.Service, e.Version)
			s.removeFromService(e)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	s.boundFloors()
	// A watch from before a dropped end can't be told of it, so it gets the whole list:
	// the history begins behind the last change of what was dropped.
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.Entries[s.History[i].Name] == nil {
			s.History = slices.Clone(s.History[i+1:])
			return
		}
	}
}

// Names returns all names in order, those that ended of late included.
func (s *State) Names() []string {
	names := make([]string, 0, len(s.Entries))
	for name := range s.Entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// List is what readers get: the whole list, or what changed after a version. One that is
// older than the history, or from a future that this state never had, gets the whole list.
func (s *State) List(since int64, whole bool) endpoints.List {
	l := endpoints.List{Seq: s.Seq, Hosts: []endpoints.Host{}}
	l.Whole = whole || since > s.Seq || since < s.oldest()
	if l.Whole {
		for _, name := range s.Names() {
			if h := s.Entries[name].Listed(); h.Health != endpoints.Gone {
				l.Hosts = append(l.Hosts, h)
			}
		}
		return l
	}
	seen := map[string]bool{}
	from := sort.Search(len(s.History), func(i int) bool { return s.History[i].Seq > since })
	for _, c := range s.History[from:] {
		if !seen[c.Name] {
			seen[c.Name] = true
			l.Hosts = append(l.Hosts, s.Entries[c.Name].Listed())
		}
	}
	return l
}

// oldest is the version from which on changes can be told one by one.
func (s *State) oldest() int64 {
	if len(s.History) == 0 {
		return s.Seq
	}
	return s.History[0].Seq - 1
}
