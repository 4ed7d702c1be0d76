package catalog

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateFleet runs a fleet of 30 servers of which the failed ones stop renewing at once. It returns
// the number of servers that remain listed after the ticks, of 500 ms each, the state, and the leases.
func simulateFleet(failed func(i int) bool, ticks int) (remaining int, s *State, l *RegistrationLeases) {
	return simulateServices(func(int) string { return "" }, failed, ticks)
}

// simulateServices is like simulateFleet, with a service for each server.
func simulateServices(service func(i int) string, failed func(i int) bool, ticks int) (remaining int, s *State, l *RegistrationLeases) {
	const n = 30
	s = New()
	c := LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}
	for i := range n {
		apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprintf("s-%02d", i), 1, service(i))})
	}
	l = NewRegistrationLeases(c, s, 0)
	for tick := range ticks {
		now := time.Duration(tick) * 500 * time.Millisecond
		for i := range n {
			// Each server renews every 2 s, at its own offset; failed servers stop after 10 s.
			if (tick+i)%4 == 0 && (!failed(i) || now < 10*time.Second) {
				l.Renew(s, InstanceRef{fmt.Sprintf("s-%02d", i), 1}, now)
			}
		}
		applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	}
	return len(s.FullList().Endpoints), s, l
}

// applyDecision applies the commands that the leader would propose for a decision.
func applyDecision(s *State, now time.Duration, d Decision) {
	for _, c := range []Command{
		{Kind: ExpireRegistration, Refs: d.Expire},
		{Kind: Quarantine, Refs: d.Quarantine},
		{Kind: Quarantine, Refs: d.QuarantineByService, Reason: QuarantineByService},
		{Kind: Recover, Refs: d.Recover},
		{Kind: EndDamping, Refs: d.EndDamping},
	} {
		if len(c.Refs) > 0 { // the leader proposes no empty command
			apply(s, now, c)
		}
	}
}

// TestMassFailure verifies that the servers of one zone of three expire, but that most of the fleet
// does not: it is quarantined until an operator confirms the removal or the servers renew again.
func TestMassFailure(t *testing.T) {
	t.Run("one service", func(t *testing.T) { testMassFailure(t, func(int) string { return "" }) })
	// MassFailureShare applies to the whole fleet, even if each service is too small for its own share.
	t.Run("one service per server", func(t *testing.T) { testMassFailure(t, func(i int) string { return fmt.Sprint("service-", i) }) })
}

func testMassFailure(t *testing.T, service func(i int) string) {
	if remaining, s, _ := simulateServices(service, func(i int) bool { return i%3 == 0 }, 60); remaining != 20 || s.QuarantinedSince != 0 {
		t.Errorf("one zone of three failed: %d of 30 listed, quarantined since %v", remaining, s.QuarantinedSince)
	}
	remaining, s, l := simulateServices(service, func(i int) bool { return i%10 != 0 }, 60)
	if remaining != 30 || s.QuarantinedSince == 0 {
		t.Fatalf("nine in ten servers failed: %d of 30 listed, quarantined since %v", remaining, s.QuarantinedSince)
	}
	snapshot, _ := s.Encode()
	confirmed, err := Decode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	apply(confirmed, s.Clock, Command{Kind: ConfirmRemoval})
	if n := len(confirmed.FullList().Endpoints); n != 3 || confirmed.QuarantinedSince != 0 {
		t.Errorf("after the confirmation: %d listed", n)
	}
	now := 31 * time.Second
	for i := range 30 {
		if code := l.Renew(s, InstanceRef{fmt.Sprintf("s-%02d", i), 1}, now); code != Done {
			t.Errorf("renewal of a quarantined server: %s", code)
		}
	}
	revision := s.Seq
	applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	if s.QuarantinedSince != 0 || s.Seq != revision || len(s.FullList().Endpoints) != 30 {
		t.Errorf("after renewals: quarantined since %v, revision %d after %d", s.QuarantinedSince, s.Seq, revision)
	}
}

