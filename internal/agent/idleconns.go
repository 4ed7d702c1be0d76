package agent

import (
	"container/list"
	"sync"
)

// idleConns holds the connections to backends that carry no attempt, longest idle first. When the limit
// of connections is reached, the first one is evicted to make room for a dial. It never contains a
// connection that an attempt has claimed, but may contain one whose reuse delay an attempt waits for.
type idleConns struct {
	mu    sync.Mutex
	order list.List // of *backendConn
}

// add adds a connection whose attempt has ended, unless it is closed.
func (s *idleConns) add(c *backendConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.unusable && c.idle == nil {
		c.idle = s.order.PushBack(c)
	}
}

// claim removes a connection that an attempt is going to use. It returns false if the connection was
// evicted for a dial or is closed.
func (s *idleConns) claim(c *backendConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
	return !c.unusable
}

// takeOldest evicts the connection that has been idle for longest, so that no attempt can claim it any
// more. It returns nil if none is idle. The caller closes the connection.
func (s *idleConns) takeOldest() *backendConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.order.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*backendConn)
	s.remove(c)
	c.unusable = true
	return c
}

// discard removes a connection that is being closed.
func (s *idleConns) discard(c *backendConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
	c.unusable = true
}

// remove removes a connection from the order, if it is there. The lock must be held.
func (s *idleConns) remove(c *backendConn) {
	if c.idle != nil {
		s.order.Remove(c.idle)
		c.idle = nil
	}
}
