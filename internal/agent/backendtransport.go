package agent

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"knotrouter/policy"
)

// preferredIdleTime is the idle time from which acquire prefers a connection to more recently used ones.
const preferredIdleTime = policy.CautiousReuseDelayMs * time.Millisecond

// backendTransport sends attempts to one backend and chooses the connection of each. In HTTP/1.1 a second
// response to one request can't be told from the response to the next request, so a connection is reused
// only after a delay: bytes that arrive in the meantime are unsolicited, and the connection is given up.
//
// net/http pools idle connections by the host of the URL and reuses the most recently used one. Here each
// connection has a slot with a host name of its own, so that the agent chooses the connection.
type backendTransport struct {
	*http.Transport
	budgets *memoryBudgets // memory of the responses
	// onUnsolicited is called when the backend has sent bytes that belong to no response, at most once
	// for each connection. It may be nil.
	onUnsolicited func()

	mu    sync.Mutex
	idle  []*connSlot // slots with a connection but no attempt, longest idle first
	empty []*connSlot // slots without an attempt; one has a connection only if its dial ended after its attempt
	slots int         // number of slots created; each slot's host is its number
}

// connSlot holds at most one connection to a backend, and the host name that selects it in net/http.
type connSlot struct {
	host string       // host name in the URLs of the slot's requests
	conn *backendConn // guarded by the transport's mu; nil: none
}

// acquire returns the slot for an attempt that begins at the time now, and how much of the reuse delay of
// its connection is left. It prefers the most recently used of the connections that have been idle for
// preferredIdleTime, so that the others can expire. If there is none, it returns the longest idle one: a
// short wait costs less than another connection, which takes capacity of the backend while it is open.
// If no connection is idle, the slot is empty.
func (t *backendTransport) acquire(now time.Time, delay time.Duration) (slot *connSlot, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.idle) - 1; i >= 0; i-- {
		if t.idle[i].conn.reuseDelayLeft(now, max(delay, preferredIdleTime)) == 0 {
			return t.takeIdle(i), 0
		}
	}
	if len(t.idle) == 0 {
		return t.takeEmpty(), 0
	}
	left = t.idle[0].conn.reuseDelayLeft(now, delay)
	return t.takeIdle(0), left
}

// acquireEmpty returns a slot without a connection.
func (t *backendTransport) acquireEmpty() *connSlot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeEmpty()
}

// takeIdle takes an idle slot for an attempt. The lock must be held.
func (t *backendTransport) takeIdle(i int) *connSlot {
	slot := t.idle[i]
	t.idle = slices.Delete(t.idle, i, i+1)
	return slot
}

// takeEmpty takes an empty slot for an attempt, or a new one. The lock must be held.
func (t *backendTransport) takeEmpty() *connSlot {
	if last := len(t.empty) - 1; last >= 0 {
		slot := t.empty[last]
		t.empty = t.empty[:last]
		return slot
	}
	t.slots++
	return &connSlot{host: strconv.Itoa(t.slots)}
}

// release ends an attempt's use of its slot.
func (t *backendTransport) release(slot *connSlot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slot.conn == nil {
		t.empty = append(t.empty, slot)
		return
	}
	t.idle = append(t.idle, slot)
}

// connected puts a connection that was opened for an attempt into the attempt's slot.
func (t *backendTransport) connected(slot *connSlot, c *backendConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot.conn = c
}

// connClosed empties the slot of a connection that is closed.
func (t *backendTransport) connClosed(c *backendConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot := c.slot
	if slot.conn != c {
		return // the slot has another connection by now
	}
	slot.conn = nil
	if i := slices.Index(t.idle, slot); i >= 0 {
		t.idle = slices.Delete(t.idle, i, i+1)
		t.empty = append(t.empty, slot)
	}
}