// TestNewLeaderExtendsLeases verifies that a new leader gives every lease its full TTL, however
// old the last renewal is.
func TestNewLeaderExtendsLeases(t *testing.T) {
	_, s, _ := simulateFleet(func(int) bool { return false }, 8)
	now := 100 * time.Second
	l := NewRegistrationLeases(LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 1, MassFailureWindow: time.Second}, s, now)
	if d := l.Decide(s, now+6*time.Second-1, ExpireByLeaseOnly); !d.Empty() {
		t.Errorf("before the full TTL: %+v", d)
	}
	if d := l.Decide(s, now+6*time.Second, ExpireByLeaseOnly); len(d.Expire) != 30 {
		t.Errorf("after the full TTL: %+v", d)
	}
}

// TestEvidence verifies for each kind of evidence from other processes whether a server with a late or
// expired lease expires.
func TestEvidence(t *testing.T) {
	const ttl = 6 * time.Second
	for _, c := range []struct {
		name                string
		sinceRenewal        time.Duration
		evidence            FailureEvidence
		expires             bool
		retained, undecided int
	}{
		{"not late", ttl / 2, Failed, false, 0, 0},
		{"late and failed", ttl/2 + 1, Failed, true, 0, 0},
		{"late and alive", ttl/2 + 1, Alive, false, 0, 0},
		{"late and inconclusive", ttl - 1, Inconclusive, false, 0, 0},
		{"expired and failed", ttl, Failed, true, 0, 0},
		{"expired and alive", ttl, Alive, false, 1, 0},
		{"expired and inconclusive", ttl, Inconclusive, false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l := serviceFleet(map[string]int{"a": 10})
			lateServer := InstanceRef{"a-3", 1}
			for name := range s.Entries {
				if name != lateServer.Name {
					l.Renew(s, InstanceRef{name, 1}, c.sinceRenewal)
				}
			}
			d := l.Decide(s, c.sinceRenewal, func(ref InstanceRef, expired bool) FailureEvidence {
				if ref != lateServer || expired != (c.sinceRenewal >= ttl) {
					t.Errorf("evidence requested for %v with expired %v", ref, expired)
				}
				return c.evidence
			})
			if expires := reflect.DeepEqual(d, Decision{Expire: []InstanceRef{lateServer}}); expires != c.expires || !expires && !d.Empty() {
				t.Errorf("decision %+v, want expiry %v", d, c.expires)
			}
			if l.Retained != c.retained || l.Undecided != c.undecided {
				t.Errorf("%d retained and %d undecided, want %d and %d", l.Retained, l.Undecided, c.retained, c.undecided)
			}
		})
	}
}

// serviceFleet returns a state with services of the given sizes, and the leases of their servers.
func serviceFleet(sizes map[string]int) (*State, *RegistrationLeases) {
	s := New()
	for service, size := range sizes {
		for i := range size {
			apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprintf("%s-%d", service, i), 1, service)})
		}
	}
	return s, NewRegistrationLeases(LeaseConfig{TTL: 6 * time.Second, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}, s, 0)
}

// runLeases renews all servers except the failed ones every 2 s, and applies all decisions.
func runLeases(s *State, l *RegistrationLeases, from, to time.Duration, failed func(name string) bool) {
	for now := from; now < to; now += 500 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			for name, e := range s.Entries {
				if !e.Removed && !failed(name) {
					l.Renew(s, InstanceRef{name, e.Endpoint.StartedMs}, now)
				}
			}
		}
		applyDecision(s, now, l.Decide(s, now, ExpireByLeaseOnly))
	}
}

