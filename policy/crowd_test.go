package policy

import "testing"

// manySettings are those of a large fleet, whose servers report what they hold when probed.
func manySettings() Settings {
	set := testSettings()
	set.Replicas, set.Limits.Probing = 80, true
	set.Report = Report{How: "on_probe", Names: []string{"util", "inflight"}}
	set.Classes[2].Group = GroupAll
	return set
}

// serve lets a request come and be answered after rtt, if it is sent.
func (r *rig) serve(rtt float64) {
	id, actions := r.ask(0, 0)
	r.now += rtt
	if a := find(actions, ActSend); a != nil {
		r.outcome(id, 0, a.Server, OK, rtt)
	}
}

// Eighty agents that see answers get slow have no more out together than the servers may
// hold, whatever comes; and as much as before once answers are calm again.
func TestSlowAnswersBoundWhatManyAgentsHaveOut(t *testing.T) {
	const servers, burst = 24, 20
	slow, calm := 0, 0
	for i := range 80 {
		set := manySettings()
		set.Index = i
		r := newRig(t, set, servers)
		r.b.rng.Uint64()
		sent := func() (n int) {
			for range burst {
				if id, actions := r.ask(0, 0); find(actions, ActSend) != nil {
					defer r.outcome(id, 0, find(actions, ActSend).Server, OK, 20)
					n++
				}
			}
			r.now += 20
			return n
		}
		for range learnFor + 10 {
			r.serve(20)
		}
		for range 20 {
			r.serve(140)
		}
		slow += sent()
		for range 200 {
			r.now += 20
			r.serve(20)
		}
		calm += sent()
	}
	if most := 2 * standing * servers; float64(slow) > most || slow < servers {
		t.Errorf("%d attempts out at %d crowded servers, want %d to %v", slow, servers, servers, most)
	}
	if calm < 3*slow {
		t.Errorf("%d attempts out at calm servers, %d at crowded ones", calm, slow)
	}
}
