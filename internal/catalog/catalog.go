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

// FormatVersion is the version of commands and snapshots that this build writes and reads.
const FormatVersion = 1

// Kind names a command.
type Kind string

// The commands.
const (
	RaiseRevision      Kind = "floor"    // Seq: the version is at least that from now on
	Register           Kind = "register" // Host
	Drain              Kind = "drain"    // Refs: they complete what they hold
	Deregister         Kind = "leave"    // Refs: they have ended as planned
	ExpireRegistration Kind = "lapse"    // Refs: their leases ended
	Quarantine         Kind = "hold"     // Refs: theirs did too, but too many at once to be believed
	Recover            Kind = "seen"     // Refs: held ones that were heard again
	ConfirmRemoval     Kind = "confirm"  // an operator says that the held ones are gone
	EndDamping         Kind = "admit"    // Refs: their damping is over
	SetOverride        Kind = "set"      // Name, Share, Health, If: an operator's word
)

// QuarantineByService is the Why of a Hold whose mass failure is of one service only.
const QuarantineByService = "service"

// InstanceRef names one process of a server: its name, and when it was born.
type InstanceRef struct {
	Name      string  `json:"name"`
	StartedMs float64 `json:"born_ms"`
}

// Command is one change of the state, as it stands in the log.
type Command struct {
	FormatVersion int                 `json:"form"`
	Kind          Kind                `json:"kind"`
	At            time.Duration       `json:"at"` // the leader's elapsed time
	Seq           int64               `json:"seq,omitempty"`
	Endpoint      *endpoints.Endpoint `json:"host,omitempty"`
	Refs          []InstanceRef       `json:"refs,omitempty"`
	Name          string              `json:"name,omitempty"`
	Weight        *float64            `json:"share,omitempty"`
	Health        *string             `json:"health,omitempty"` // "" takes an operator's word back
	IfVersion     int64               `json:"if,omitempty"`     // only if the entry's version is that one; 0: in any case

	Session    *Session    `json:"session,omitempty"`
	LeasedTask *LeasedTask `json:"duty,omitempty"`
	Terms      []TermRef   `json:"ties,omitempty"`
	Member     *Member     `json:"member,omitempty"`
	Reason     string      `json:"why,omitempty"`
	// UnderTask and Fence name the term of a duty under which the command is given; it is
	// refused when that is over.
	UnderTask string `json:"under,omitempty"`
	Fence     int64  `json:"fence,omitempty"`
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
	// removedEntryRetention is how long the end of a name is remembered: for an older process of that
	// name that is heard late, and for its comings and goings.
	removedEntryRetention = 10 * time.Minute
	// A server that ended maxUndampedRemovals times within dampingWindow is kept off the list for
	// minDampingDuration, and twice as long each time more, up to maxDampingDuration.
	maxUndampedRemovals = 3
	dampingWindow       = time.Minute
	minDampingDuration  = 5 * time.Second
	maxDampingDuration  = time.Minute
)

// Entry is a server as the state knows it.
type Entry struct {
	Endpoint       endpoints.Endpoint `json:"host"` // as it was registered
	Version        int64              `json:"version"`
	WeightOverride *float64           `json:"share,omitempty"`  // an operator's
	HealthOverride string             `json:"health,omitempty"` // an operator's
	Removed        bool               `json:"ended,omitempty"`
	RemovedAt      time.Duration      `json:"ended_at,omitempty"`
	Quarantined    bool               `json:"held,omitempty"` // would have lapsed in a mass failure
	// QuarantinedByService is of a held entry: the failure is of its service alone.
	QuarantinedByService bool            `json:"held_by_service,omitempty"`
	Removals             []time.Duration `json:"ends,omitempty"`   // its last ends
	DampedUntil          time.Duration   `json:"damped,omitempty"` // unlisted until then; 0: it is not

	countedAsListed bool // it is in its service's number of listed servers
}

// Listed is the entry as readers see it. It leaves the service out: readers that know no
// services are sent the same list, byte for byte, as before entries had one.
func (e *Entry) Listed() endpoints.Endpoint {
	h := e.Endpoint
	h.Service = ""
	if e.WeightOverride != nil {
		h.Weight = *e.WeightOverride
	}
	if e.HealthOverride != "" {
		h.Health = e.HealthOverride
	}
	if e.Removed || e.DampedUntil > 0 {
		h.Health = endpoints.Removed
	}
	return h
}

