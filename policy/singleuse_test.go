package policy

import "testing"

// Responses on single-use connections do not count as clean responses: as the connection is closed right after
// the response, a second response that arrives late cannot be observed. So the server still gets the cautious
// delay when its connections are reused again.
func TestSingleUseProvesNothing(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	exchange := func() *Action {
		r.b.retryDebt = 0
		id, actions := r.request(0, 0)
		sent := find(actions, ActSend)
		if sent == nil {
			t.Fatalf("not sent: %+v", actions)
		}
		r.outcome(id, 0, sent.Server, OK, 10)
		return sent
	}
	r.unsolicited(addr(0))
	for range provenResponses {
		if !exchange().SingleUse {
			t.Fatal("want single use of the connection")
		}
	}
	r.now += singleUseMs
	if sent := exchange(); sent.SingleUse || sent.ReuseDelayMs != CautiousReuseDelayMs {
		t.Errorf("after single use: single use %v, a delay of %v ms, want %v", sent.SingleUse, sent.ReuseDelayMs, CautiousReuseDelayMs)
	}
}