// TestQuarantineByService verifies that the servers of a service are quarantined if most of them stop
// renewing while other services do not, and that single servers of other services, and small
// services, still expire.
func TestQuarantineByService(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 20, "b": 60, "c": 4, "one": 1})
	failed := func(name string) bool {
		return strings.HasPrefix(name, "a-") && name != "a-0" || name == "b-1" || strings.HasPrefix(name, "c-") || name == "one-0"
	}
	runLeases(s, l, 0, 30*time.Second, failed)
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 59 || got["c"] != 0 || got["one"] != 0 {
		t.Fatalf("listed by service: %v", got)
	}
	if s.QuarantinedSince == 0 || !s.Entries["a-1"].QuarantinedByService || s.Entries["a-0"].Quarantined {
		t.Errorf("quarantined since %v: %+v", s.QuarantinedSince, s.Entries["a-1"])
	}
	// While the service is quarantined, servers of the others expire.
	runLeases(s, l, 30*time.Second, 60*time.Second, func(name string) bool { return failed(name) || name == "b-2" })
	if got := s.ServiceSizes(); got["a"] != 20 || got["b"] != 58 {
		t.Errorf("while one service is quarantined, listed by service: %v", got)
	}
	text, _ := s.Encode()
	confirmed, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	apply(confirmed, s.Clock, Command{Kind: ConfirmRemoval})
	if got := confirmed.ServiceSizes(); got["a"] != 1 || confirmed.QuarantinedSince != 0 {
		t.Errorf("after the confirmation, listed by service: %v", got)
	}
	runLeases(s, l, 60*time.Second, 64*time.Second, func(name string) bool { return name == "b-1" })
	if got := s.ServiceSizes(); got["a"] != 20 || s.QuarantinedSince != 0 || s.Entries["a-1"].QuarantinedByService {
		t.Errorf("after renewals, listed by service: %v, quarantined since %v", got, s.QuarantinedSince)
	}
}

// TestQuarantineByServiceWithinWindow verifies that a service loses at most its share within a
// window, even if its servers fail one after the other.
func TestQuarantineByServiceWithinWindow(t *testing.T) {
	s, l := serviceFleet(map[string]int{"a": 10, "b": 90})
	failed := 0
	for at := time.Duration(0); at < 16*time.Second; at += 2 * time.Second { // one more server fails every 2 s
		failed++
		runLeases(s, l, at, at+2*time.Second, func(name string) bool {
			for i := range failed {
				if name == fmt.Sprint("a-", i) {
					return true
				}
			}
			return false
		})
	}
	if remaining := s.ServiceSize("a"); remaining < 6 || s.QuarantinedSince == 0 {
		t.Errorf("%d of 10 servers listed within a window, quarantined since %v", remaining, s.QuarantinedSince)
	}
}

// TestSkippedDecisionsFindNothing verifies that a decision that skips the scan is the same as with the
// scan, and that decisions do skip the scan.
func TestSkippedDecisionsFindNothing(t *testing.T) {
	skipped := 0
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		c := LeaseConfig{TTL: 6 * time.Second, MassFailureShare: rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "mass failure share"), MassFailureWindow: 10 * time.Second}
		skips, scans := NewRegistrationLeases(c, s, 0), NewRegistrationLeases(c, s, 0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				cmd := drawCommand(t, now)
				s.Apply(&cmd)
			case 1, 2, 3:
				ref := InstanceRef{fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(t, "name")), float64(rapid.IntRange(0, 4).Draw(t, "started"))}
				if a, b := skips.Renew(s, ref, now), scans.Renew(s, ref, now); a != b {
					t.Fatalf("renewal: %q, %q", a, b)
				}
			}
			if skips.canSkipScan(s, now) {
				skipped++
			}
			scans.scannedState = nil
			if got, want := skips.Suspected(s, now), scans.Suspected(s, now); len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("at %v the suspects are %v, with a scan %v", now, got, want)
			}
			got, want := skips.Decide(s, now, ExpireByLeaseOnly), scans.Decide(s, now, ExpireByLeaseOnly)
			if !reflect.DeepEqual(got, want) || skips.Retained != scans.Retained || skips.Undecided != scans.Undecided {
				t.Fatalf("at %v the decision is %+v, with a scan %+v", now, got, want)
			}
			applyDecision(s, now, got)
		}
	})
	if skipped == 0 {
		t.Error("no decision skipped the scan")
	}
	s, l := serviceFleet(map[string]int{"a": 20})
	scanned := 0
	for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
		if now%(2*time.Second) == 0 {
			for name := range s.Entries {
				l.Renew(s, InstanceRef{name, 1}, now)
			}
		}
		if !l.canSkipScan(s, now) {
			scanned++
		}
		if d := l.Decide(s, now, ExpireByLeaseOnly); !d.Empty() {
			t.Fatalf("unexpected decision: %+v", d)
		}
	}
	if scanned > 60 {
		t.Errorf("scanned all servers %d times in a minute in which all renew", scanned)
	}
}