// entryChange is one version's cause.
type entryChange struct {
	Seq  int64  `json:"seq"`
	Name string `json:"name"`
}

// State is all that the stewards replicate. It is not safe for concurrent use.
type State struct {
	FormatVersion int               `json:"form"`
	Seq           int64             `json:"seq"`
	Clock         time.Duration     `json:"clock"`
	Entries       map[string]*Entry `json:"entries"`
	History       []entryChange     `json:"history"`
	// QuarantinedSince is since when entries are kept that would have lapsed; 0: none is.
	QuarantinedSince time.Duration `json:"held_since,omitempty"`

	Sessions        map[string]*Session    `json:"sessions,omitempty"`
	LeasedTasks     map[string]*LeasedTask `json:"duties,omitempty"`
	Fence           int64                  `json:"fence,omitempty"` // the last that was given
	SessionRevision int64                  `json:"rev,omitempty"`   // the last revision of a session
	Members         map[string]*Member     `json:"members,omitempty"`
	// Incarnation is the last that was given.
	Incarnation int64 `json:"incarnation,omitempty"`
	// ServiceHistory is what readers of services need; snapshots from before there were services have none.
	ServiceHistory *ServiceHistory `json:"scopes,omitempty"`

	// What follows is derived from the above, and built again when a snapshot is read.
	serviceIndexes   map[string]*serviceIndex
	listedCount      int   // servers that are on the list
	quarantinedCount int   // entries that are held
	appliedCommands  int64 // commands since it was made or read
}

