package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

// serverCondition is how a server is.
type serverCondition int

const (
	conditionAlive        serverCondition = iota
	conditionProcessEnded                 // its machine says that nobody is there
	conditionMachineDown                  // its machine is gone
	conditionStarting                     // it is just starting: one is answered, the others are told that nobody is there
)

// subject is a server in the exploration: how it is, who has a way to it, whether its lease
// is over or only late.
type serverCase struct {
	condition   serverCondition
	reachableBy [3]bool
	lapsed      bool
}

// world is three stewards that vote, of whom the first leads.
type observerCase struct {
	reachable  [3]bool // whom the leader hears, and is heard by; itself always
	slow       [3]bool
	noEvidence [3]bool // of a version that can't be asked
	// What others answer may come though the leader has lost the quorum.
	quorum bool
}

func (w *observerCase) answer(o int, s *serverCase) Answer {
	switch {
	case !w.reachable[o]:
		return AnswerNone
	case w.noEvidence[o]:
		return AnswerDefersToLease
	case s.condition == conditionAlive && s.reachableBy[o]:
		return AnswerAlive
	case s.condition == conditionStarting && s.reachableBy[o] && o == 2:
		return AnswerAlive
	case (s.condition == conditionProcessEnded || s.condition == conditionStarting) && s.reachableBy[o]:
		return AnswerRefused
	case w.slow[o]:
		return AnswerUnsure
	}
	return AnswerSilent
}

// Each state that three observers and two subjects can be in, with the guard and without:
// whom most see stays, one observer alone removes nobody, without the quorum nothing
// is removed, and who is gone, late only or over, goes where the rules promise it.
func TestExpiryNeedsAMajorityOfVoters(t *testing.T) {
	voters := []string{"a", "b", "c"}
	bits := func(n, i int) bool { return n>>i&1 == 1 }
	var worlds []observerCase
	for n := range 512 {
		worlds = append(worlds, observerCase{quorum: bits(n, 8), reachable: [3]bool{true, bits(n, 0), bits(n, 1)}, slow: [3]bool{bits(n, 2), bits(n, 3), bits(n, 4)}, noEvidence: [3]bool{bits(n, 5), bits(n, 6), bits(n, 7)}})
	}
	var subjects []serverCase
	for n := range 16 {
		for is := conditionAlive; is <= conditionStarting; is++ {
			subjects = append(subjects, serverCase{is, [3]bool{bits(n, 0), bits(n, 1), bits(n, 2)}, bits(n, 3)})
		}
	}
	const ttl = 6 * time.Second
	plays, removed, kept := 0, 0, 0
	broke := func(why string, w observerCase, two [2]serverCase, others int, got []catalog.InstanceRef) {
		t.Fatalf("after %d plays: %s: %+v, %+v beside %d others: removed %v", plays, why, w, two, others, got)
	}
	for _, others := range []int{0, 4} { // with none beside them, both at once are a mass failure
		st := catalog.New()
		for i := range 2 + others {
			h := endpoints.Endpoint{Name: fmt.Sprint("s-", i), Dial: "127.0.0.1:9", Health: endpoints.Ready, Weight: 1, StartedMs: 1}
			st.Apply(&catalog.Command{FormatVersion: catalog.FormatVersion, Kind: catalog.Register, Endpoint: &h})
		}
		for _, w := range worlds {
			if w.slow != [3]bool{} && w.noEvidence != [3]bool{} {
				continue // each of them with all else is enough
			}
			quorum := w.quorum
			for _, a := range subjects {
				for _, b := range subjects {
					if (others == 0 || b.condition == conditionStarting) && (w.slow != [3]bool{} || w.noEvidence != [3]bool{}) {
						continue // what they say is played above
					}
					two := [2]serverCase{a, b}
					plays++
					l := catalog.NewRegistrationLeases(catalog.LeaseConfig{TTL: ttl, MassFailureShare: 0.5, MassFailureWindow: 10 * time.Second}, st, 0)
					for i := range 2 + others {
						if i >= 2 || !two[i].lapsed {
							at := ttl / 4 // late by the end of a lease from the beginning on
							if i >= 2 {
								at = ttl
							}
							l.Renew(st, catalog.InstanceRef{Name: fmt.Sprint("s-", i), StartedMs: 1}, at)
						}
					}
					answers := [2]map[string]Answer{{}, {}}
					for i := range two {
						for o, v := range voters {
							answers[i][v] = w.answer(o, &two[i])
						}
					}
					d := l.Decide(st, ttl, func(ref catalog.InstanceRef, over bool) catalog.FailureEvidence {
						i := int(ref.Name[2] - '0')
						switch DecideExpiry(voters, quorum, over, answers[i]) {
						case DecisionRetain:
							return catalog.Alive
						case DecisionRemove:
							return catalog.Failed
						}
						return catalog.Inconclusive
					})
					gone := [2]bool{}
					for _, ref := range d.Expire {
						gone[ref.Name[2]-'0'] = true
					}
					mass := others == 0 // two of two
					for i, s := range two {
						sees, says, plain := 0, 0, 0
						for _, v := range voters {
							switch answers[i][v] {
							case AnswerAlive:
								sees++
							case AnswerSilent, AnswerDefersToLease:
								says++
							case AnswerRefused:
								says++
								plain++
							}
						}
						promised := quorum && sees == 0 && (s.lapsed && says >= 2 || plain >= 2)
						switch {
						case !gone[i]:
							kept++
							if promised && !mass {
								broke("one that is gone stays", w, two, others, d.Expire)
							}
							continue
						case !quorum:
							broke("removed without the quorum", w, two, others, d.Expire)
						case says < 2:
							broke("removed by one observer alone", w, two, others, d.Expire)
						case sees >= 2:
							broke("removed though most see it", w, two, others, d.Expire)
						case !s.lapsed && (plain < 2 || sees > 0 || s.condition == conditionAlive):
							broke("removed before its time without a plain word", w, two, others, d.Expire)
						case mass && gone[1-i]:
							broke("all removed at once", w, two, others, d.Expire)
						}
						removed++
					}
				}
			}
		}
	}
	if plays < 300_000 || removed < 10_000 || kept < 10_000 {
		t.Errorf("%d plays, %d removed, %d kept: that shows little", plays, removed, kept)
	}
	t.Logf("%d plays, %d removed, %d kept", plays, removed, kept)
}