// largestFleet returns a fleet of the maximum planned size: 39,000 servers in 1,900 services, of which
// the first has 5,000 servers.
func largestFleet(tb testing.TB) (*State, *RegistrationLeases) {
	tb.Helper()
	s := New()
	for i := range 39_000 {
		service := "service-0"
		if i >= 5000 {
			service = fmt.Sprint("service-", 1+i%1899)
		}
		if r := apply(s, 0, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprintf("server-%05d", i), 1, service)}); r.Code != Done {
			tb.Fatalf("server %d: %+v", i, r)
		}
	}
	return s, NewRegistrationLeases(LeaseConfig{TTL: time.Hour, MassFailureShare: 0.4, MassFailureWindow: 10 * time.Second}, s, 0)
}

// TestLargestFleetFits verifies that the state has the capacity for the largest fleet while all
// names of a region are replaced at once, and that its snapshot can be decoded.
func TestLargestFleetFits(t *testing.T) {
	s, _ := largestFleet(t)
	const region = 6500
	for i := range region {
		apply(s, time.Second, Command{Kind: Deregister, Refs: refs(fmt.Sprintf("server-%05d", i), 1)})
	}
	since := s.Seq
	for i := range region {
		if r := apply(s, time.Second, Command{Kind: Register, Endpoint: endpointInService(fmt.Sprint("next-", i), 2, "service-0")}); r.Code != Done {
			t.Fatalf("replacement %d: %+v", i, r)
		}
	}
	if l := s.ListSince(since - region); l.Full || len(l.Endpoints) != 2*region {
		t.Errorf("loss and return of a region: %d changes, full list %v", len(l.Endpoints), l.Full)
	}
	text, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if again.ListedCount() != 39_000 || !reflect.DeepEqual(again.FullServiceList([]string{"service-0"}), s.FullServiceList([]string{"service-0"})) {
		t.Errorf("%d listed after a snapshot", again.ListedCount())
	}
	t.Logf("snapshot of %d bytes", len(text))
}

// BenchmarkLargestFleet measures single operations on the state and the leases of the largest fleet.
func BenchmarkLargestFleet(b *testing.B) {
	s, l := largestFleet(b)
	twentyServices := make([]string, 20)
	for i := range twentyServices {
		twentyServices[i] = fmt.Sprint("service-", i+1)
	}
	operations := []struct {
		name string
		run  func()
	}{
		{"FullList", func() { s.FullList() }},
		{"FullListOf20Services", func() { s.FullServiceList(twentyServices) }},
		{"ChangesOf20Services", func() { s.ServiceListSince(twentyServices, s.Seq-10) }},
		{"ChangedServices", func() { s.ChangedServices(s.Seq - 10) }},
		{"Decide", func() { l.scannedState = nil; l.Decide(s, time.Second, ExpireByLeaseOnly) }},
		{"DecideWithoutScan", func() { l.Decide(s, time.Second, ExpireByLeaseOnly) }},
		{"Suspected", func() { l.scannedState = nil; l.Suspected(s, time.Second) }},
		{"Names", func() { s.EntryNames() }},
		{"Encode", func() { _, _ = s.Encode() }},
		{"RegisterAgain", func() {
			h := s.Entries["server-00007"].Endpoint
			h.StartedMs++
			s.Clock += time.Hour
			apply(s, s.Clock, Command{Kind: Register, Endpoint: &h})
		}},
		{"RecoverWhileQuarantined", func() {
			if s.QuarantinedSince == 0 {
				apply(s, s.Clock, Command{Kind: Quarantine, Refs: refs("server-00001", 1)})
			}
			apply(s, s.Clock, Command{Kind: Recover, Refs: refs("server-00002", 1)})
		}},
	}
	for _, operation := range operations {
		b.Run(operation.name, func(b *testing.B) {
			for b.Loop() {
				operation.run()
			}
		})
	}
}
