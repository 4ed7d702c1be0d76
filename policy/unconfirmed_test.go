package policy

import "testing"

// Once part of a list has arrived, servers that this part does not show as ready get nothing after half of the
// drain grace, until a complete list arrives. Servers that the part shows as ready still get requests; a server
// that it shows as draining gets no requests from then on.
func TestUnconfirmedServersGetNoRequests(t *testing.T) {
	entry := func(i int, h Health) Entry { return Entry{Server: Addr{byte(i)}, Health: h, Weight: 1} }
	const grace = 500.0
	for _, c := range []struct {
		name    string
		part    []Entry
		then    func(r *rig) // called 10 ms after the part arrived
		at      float64      // time of the check after the part arrived, in ms
		sendsTo []int
	}{
		{"before half the grace", nil, nil, grace/2 - 20, []int{1, 2, 3}},
		{"after half the grace", nil, nil, grace/2 + 20, nil},
		{"one server is confirmed", []Entry{entry(2, Ready)}, nil, grace, []int{2}},
		{"one server drains", []Entry{entry(1, Draining)}, nil, 20, []int{2, 3}},
		{"a complete list arrived", nil, func(r *rig) { r.handleList(ListChange) }, grace, []int{1, 2, 3}},
		{"a call failed", nil, func(r *rig) { r.handleList(ListFailed) }, grace, nil},
		{"discovery changed", nil, func(r *rig) { r.handleList(ListSourceChanged) }, grace, nil},
		{"another part shows other servers", []Entry{entry(2, Ready)}, func(r *rig) { r.handleList(ListPartial, entry(3, Ready)) }, grace, []int{3}},
		{"nothing arrived for long", nil, nil, maxUnconfirmedMs + 20, []int{1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Membership, set.Contract.DrainGraceMs = "on_request", grace
			r := newRig(t, set, 1)
			r.handleList(ListFull, entry(1, Ready), entry(2, Ready), entry(3, Ready))
			r.handleList(ListPartial, c.part...)
			began := r.now
			if c.then != nil {
				r.now += 10
				c.then(r)
			}
			r.b.now = began + c.at
			want := map[Addr]bool{}
			for _, i := range c.sendsTo {
				want[Addr{byte(i)}] = true
			}
			request := &request{class: 0, deadline: r.b.now + 1000}
			for _, s := range r.b.servers {
				if got := r.b.maySend(request, s); got != want[s.addr] {
					t.Errorf("may send to %v: %v", s.addr[0], got)
				}
			}
		})
	}
}

// After half of the drain grace, attempts to unconfirmed servers of which no byte has been written are
// withdrawn, and the full list is fetched if the stalled call is still open.
func TestAttemptsAtUnconfirmedServersAreWithdrawn(t *testing.T) {
	for _, ended := range []bool{false, true} {
		set := testSettings()
		set.Membership, set.Contract.DrainGraceMs = "on_request", 500
		r := newRig(t, set, 1)
		a, b := Entry{Server: Addr{1}, Health: Ready, Weight: 1}, Entry{Server: Addr{2}, Health: Ready, Weight: 1}
		r.handleList(ListFull, a, b)
		timer := find(r.handle(Event{Kind: EvList, List: ListPartial, Entries: []Entry{a}, AgeMs: 100}), ActTimer)
		if timer == nil || timer.Token != confirmationToken || timer.Ms != 150 {
			t.Fatalf("timer %+v, want one in 150 ms", timer)
		}
		if ended {
			if again := find(r.handleList(ListFailed), ActTimer); again == nil || again.Ms > servedWatchBackoff {
				t.Fatalf("next call: %+v", again)
			}
		}
		r.now += 150
		actions := r.handle(Event{Kind: EvTimer, Token: confirmationToken})
		withdrawn := find(actions, ActWithdraw)
		if withdrawn == nil || withdrawn.Server != b.Server {
			t.Errorf("withdrew %+v, want the attempts to the unconfirmed server", withdrawn)
		}
		if fetched := find(actions, ActFetchList) != nil; fetched == ended {
			t.Errorf("call ended %v: full list fetched: %v", ended, fetched)
		}
	}
}