// Whatever becomes of stewards, voters are replaced one step at a time, with a quorum of those
// that are there before and after each; and once nothing happens any more, as many vote as
// are wanted and all of them are there, if there are enough.
func TestReconfigurationKeepsTheQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "stewards")
		wanted := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "wanted")
		f := VoterSet{DesiredVoters: wanted, ReplaceAfter: 30 * time.Second, Failed: map[string]time.Duration{}, Present: map[string]bool{}}
		for i := range n {
			name := fmt.Sprint("st-", i)
			f.Present[name] = true
			if i < min(wanted, n) {
				f.Voters = append(f.Voters, name)
			} else {
				f.NonVoters = append(f.NonVoters, name)
			}
		}
		f.Leader = rapid.SampledFrom(f.Voters).Draw(t, "leader")
		alive := func() (there int) {
			for _, v := range f.Voters {
				if f.Present[v] {
					there++
				}
			}
			return there
		}
		step := func() bool {
			before := alive() >= len(f.Voters)/2+1
			s, some := NextReconfiguration(&f)
			if !some {
				return false
			}
			switch {
			case !before:
				t.Fatalf("%+v without a quorum: %+v", s, f)
			case len(slices.DeleteFunc([]string{s.Add, s.Remove, s.Demote}, func(x string) bool { return x == "" })) != 1:
				t.Fatalf("not one step: %+v", s)
			case s.Demote != "" && (alive() < len(f.Voters) || s.Demote == f.Leader):
				t.Fatalf("demoted %s: %+v", s.Demote, f)
			case s.Add != "" && (!f.Present[s.Add] || slices.Contains(f.Voters, s.Add)):
				t.Fatalf("added %s: %+v", s.Add, f)
			case s.Remove != "" && (f.Present[s.Remove] || f.Failed[s.Remove] < f.ReplaceAfter || !slices.Contains(f.Voters, s.Remove)):
				t.Fatalf("removed %s: %+v", s.Remove, f)
			}
			if s.Add != "" {
				f.Voters = append(f.Voters, s.Add)
				f.NonVoters = slices.DeleteFunc(f.NonVoters, func(x string) bool { return x == s.Add })
			} else {
				f.Voters = slices.DeleteFunc(f.Voters, func(x string) bool { return x == s.Remove || x == s.Demote })
			}
			if s.Demote != "" {
				f.NonVoters = append(f.NonVoters, s.Demote)
			}
			if alive() < len(f.Voters)/2+1 {
				t.Fatalf("no quorum after %+v: %+v", s, f)
			}
			if len(f.Voters) > wanted+1 || len(f.Voters) < min(wanted, n) {
				t.Fatalf("%d vote, %d are wanted", len(f.Voters), wanted)
			}
			return true
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			name := fmt.Sprint("st-", rapid.IntRange(0, n-1).Draw(t, "who"))
			if f.Present[name] = !f.Present[name]; f.Present[name] {
				delete(f.Failed, name)
				if !slices.Contains(f.Voters, name) && !slices.Contains(f.NonVoters, name) {
					f.NonVoters = append(f.NonVoters, name) // replaced while away
				}
			} else {
				f.Failed[name] = 0
			}
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				for who := range f.Failed {
					f.Failed[who] += 20 * time.Second
				}
				step()
			}
		}
		for who := range f.Failed {
			f.Failed[who] += time.Hour
		}
		for range 20 {
			step()
		}
		there := 0
		for _, is := range f.Present {
			if is {
				there++
			}
		}
		if alive() >= len(f.Voters)/2+1 && there > wanted && (len(f.Voters) != wanted || alive() != wanted) {
			t.Fatalf("in the end %v vote, there are %v, %d wanted", f.Voters, f.Present, wanted)
		}
	})
}
