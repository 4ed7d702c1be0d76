package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// errNoLeader means that a command was certainly not applied and is safe to retry.
var errNoLeader = errors.New("there is no leader at the moment")

// errInDoubt means that the outcome of a command is ambiguous: it may have been applied, or
// may yet be.
var errInDoubt = errors.New("the leader changed: whether it was carried out is unknown")

// propose commits a command and returns its result, whose code may still refuse it. It
// returns errNoLeader if the command was certainly not applied, and an error that wraps
// errInDoubt if that is unknown.
func (n *Server) propose(c catalog.Command) (catalog.Result, error) {
	at, leads := n.elapsed()
	if !leads {
		return catalog.Result{}, errNoLeader
	}
	c.FormatVersion, c.At = catalog.FormatVersion, at
	text, err := json.Marshal(c)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%s: %w", c.Kind, err)
	}
	began := time.Now()
	f := n.raft().Apply(text, applyWait)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return catalog.Result{}, errNoLeader
	case err != nil:
		return catalog.Result{}, fmt.Errorf("%w: %v", errInDoubt, err)
	}
	n.m.commit.Observe(time.Since(began).Seconds())
	return f.Response().(catalog.Result), nil
}
