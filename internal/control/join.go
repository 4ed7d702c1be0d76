package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// startMode is what a server does once raft has started.
type startMode int

const (
	resumeState      startMode = iota // continue with the state in the data folder
	bootstrapCluster                  // write the first configuration of a new cluster
	rejoinCluster                     // request readmission to the cluster that it was part of
)

const (
	peerStatusInterval  = 100 * time.Millisecond // time between rounds of status requests to the peers, on an empty data folder
	readmissionInterval = 500 * time.Millisecond // time between requests to be added to the raft configuration
	raftTimeout         = 5 * time.Second        // timeout of the raft transport's connections
	raftPoolSize        = 3                      // idle connections kept per peer
	commitTimeout       = 5 * time.Millisecond
)

// startRaft opens the data folder, starts gossip and then raft. A server with an empty data folder
// may have voted before it lost its data. It therefore bootstraps only if the cluster is new;
// otherwise it asks to be removed from the voters before it rejoins.
func (s *Server) startRaft(ctx context.Context) error {
	rl := newRaftLogger(s.log)
	var err error
	if s.store, err = openStore(s.config.Data, rl); err != nil {
		return err
	}
	if s.dataID, err = loadDataID(s.config.Data); err != nil {
		return err
	}
	if err := s.startGossip(); err != nil {
		return err
	}
	hasState, err := raft.HasExistingState(s.store, s.store.bolt, s.store.snapshots)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	mode := resumeState
	if !hasState {
		if mode, err = s.chooseStartMode(ctx); err != nil {
			return err
		}
	}
	if err := s.runRaft(rl); err != nil {
		return err
	}
	if mode == bootstrapCluster {
		if err := s.bootstrap(); err != nil {
			return err
		}
	}
	if mode == rejoinCluster {
		s.startGoroutine(s.requestReadmission)
	}
	return nil
}

// runRaft listens for peers and starts the raft instance on the opened store.
func (s *Server) runRaft(rl hclog.Logger) error {
	ln, err := net.Listen("tcp", s.config.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		MaxPool: raftPoolSize,
		Timeout: raftTimeout,
		Logger:  rl,
		Stream:  &raftStreamLayer{peerDialer{ln, s.raftAddr}, s.config.Name},
	})
	s.transport = &recordingTransport{transport, s.confirmedAppends}
	stable := &stableStore{s.store.bolt, s.fail}
	r, err := raft.NewRaft(s.raftConfig(rl), s.fsm, s.config.WrapLogStore(s.store), stable, s.store.snapshots, s.transport)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	s.raftNode.Store(r)
	return nil
}

// raftConfig returns the configuration of the raft library.
func (s *Server) raftConfig(rl hclog.Logger) *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(s.config.Name)
	rc.Logger = rl
	rc.HeartbeatTimeout, rc.ElectionTimeout = s.config.Heartbeat, s.config.Heartbeat
	rc.LeaderLeaseTimeout = s.config.Heartbeat * 4 / 5 // raft accepts at most the heartbeat timeout
	rc.CommitTimeout = commitTimeout
	rc.SnapshotThreshold, rc.SnapshotInterval = s.config.SnapshotEvery, s.config.SnapshotCheck
	rc.TrailingLogs = s.config.SnapshotEvery
	rc.NoSnapshotRestoreOnStart = false
	rc.ShutdownOnRemove = false // a removed server serves its list until it is stopped
	return rc
}

// bootstrap writes the first raft configuration of a new cluster: all servers of the peer table,
// each a voter or non-voter as the table says. A non-voter does nothing: the voters replicate the
// configuration to it.
func (s *Server) bootstrap() error {
	if s.config.Peers[s.config.Name].NonVoter {
		return nil
	}
	var conf raft.Configuration
	for _, name := range append([]string{s.config.Name}, s.config.otherPeerNames()...) {
		replica := raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)}
		if s.config.Peers[name].NonVoter {
			replica.Suffrage = raft.Nonvoter
		}
		conf.Servers = append(conf.Servers, replica)
	}
	err := s.raft().BootstrapCluster(conf).Error()
	if err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("raft: %w", err)
	}
	return nil
}

