package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"knotrouter/internal/catalog"
)

// propose commits a command and returns its result, whose code may be a rejection by the catalog. It
// returns errNoLeader if the command was certainly not applied, and an error that wraps
// errUnknownOutcome if it may have been.
func (s *Server) propose(command catalog.Command) (catalog.Result, error) {
	at, leads := s.leaderClock()
	if !leads {
		return catalog.Result{}, errNoLeader
	}
	command.FormatVersion, command.At = catalog.FormatVersion, at
	encoded, err := json.Marshal(command)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%s: %w", command.Kind, err)
	}
	startedAt := time.Now()
	future := s.raft().Apply(encoded, applyTimeout)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return catalog.Result{}, errNoLeader
	case err != nil:
		return catalog.Result{}, fmt.Errorf("%w: %v", errUnknownOutcome, err)
	}
	s.metrics.commitSeconds.Observe(time.Since(startedAt).Seconds())
	return future.Response().(catalog.Result), nil
}
