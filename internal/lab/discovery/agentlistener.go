package discovery

import (
	"fmt"
	"net"
	"time"

	"knotrouter/internal/lab/loopback"
)

// previousAddressRetention is how long connections to an agent's previous address stay open after
// MoveAddress.
const previousAddressRetention = 1500 * time.Millisecond

// agentListener listens on the address at which one agent reaches the service.
type agentListener struct {
	tcp       *loopback.Listener
	openConns loopback.ConnSet
}

func (l *agentListener) close() {
	l.tcp.Close()
	l.openConns.Reset()
}

// agentContextKey is the key of the agent's index in the context of a request.
type agentContextKey struct{}

// conn is a connection of an agent.
type conn struct {
	net.Conn
	listener *agentListener
	agent    int
}

// Close closes the connection and removes it from the listener's open connections.
func (c *conn) Close() error {
	c.listener.openConns.Remove(c.Conn)
	return c.Conn.Close()
}

// listen starts to listen on a new address for the agent.
func (s *Service) listen(agent int) (*agentListener, error) {
	listener := &agentListener{}
	tcp, err := loopback.Listen(s.addresses.IP()+":0", func(nc net.Conn) {
		listener.openConns.Add(nc)
		s.accepted.Deliver(&conn{Conn: nc, listener: listener, agent: agent})
	})
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	listener.tcp = tcp
	return listener, nil
}

// Addr returns the current address of the service for the agent.
func (s *Service) Addr(agent int) string { return s.allListeners()[agent].tcp.Addr() }

// MoveAddress moves the service to a new address for the agent and returns it. The previous address
// refuses new connections at once, and its open connections are closed after previousAddressRetention.
// It returns an error if the service can't listen on another address.
func (s *Service) MoveAddress(agent int) (string, error) {
	next, err := s.listen(agent)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	previous := s.agentListeners[agent]
	s.agentListeners[agent] = next
	if !s.available {
		next.tcp.Refuse()
	}
	s.mu.Unlock()
	previous.tcp.Refuse()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		select {
		case <-time.After(previousAddressRetention):
		case <-s.ctx.Done():
		}
		previous.close()
	}()
	return next.tcp.Addr(), nil
}
