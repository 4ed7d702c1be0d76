package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"molepaddle/internal/catalog"
)

// errNoLeader is a command that was surely not carried out.
var errNoLeader = errors.New("there is no leader at the moment")

// errInDoubt is one that may have been, or may be yet.
var errInDoubt = errors.New("the leader changed: whether it was carried out is unknown")

// propose commits a command. The result's code may still refuse it.
func (n *Node) propose(c catalog.Command) (catalog.Result, error) {
	at, leads := n.elapsed()
	if !leads {
		return catalog.Result{}, errNoLeader
	}
	c.Form, c.At = catalog.Form, at
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