// raftAddr resolves the name of a server to the address of its raft transport. It returns false if
// the peer table doesn't have the name. Raft knows control-plane servers by name only, so that each
// can dial the others by its own table.
func (s *Server) raftAddr(name string) (addr string, known bool) {
	if name == s.config.Name {
		return s.config.Raft, true
	}
	p, ok := s.peer(name)
	return p.Raft, ok
}

// chooseStartMode returns the start mode for an empty data folder. It polls the peers until the mode
// is certain. If the data folders of all peers are empty too, the cluster is new and the mode is
// bootstrapCluster. If one peer has state, this server was replaced or lost its data and may have
// voted before, so chooseStartMode first has it removed from the voters and then returns
// rejoinCluster. It returns an error if the context ends or if another process has this server's name.
func (s *Server) chooseStartMode(ctx context.Context) (startMode, error) {
	others := s.config.otherPeerNames()
	for first := true; ; first = false {
		empty := 0
		for _, name := range others {
			status, err := s.requestStatus(ctx, name)
			switch {
			case err != nil:
				continue
			case !status.HasState:
				empty++
				continue
			}
			err = s.requestRemoval(ctx)
			if err == nil {
				s.log.Info("rejoining with an empty data folder", "reported_by", name)
				return rejoinCluster, nil
			}
			if isConflict(err) && time.Since(s.startedAt) > nameConflictTimeout {
				return resumeState, fmt.Errorf("name: %w", err)
			}
		}
		if empty == len(others) {
			return bootstrapCluster, nil
		}
		if first {
			s.log.Info("data folder is empty: waiting for answers of all peers, or of one that has state", "waiting_for", others)
		}
		select {
		case <-time.After(peerStatusInterval):
		case <-ctx.Done():
			return resumeState, fmt.Errorf("start with an empty data folder: %w", ctx.Err())
		}
	}
}

// requestRemoval asks the cluster to remove this server from the voters. It returns the error of
// tryPeers, for which isConflict reports true if another process has this server's name.
func (s *Server) requestRemoval(ctx context.Context) error {
	return s.tryPeers(ctx, func(base string) error {
		return call(ctx, s.peerClient, http.MethodDelete, base+"/v1/peers/"+s.config.Name+"?id="+s.dataID, nil, nil)
	})
}

// requestReadmission asks the cluster to add this server again, and retries until it succeeds or the
// server stops. Raft must already be listening.
func (s *Server) requestReadmission() {
	query := ""
	if self, _ := s.peer(s.config.Name); self.NonVoter {
		query = "?spare=1"
	}
	for {
		err := s.tryPeers(s.ctx, func(base string) error {
			return call(s.ctx, s.peerClient, http.MethodPut, base+"/v1/peers/"+s.config.Name+query, nil, nil)
		})
		if err == nil {
			return
		}
		s.log.Warn("rejoining the cluster failed, will be retried", "err", err)
		select {
		case <-time.After(readmissionInterval):
		case <-s.ctx.Done():
			return
		}
	}
}

// errNoOtherPeer means that the peer table has no server other than this one.
var errNoOtherPeer = errors.New("no other control-plane server in the peer table")

// tryPeers calls do with the base URL of one peer after the other, until a call succeeds, a peer
// answers with a conflict or the context ends. It returns nil, the last error, or errNoOtherPeer.
func (s *Server) tryPeers(ctx context.Context, do func(base string) error) error {
	err := errNoOtherPeer
	for _, name := range s.config.otherPeerNames() {
		p, _ := s.peer(name)
		err = do("http://" + p.HTTP)
		if err == nil || ctx.Err() != nil || isConflict(err) {
			return err
		}
	}
	return err
}

// isConflict reports whether a server rejected a request because another process has the name.
func isConflict(err error) bool {
	var rejected *HTTPError
	return errors.As(err, &rejected) && rejected.Status == http.StatusConflict
}
