package catalog

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"knotrouter/internal/endpoints"
)

// endpoint returns the registration of a server in the default service.
func endpoint(name string, startedMs float64) *endpoints.Endpoint {
	return &endpoints.Endpoint{Name: name, Dial: "127.0.0.1:80", Site: "a", Class: "k", Health: endpoints.Ready, Weight: 1, StartedMs: startedMs}
}

// endpointInService returns the registration of a server in a service.
func endpointInService(name string, startedMs float64, service string) *endpoints.Endpoint {
	e := endpoint(name, startedMs)
	e.Service = service
	return e
}

// apply applies a command of the current format at the leader's time at.
func apply(s *State, at time.Duration, c Command) Result {
	c.FormatVersion, c.At = FormatVersion, at
	return s.Apply(&c)
}

// refs returns a list with a reference to a single instance.
func refs(name string, startedMs float64) []InstanceRef { return []InstanceRef{{name, startedMs}} }

// listed returns the full list as one line of text.
func listed(s *State) string {
	var servers []string
	for _, e := range s.FullList().Endpoints {
		servers = append(servers, fmt.Sprintf("%s %s %g %g", e.Name, e.Health, e.Weight, e.StartedMs))
	}
	return strings.Join(servers, ", ")
}

// drawCommand draws a random command on servers, valid or not.
func drawCommand(t *rapid.T, at time.Duration) Command {
	c := Command{FormatVersion: FormatVersion, At: at, Kind: rapid.SampledFrom([]Kind{Register, Register, Register, RaiseRevision, Drain, Deregister, ExpireRegistration,
		Quarantine, Recover, ConfirmRemoval, EndDamping, SetOverride, "nonsense"}).Draw(t, "kind")}
	name := func() string { return fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "name")) }
	startedMs := func() float64 { return float64(rapid.IntRange(0, 4).Draw(t, "started")) }
	switch c.Kind {
	case Register:
		c.Endpoint = endpoint(name(), startedMs())
		c.Endpoint.Health = rapid.SampledFrom([]string{endpoints.Ready, endpoints.Ready, endpoints.Draining, endpoints.Removed, "odd"}).Draw(t, "health")
	case RaiseRevision:
		c.Seq = int64(rapid.IntRange(0, 200).Draw(t, "revision"))
	case SetOverride:
		c.Name = name()
		weight := rapid.Float64Range(-1, 3).Draw(t, "weight")
		health := rapid.SampledFrom([]string{"", endpoints.Draining, "odd"}).Draw(t, "health")
		c.Weight, c.Health, c.IfVersion = &weight, &health, int64(rapid.IntRange(0, 3).Draw(t, "if"))
	default:
		for range rapid.IntRange(0, 3).Draw(t, "refs") {
			c.Refs = append(c.Refs, InstanceRef{name(), startedMs()})
		}
	}
	return c
}

// drawTaskCommand draws a random command on sessions and tasks, valid or not.
func drawTaskCommand(t *rapid.T, s *State, at time.Duration) Command {
	c := Command{FormatVersion: FormatVersion, At: at, Kind: rapid.SampledFrom([]Kind{OpenSession, OpenSession, CloseSession, DrainSession, DefineTask, DefineTask, DeleteTask, GrantTerm, GrantTerm, GrantTerm,
		ExpireTerm, ReleaseTerm, TransferTask, AcceptTransfer, RevokeTerm, Suspend, Resume, RaiseRevision, SetOverride}).Draw(t, "kind")}
	process := func() string { return fmt.Sprint("p-", rapid.IntRange(0, 3).Draw(t, "process")) }
	id := func(p string) string { return fmt.Sprint(p, "-", rapid.IntRange(0, 1).Draw(t, "incarnation")) }
	name := func() string { return fmt.Sprint("d-", rapid.IntRange(0, 3).Draw(t, "task")) }
	fence := func() int64 { return int64(rapid.IntRange(0, 12).Draw(t, "fence")) }
	switch c.Kind {
	case OpenSession, CloseSession, DrainSession:
		p := process()
		c.Session = &Session{Process: p, ID: id(p), MaxTasks: rapid.IntRange(-1, 3).Draw(t, "cap")}
	case DefineTask:
		c.LeasedTask = &LeasedTask{Name: name(), TTL: rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, time.Hour}).Draw(t, "ttl")}
	case DeleteTask, RevokeTerm, Suspend, Resume:
		c.Name = name()
	case RaiseRevision:
		c.Seq = int64(rapid.IntRange(0, 8).Draw(t, "revision"))
	case SetOverride:
		weight := 1.0
		c.Name, c.Weight, c.UnderTask, c.Fence = "s", &weight, name(), fence()
	default:
		for range rapid.IntRange(0, 3).Draw(t, "terms") {
			p := process()
			term := TermRef{Name: name(), Process: p, Session: id(p), Fence: fence(), CountDeath: rapid.Bool().Draw(t, "count death")}
			if task := s.LeasedTasks[term.Name]; task != nil && rapid.Bool().Draw(t, "current") {
				term.Fence, term.Session = task.Fence, task.Session
			}
			c.Terms = append(c.Terms, term)
		}
		c.Reason = rapid.SampledFrom([]string{"", ReasonFailed, ReasonTransferred}).Draw(t, "reason")
	}
	return c
}
