package agent

import (
	"testing"
	"time"
)

// idleTransport returns a transport with an idle connection for each of the times since when they are
// idle.
func idleTransport(idleSince ...time.Time) (t *backendTransport, slots []*connSlot) {
	t = &backendTransport{}
	for _, since := range idleSince {
		slot := t.acquireEmpty()
		slot.conn = &backendConn{transport: t, slot: slot}
		slot.conn.endUse(since)
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		t.release(slot)
	}
	return t, slots
}

// The next request goes out on the connection used last of those that have been idle for long, else on the
// longest idle one, after what is left of the delay, and on a new one if none is idle.
func TestConnectionIsReusedAfterItsDelay(t *testing.T) {
	const delay, emptySlot = 10 * time.Millisecond, -1
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name      string
		idleSince []int // ms; the request comes at 100
		want      int
		wantLeft  time.Duration
	}{
		{"none is idle", nil, emptySlot, 0},
		{"the delay of one is just over", []int{90}, 0, 0},
		{"that of one is not", []int{91}, 0, time.Millisecond},
		{"two have been idle for long", []int{20, 50, 95}, 1, 0},
		{"those of two are over, none was idle for long", []int{80, 85, 95}, 0, 0},
		{"none is over", []int{92, 95}, 0, 2 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var idleSince []time.Time
			for _, ms := range c.idleSince {
				idleSince = append(idleSince, at(ms))
			}
			transport, slots := idleTransport(idleSince...)
			got, left := transport.acquire(at(100), delay)
			if c.want == emptySlot && got.conn != nil || c.want != emptySlot && got != slots[c.want] || left != c.wantLeft {
				t.Errorf("got slot %s of %d, in %v", got.host, len(slots), left)
			}
		})
	}
}

// A connection of which the attempt demands that it is new is new, also where others are idle.
func TestAcquireEmptyIgnoresIdleConnections(t *testing.T) {
	transport, _ := idleTransport(time.Time{})
	if transport.acquireEmpty().conn != nil {
		t.Error("got one that was used before")
	}
}

// No slot is in use twice, and the names of slots are used again once their connections are closed, so
// that net/http does not collect names.
func TestSlotsAreReused(t *testing.T) {
	now := time.Now()
	transport, slots := idleTransport(now, now)
	slots[0].conn.transport.connClosed(slots[0].conn)
	first, _ := transport.acquire(now, 0)
	second, _ := transport.acquire(now, 0)
	third, _ := transport.acquire(now, 0)
	if first != slots[1] || second != slots[0] || third == first || third == second {
		t.Errorf("got slots %s, %s and %s", first.host, second.host, third.host)
	}
	for _, slot := range []*connSlot{first, second, third} {
		transport.release(slot)
	}
	if len(transport.empty) != 2 || len(transport.idle) != 1 || transport.slots != 3 {
		t.Errorf("%d empty and %d idle slots of %d", len(transport.empty), len(transport.idle), transport.slots)
	}
}

// The close of a connection that was replaced in its slot leaves the newer one there.
func TestCloseOfAReplacedConnection(t *testing.T) {
	transport, slots := idleTransport(time.Time{})
	replaced := slots[0].conn
	transport.connected(slots[0], &backendConn{transport: transport, slot: slots[0]})
	transport.connClosed(replaced)
	if got, _ := transport.acquire(time.Now(), 0); got != slots[0] || got.conn == nil {
		t.Error("the newer connection is lost")
	}
}
