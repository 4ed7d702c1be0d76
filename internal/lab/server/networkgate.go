package server

import "sync"

// networkGate blocks reads and writes on a server's connections while its machine is isolated.
type networkGate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newNetworkGate() *networkGate {
	g := &networkGate{open: make(chan struct{})}
	close(g.open)
	return g
}

// setOpen opens or closes the gate.
func (g *networkGate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

// isOpen reports whether the gate is open.
func (g *networkGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

// wait blocks until the gate is open or the connection is closed. open is false if the connection was closed
// before the gate opened. waited reports whether the gate was closed at the time of the call.
func (g *networkGate) wait(connClosed <-chan struct{}) (waited, open bool) {
	g.mu.Lock()
	opened := g.open
	g.mu.Unlock()
	select {
	case <-opened:
		return false, true
	default:
	}
	select {
	case <-opened:
		return true, true
	case <-connClosed:
		return true, false
	}
}
