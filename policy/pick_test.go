package policy

import "testing"

func TestEmptyTopTierFallsBackToLowerTier(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 2 {
		id, s := r.mustSend(1, 3)
		r.outcome(id, 0, s, Error, 5)
	}
	if _, s := r.mustSend(0, 3); s == (Addr{}) {
		t.Error("the request was not sent although all servers are Unhealthy")
	}
}

// Queued requests that wait for the servers of their key must not keep other requests from servers with
// capacity, as they did in the cases i8d4be0 and ifafc7b.
func TestWaitForAffinityBlocksNoOtherRequest(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	for range 30 {
		r.request(0, 42) // one key: its two servers fill up, the other requests are queued
	}
	if len(r.b.queued) == 0 {
		t.Fatal("no request is queued, so the test checks nothing")
	}
	sentCount := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := r.request(0, key); find(actions, ActSend) != nil {
			sentCount++
		}
	}
	if sentCount == 0 {
		t.Error("requests for idle servers were blocked by a popular key")
	}
}

// Crossing zones costs time and has a price: the local zone gets more than its servers' share of many keys, but
// the servers of the other zone are used as well.
func TestLocalZoneIsPreferredByKey(t *testing.T) {
	r := newRig(t, testSettings(), 6) // servers alternate between zones 0 and 1; the agent is in zone 0
	own, used, keyCount := 0, map[Addr]bool{}, 600
	for key := range uint64(keyCount) {
		id, s := r.mustSend(0, splitMix64(key+1))
		r.outcome(id, 0, s, OK, 20)
		used[s] = true
		if r.b.serversByAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(keyCount); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("the local zone got %.2f of the keys, over %d servers in total; want about 0.6 over 6", share, len(used))
	}
}

// A popular key is split if there are many agents: in case id753de, with one request of each agent in
// flight, such a key put twenty times the mean load on one server. With few agents the load cap is sufficient, and
// a rare key is not split.
func TestPopularKeyIsSplitInLargeFleets(t *testing.T) {
	for _, c := range []struct {
		agents, every    int
		minimum, maximum int
	}{
		{1000, 4, 5, 40},  // a quarter of the traffic, many agents: split
		{2, 4, 1, 1},      // a quarter of the traffic, two agents: the load cap is sufficient
		{1000, 150, 1, 1}, // rare: one server keeps it warm
	} {
		set := testSettings()
		set.Replicas = c.agents
		r := newRig(t, set, 40)
		used := map[Addr]bool{}
		for i := range 1200 {
			r.now += 20
			key := uint64(1000 + i)
			if i%c.every == 0 {
				key = 7
			}
			id, s := r.mustSend(0, key)
			if key == 7 && i > keyHistory {
				used[s] = true
			}
			r.outcome(id, 0, s, OK, 20)
		}
		if len(used) < c.minimum || len(used) > c.maximum {
			t.Errorf("%d agents, one request in %d: the key used %d servers, want %d to %d",
				c.agents, c.every, len(used), c.minimum, c.maximum)
		}
	}
}

// An agent with few requests uses a subset of the servers, to each of which it sends often. In case
// id753de, such an agent sent to each of hundreds of servers once a minute. Subsets differ between agents, so that each
// server gets its share; a failed server of a subset is replaced. An agent with many requests uses the whole
// fleet.
func TestAgentsWithFewRequestsKeepToASubset(t *testing.T) {
	for _, c := range []struct {
		intervalMs       float64 // ms between requests
		minimum, maximum int
	}{{400, minSubsetSize, 16}, {4, 50, 60}} {
		all := map[Addr]int{}
		for index := range 30 {
			set := testSettings()
			set.Limits.KeepaliveMs, set.Replicas, set.Index = 10000, 1000, index
			set.Prices.Handshake = 0.1
			r := newRig(t, set, 60)
			r.b.eject(r.b.servers[0], true)
			used := map[Addr]bool{}
			for range 300 {
				r.now += c.intervalMs
				r.b.servers[0].stateSince = r.now // keep the server Unhealthy
				id, s := r.mustSend(0, r.b.rng.Uint64())
				r.outcome(id, 0, s, OK, 3)
				if used[s] = true; s == r.b.servers[0].addr {
					t.Fatal("an Unhealthy server of the subset was not replaced")
				}
			}
			if len(used) < c.minimum || len(used) > c.maximum {
				t.Fatalf("with a request every %.0f ms, %d servers were used, want %d to %d", c.intervalMs, len(used), c.minimum, c.maximum)
			}
			for s := range used {
				all[s]++
			}
		}
		if len(all) < 58 {
			t.Errorf("30 agents together used %d of 60 servers", len(all))
		}
	}
}

