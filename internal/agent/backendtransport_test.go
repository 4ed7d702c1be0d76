package agent

import (
	"testing"
	"time"
)

// idleTransport returns a transport with one idle connection for each of the times, at which it became idle.
func idleTransport(idleSince ...time.Time) (t *backendTransport, slots []*connSlot) {
	t = &backendTransport{}
	for _, since := range idleSince {
		slot := t.acquireEmpty()
		slot.conn = &backendConn{transport: t, slot: slot}
		slot.conn.setIdleSince(since)
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		t.release(slot)
	}
	return t, slots
}

// A request uses the most recently used of the connections that have been idle for at least preferredIdleTime.
// If there is none, it uses the longest idle connection, after the rest of its reuse delay, and if none is idle,
// a new one.
func TestConnectionIsReusedAfterItsDelay(t *testing.T) {
	const delay, emptySlot = 10 * time.Millisecond, -1
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name      string
		idleSince []int // in ms; the request arrives at 100 ms
		want      int
		wantLeft  time.Duration
	}{
		{"no idle connection", nil, emptySlot, 0},
		{"one, reuse delay just over", []int{90}, 0, 0},
		{"one, 1 ms of its reuse delay left", []int{91}, 0, time.Millisecond},
		{"two idle for long", []int{20, 50, 95}, 1, 0},
		{"two with their reuse delay over, none idle for long", []int{80, 85, 95}, 0, 0},
		{"two, reuse delay of none over", []int{92, 95}, 0, 2 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var idleSince []time.Time
			for _, ms := range c.idleSince {
				idleSince = append(idleSince, at(ms))
			}
			transport, slots := idleTransport(idleSince...)
			got, left := transport.acquire(at(100), delay)
			if c.want == emptySlot && got.conn != nil || c.want != emptySlot && got != slots[c.want] || left != c.wantLeft {
				t.Errorf("got slot %s of %d with %v left", got.host, len(slots), left)
			}
		})
	}
}

// An attempt that needs a new connection gets an empty slot even if connections are idle.
func TestAcquireEmptyIgnoresIdleConnections(t *testing.T) {
	transport, _ := idleTransport(time.Time{})
	if transport.acquireEmpty().conn != nil {
		t.Error("got a slot with a used connection")
	}
}

// A slot is never in use twice at a time. Slots are reused with their host names once their connections are closed:
// net/http keeps state for each host name, which would otherwise grow without bound.
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

// Closing a connection that was replaced in its slot leaves the newer connection there.
func TestCloseOfAReplacedConnection(t *testing.T) {
	transport, slots := idleTransport(time.Time{})
	replaced := slots[0].conn
	transport.connected(slots[0], &backendConn{transport: transport, slot: slots[0]})
	transport.connClosed(replaced)
	if got, _ := transport.acquire(time.Now(), 0); got != slots[0] || got.conn == nil {
		t.Error("the newer connection is no longer in its slot")
	}
}