// New is the empty state.
func New() *State {
	return &State{FormatVersion: FormatVersion, Entries: map[string]*Entry{}, Sessions: map[string]*Session{}, LeasedTasks: map[string]*LeasedTask{}, Members: map[string]*Member{},
		ServiceHistory: &ServiceHistory{}, serviceIndexes: map[string]*serviceIndex{}}
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
	s.FormatVersion, s.ServiceHistory = 0, nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.FormatVersion != FormatVersion {
		return nil, fmt.Errorf("snapshot: form %d, this build reads form %d", s.FormatVersion, FormatVersion)
	}
	if s.Entries == nil {
		s.Entries = map[string]*Entry{}
	}
	if s.ServiceHistory == nil {
		// What changed in a service before is not known: its readers get the whole list. The
		// floor may so differ between processes that read different snapshots from before there
		// were services, until the version is raised; nothing that is decided depends on it.
		s.ServiceHistory = &ServiceHistory{MinRevision: s.Seq}
	}
	if err := errors.Join(s.checkTasks(), s.checkMembers(), s.checkServiceHistory()); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	for name, e := range s.Entries {
		if e == nil || e.Endpoint.Name != name {
			return nil, fmt.Errorf("snapshot: entry %q is not itself", name)
		}
		if err := e.Endpoint.Validate(); err != nil {
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
	s.rebuildIndexes()
	return s, nil
}

// Apply carries out one command. Time never goes back, whoever leads.
func (s *State) Apply(c *Command) Result {
	if c.FormatVersion != FormatVersion {
		return s.result(Unsupported, fmt.Sprintf("form %d, this build reads form %d", c.FormatVersion, FormatVersion))
	}
	s.Clock = max(s.Clock, c.At)
	if r, is := s.rejectStaleTerm(c); is {
		return r
	}
	if r, is := s.applyTaskCommand(c); is {
		return r
	}
	s.appliedCommands++
	switch c.Kind {
	case RaiseRevision:
		// Fences and revisions go on beyond those of another life of the state too.
		s.Fence, s.SessionRevision = max(s.Fence, c.Seq), max(s.SessionRevision, c.Seq)
		s.Incarnation = max(s.Incarnation, c.Seq)
		if c.Seq > s.Seq {
			// A reader who comes with a version below it may have it from another life of the
			// service, so no change leads on from there: it gets the whole list.
			s.Seq, s.History = c.Seq, nil
			s.resetServiceHistory(c.Seq)
		}
		return s.result(Done, "")
	case Register:
		return s.registerEndpoint(c.Endpoint)
	case Drain, Deregister, ExpireRegistration, Quarantine, Recover, EndDamping:
		return s.applyToInstances(c)
	case ConfirmRemoval:
		return s.confirmRemovals()
	case SetOverride:
		return s.setOverride(c)
	case RegisterMember:
		return s.registerMember(c.Member)
	case CheckTerm:
		return s.result(Done, "")
	}
	return s.result(Unsupported, fmt.Sprintf("unknown command %q", c.Kind))
}

func (s *State) result(code Code, text string) Result {
	return Result{Code: code, Seq: s.Seq, Text: text}
}

// recordChange gives the state its next version, which is the entry's.
func (s *State) recordChange(e *Entry) {
	s.Seq++
	e.Version = s.Seq
	if len(s.History) >= MaxHistory {
		s.History = s.History[len(s.History)-MaxHistory+1:]
	}
	s.History = append(s.History, entryChange{s.Seq, e.Endpoint.Name})
	s.indexEntry(e)
}

// registerEndpoint takes a server's word for itself. The process that was born last has the name.
func (s *State) registerEndpoint(h *endpoints.Endpoint) Result {
	if h == nil {
		return s.result(Invalid, "no entry")
	}
	if err := h.Validate(); err != nil {
		return s.result(Invalid, err.Error())
	}
	if h.Health == endpoints.Removed {
		return s.result(Invalid, "health: a server that is gone doesn't register")
	}
	e := s.Entries[h.Name]
	if e == nil {
		if len(s.Entries) >= MaxEntries {
			s.pruneRemovedEntries()
		}
		if len(s.Entries) >= MaxEntries {
			return s.result(TooMany, fmt.Sprintf("%d names, which is all there is room for", MaxEntries))
		}
		e = &Entry{Endpoint: *h}
		s.Entries[h.Name] = e
		s.recordChange(e)
		return s.result(Done, "")
	}
	if e.Endpoint.StartedMs > h.StartedMs {
		return s.result(Superseded, fmt.Sprintf("%s was born later, at %.0f", h.Name, e.Endpoint.StartedMs))
	}
	was := e.Listed()
	left, moves := e.Endpoint.Service, e.Endpoint.Service != h.Service
	again := e.Removed
	if !e.Removed && e.Endpoint.StartedMs < h.StartedMs {
		s.markRemoved(e) // the process before ended and nobody noticed
		again = true
	}
	s.setQuarantined(e, false)
	if moves {
		s.removeFromService(e)
	}
	e.Endpoint, e.Removed, e.RemovedAt = *h, false, 0
	if again {
		e.DampedUntil = s.dampingEnd(e)
	}
	s.clearQuarantineIfEmpty()
	if e.Listed() != was || again && e.DampedUntil == 0 || moves {
		s.recordChange(e)
	}
	if moves {
		s.recordDeparture(Departure{Seq: s.Seq, Name: h.Name, Service: left})
		s.limitMinRevisions()
	}
	r := s.result(Done, "")
	if e.DampedUntil > 0 {
		r.DampedFor = e.DampedUntil - s.Clock
	}
	return r
}

// markRemoved notes the markRemoved of an entry's process.
func (s *State) markRemoved(e *Entry) {
	s.setQuarantined(e, false)
	e.Removed, e.RemovedAt = true, s.Clock
	e.Removals = append(e.Removals, s.Clock)
	if most := maxUndampedRemovals + 5; len(e.Removals) > most {
		e.Removals = e.Removals[len(e.Removals)-most:]
	}
}

// dampingEnd tells until when a server that came back stays unlisted; 0: it is listed at once.
func (s *State) dampingEnd(e *Entry) time.Duration {
	n := 0
	for _, at := range e.Removals {
		if s.Clock-at <= dampingWindow {
			n++
		}
	}
	if n <= maxUndampedRemovals {
		return 0
	}
	return s.Clock + min(minDampingDuration<<(n-maxUndampedRemovals-1), maxDampingDuration)
}

// applyToInstances carries out a command on the processes that it names; one that has been replaced
// or has ended meanwhile is passed over.
func (s *State) applyToInstances(c *Command) Result {
	done, refs := 0, c.Refs
	for _, ref := range refs {
		e := s.Entries[ref.Name]
		if e == nil || e.Removed || e.Endpoint.StartedMs != ref.StartedMs {
			continue
		}
		done++
		was := e.Listed()
		switch c.Kind {
		case Drain:
			e.Endpoint.Health = endpoints.Draining
		case Deregister, ExpireRegistration:
			s.markRemoved(e)
		case Quarantine:
			s.setQuarantined(e, true)
			e.QuarantinedByService = c.Reason == QuarantineByService
			if s.QuarantinedSince == 0 {
				s.QuarantinedSince = max(s.Clock, 1)
			}
		case Recover:
			s.setQuarantined(e, false)
		case EndDamping:
			if e.DampedUntil > 0 && s.Clock >= e.DampedUntil {
				e.DampedUntil = 0
			}
		}
		if e.Listed() != was {
			s.recordChange(e)
		}
	}
	s.clearQuarantineIfEmpty()
	if done == 0 && len(refs) == 1 {
		e := s.Entries[refs[0].Name]
		if e != nil && e.Endpoint.StartedMs > refs[0].StartedMs {
			return s.result(Superseded, fmt.Sprintf("%s was born later, at %.0f", refs[0].Name, e.Endpoint.StartedMs))
		}
		return s.result(Unknown, fmt.Sprintf("no server %s that was born at %.0f", refs[0].Name, refs[0].StartedMs))
	}
	return s.result(Done, "")
}

// clearQuarantineIfEmpty ends the guard's hold when nothing is held any more.
func (s *State) clearQuarantineIfEmpty() {
	if s.quarantinedCount == 0 {
		s.QuarantinedSince = 0
	}
}

// setQuarantined marks an entry as held or not, and counts it.
func (s *State) setQuarantined(e *Entry, held bool) {
	switch {
	case held && !e.Quarantined:
		s.quarantinedCount++
	case !held && e.Quarantined:
		s.quarantinedCount--
	}
	e.Quarantined = held
	if !held {
		e.QuarantinedByService = false
	}
}

// confirmRemovals ends what is held.
func (s *State) confirmRemovals() Result {
	for _, name := range s.EntryNames() {
		if e := s.Entries[name]; e.Quarantined {
			was := e.Listed()
			s.markRemoved(e)
			if e.Listed() != was {
				s.recordChange(e)
			}
		}
	}
	s.QuarantinedSince = 0
	return s.result(Done, "")
}

// setOverride takes an operator's word for a server's share or health.
func (s *State) setOverride(c *Command) Result {
	e := s.Entries[c.Name]
	switch {
	case e == nil || e.Removed:
		return s.result(Unknown, fmt.Sprintf("no server %s", c.Name))
	case c.Weight != nil && !endpoints.IsWeight(*c.Weight):
		return s.result(Invalid, "share: must be 0 or above and at most 1e6")
	case c.Health != nil && *c.Health != "" && *c.Health != endpoints.Ready && *c.Health != endpoints.Draining:
		return s.result(Invalid, fmt.Sprintf("health: must be ready, draining or empty, is %q", *c.Health))
	case c.IfVersion != 0 && c.IfVersion != e.Version:
		return s.result(Conflict, fmt.Sprintf("%s has version %d", c.Name, e.Version))
	}
	if c.Weight != nil {
		share := *c.Weight
		e.WeightOverride = &share
	}
	if c.Health != nil {
		e.HealthOverride = *c.Health
	}
	s.recordChange(e)
	return s.result(Done, "")
}

// pruneRemovedEntries drops the ends of names that were long ago, with their part of the history.
func (s *State) pruneRemovedEntries() {
	dropped := false
	for name, e := range s.Entries {
		if e.Removed && s.Clock-e.RemovedAt > removedEntryRetention {
			delete(s.Entries, name)
			s.raiseMinRevision(e.Endpoint.Service, e.Version)
			s.removeFromService(e)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	s.limitMinRevisions()
	// A watch from before a dropped end can't be told of it, so it gets the whole list:
	// the history begins behind the last change of what was dropped.
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.Entries[s.History[i].Name] == nil {
			s.History = slices.Clone(s.History[i+1:])
			return
		}
	}
}

// EntryNames returns all names in order, those that ended of late included.
func (s *State) EntryNames() []string {
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
	l := endpoints.List{Seq: s.Seq, Endpoints: []endpoints.Endpoint{}}
	l.Full = whole || since > s.Seq || since < s.oldestRevision()
	if l.Full {
		for _, name := range s.EntryNames() {
			if h := s.Entries[name].Listed(); h.Health != endpoints.Removed {
				l.Endpoints = append(l.Endpoints, h)
			}
		}
		return l
	}
	seen := map[string]bool{}
	from := sort.Search(len(s.History), func(i int) bool { return s.History[i].Seq > since })
	for _, c := range s.History[from:] {
		if !seen[c.Name] {
			seen[c.Name] = true
			l.Endpoints = append(l.Endpoints, s.Entries[c.Name].Listed())
		}
	}
	return l
}

// oldestRevision is the version from which on changes can be told one by one.
func (s *State) oldestRevision() int64 {
	if len(s.History) == 0 {
		return s.Seq
	}
	return s.History[0].Seq - 1
}