// If crossing zones has a price, about half of a subset is in the agent's own zone, however many zones
// there are, and most requests stay in it; all agents together still use all servers.
func TestSubsetPrefersTheLocalZone(t *testing.T) {
	for _, c := range []struct {
		zones   int
		price   float64
		minimum float64 // fraction of the requests that stay in their zone
		maximum float64
	}{{1, 0.1, 1, 1}, {2, 0.1, 0.7, 1}, {6, 0.1, 0.6, 0.95}, {6, 0, 0.1, 0.4}} {
		const agents, servers, requestsPerAgent = 60, 120, 100
		own, all := 0, map[Addr]bool{}
		for i := range agents {
			set := largeFleetSettings()
			set.Index, set.Replicas, set.Zone = i, agents, i%c.zones
			set.Limits.KeepaliveMs, set.Prices.Handshake, set.Prices.CrossZone = 10000, 0.1, c.price
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			r, zone := &rig{t: t, b: b, now: 1e6}, map[Addr]int{}
			entries := make([]Entry, servers)
			for s := range entries {
				entries[s] = Entry{Server: addr(s), Health: Ready, Weight: 1, Zone: s % c.zones}
				zone[addr(s)] = s % c.zones
			}
			r.handleList(ListCached, entries...)
			for range requestsPerAgent {
				r.now += 100
				id, s := r.mustSend(0, b.rng.Uint64())
				r.outcome(id, 0, s, OK, 20)
				if all[s] = true; zone[s] == set.Zone {
					own++
				}
			}
		}
		if share := float64(own) / agents / requestsPerAgent; share < c.minimum || share > c.maximum {
			t.Errorf("%d zones, price %v: %.2f of the requests stayed in their zone, want %v to %v", c.zones, c.price, share, c.minimum, c.maximum)
		}
		if len(all) < servers*9/10 {
			t.Errorf("%d zones, price %v: %d of %d servers used", c.zones, c.price, len(all), servers)
		}
	}
}

// A request with a key that arrives before the first list must not crash the agent (found by fuzzing).
func TestKeyedRequestBeforeTheFirstList(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	b.Handle(1, &Event{Kind: EvRequest, Request: 1, Class: 0, Key: 5, RemainingMs: 600}, nil)
	b.Handle(2, &Event{Kind: EvTimer, Token: tickToken}, nil)
	list := []Entry{{Server: addr(1), Health: Ready, Weight: 1}}
	if a := find(b.Handle(3, &Event{Kind: EvList, List: ListFull, Entries: list}, nil), ActSend); a == nil || a.Request != 1 {
		t.Error("the request was not sent once there was a list")
	}
}

// Non-idempotent requests do not validate pending servers: if the server fails, the request is lost.
func TestNonIdempotentRequestDoesNotValidateAServer(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	bad := r.b.serversByAddr[addr(0)]
	r.b.setState(bad, UnhealthyPending)
	idempotent, nonIdempotent := 0, 0
	for range 200 {
		r.now += 10
		for class, n := range []*int{&idempotent, &nonIdempotent} {
			id, s := r.mustSend(class, uint64(r.b.rng.Int64()))
			if s == bad.addr {
				*n++
			}
			r.outcome(id, 0, s, OK, 5)
			r.b.setState(bad, UnhealthyPending)
		}
	}
	if idempotent == 0 || nonIdempotent > 0 {
		t.Errorf("a pending server was validated by %d idempotent and %d non-idempotent requests; want some and none", idempotent, nonIdempotent)
	}
}
