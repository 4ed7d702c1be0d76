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

const (
	firstStartInterval = 100 * time.Millisecond // between rounds of status requests on an empty folder
	admissionInterval  = 500 * time.Millisecond // between requests to be added to the configuration
	raftTimeout        = 5 * time.Second        // of the raft transport's connections
	raftPoolSize       = 3                      // kept connections per steward
	commitTimeout      = 5 * time.Millisecond
)

// startRaft opens the data folder, starts gossip and then raft. A steward with an empty data
// folder may have voted before it lost its data, so it bootstraps only a new cluster, and
// otherwise has itself removed from the voters before it joins again.
func (n *Server) startRaft(ctx context.Context) error {
	rl := raftLog(n.log)
	var err error
	if n.store, err = openStore(n.c.Data, rl); err != nil {
		return err
	}
	if n.id, err = identity(n.c.Data); err != nil {
		return err
	}
	if err := n.startGossip(); err != nil {
		return err
	}
	has, err := raft.HasExistingState(n.store, n.store.bolt, n.store.snaps)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	bootstrap, rejoin := false, false
	if !has {
		if bootstrap, rejoin, err = n.classifyEmptyFolder(ctx); err != nil {
			return err
		}
	}
	if err := n.runRaft(rl); err != nil {
		return err
	}
	if bootstrap {
		if err := n.bootstrap(); err != nil {
			return err
		}
	}
	if rejoin {
		n.own(n.requestAdmission)
	}
	return nil
}

// runRaft listens for other stewards and starts the raft instance on the opened store.
func (n *Server) runRaft(rl hclog.Logger) error {
	ln, err := net.Listen("tcp", n.c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		MaxPool: raftPoolSize,
		Timeout: raftTimeout,
		Logger:  rl,
		Stream:  &namedStream{stream{ln, n.raftAddr}, n.c.Name},
	})
	stable := &promises{n.store.bolt, n.fail}
	r, err := raft.NewRaft(n.raftConfig(rl), n.fsm, n.c.WrapLogStore(n.store), stable, n.store.snaps, n.trans)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.raftNode.Store(r)
	return nil
}

func (n *Server) raftConfig(rl hclog.Logger) *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(n.c.Name)
	rc.Logger = rl
	rc.HeartbeatTimeout, rc.ElectionTimeout = n.c.Heartbeat, n.c.Heartbeat
	rc.LeaderLeaseTimeout = n.c.Heartbeat * 4 / 5
	rc.CommitTimeout = commitTimeout
	rc.SnapshotThreshold, rc.SnapshotInterval = n.c.SnapshotEvery, n.c.SnapshotCheck
	rc.TrailingLogs = n.c.SnapshotEvery
	rc.NoSnapshotRestoreOnStart = false
	rc.ShutdownOnRemove = false // a removed steward serves its list until it is stopped
	return rc
}

// bootstrap writes the first configuration of a new cluster: all stewards of the table, with
// spares as non-voters. A spare does nothing; the voters replicate the configuration to it.
func (n *Server) bootstrap() error {
	if n.c.Peers[n.c.Name].NonVoter {
		return nil
	}
	var conf raft.Configuration
	for _, name := range append([]string{n.c.Name}, n.c.others()...) {
		s := raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)}
		if n.c.Peers[name].NonVoter {
			s.Suffrage = raft.Nonvoter
		}
		conf.Servers = append(conf.Servers, s)
	}
	err := n.raft().BootstrapCluster(conf).Error()
	if err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("raft: %w", err)
	}
	return nil
}

// raftAddr resolves the name of a steward to the address of its raft transport. Raft knows
// stewards by name only, so that each can dial the others by its own table.
func (n *Server) raftAddr(name string) (string, bool) {
	if name == n.c.Name {
		return n.c.Raft, true
	}
	p, ok := (*n.table.Load())[name]
	return p.Raft, ok
}

// classifyEmptyFolder asks the other stewards, until it is certain, what an empty data folder
// means. If all of them are empty too, the cluster is new and is to be bootstrapped. If one
// has a state, this steward was replaced or lost its data: it has itself removed from the
// voters, as it may have voted, and is to rejoin. It returns an error if the context ends or
// if another process goes by this steward's name.
func (n *Server) classifyEmptyFolder(ctx context.Context) (bootstrap, rejoin bool, err error) {
	others := n.c.others()
	for first := true; ; first = false {
		empty := 0
		for _, name := range others {
			st, err := n.statusOf(ctx, name)
			switch {
			case err != nil:
			case st.HasState:
				err := n.requestRemoval(ctx)
				switch {
				case err == nil:
					n.log.Info("rejoining with an empty folder", "told_by", name)
					return false, true, nil
				case isConflict(err) && time.Since(n.began) > nameConflictTimeout:
					return false, false, fmt.Errorf("name: %w", err)
				}
			default:
				empty++
			}
		}
		if empty == len(others) {
			return true, false, nil
		}
		if first {
			n.log.Info("the folder is empty: waiting until all other stewards answer, or one that has a state", "others", others)
		}
		select {
		case <-time.After(firstStartInterval):
		case <-ctx.Done():
			return false, false, fmt.Errorf("first start: %w", ctx.Err())
		}
	}
}

// requestRemoval asks the cluster to remove this steward from the voters.
func (n *Server) requestRemoval(ctx context.Context) error {
	return n.tryPeers(ctx, func(base string) error {
		return call(ctx, n.peers, http.MethodDelete, base+"/v1/peers/"+n.c.Name+"?id="+n.id, nil, nil)
	})
}

// requestAdmission asks the cluster to add this steward again, and repeats that until it
// succeeds or the steward stops. It requires that raft listens.
func (n *Server) requestAdmission() {
	query := ""
	if (*n.table.Load())[n.c.Name].NonVoter {
		query = "?spare=1"
	}
	for {
		err := n.tryPeers(n.ctx, func(base string) error {
			return call(n.ctx, n.peers, http.MethodPut, base+"/v1/peers/"+n.c.Name+query, nil, nil)
		})
		if err == nil {
			return
		}
		n.log.Warn("not taken in yet", "err", err)
		select {
		case <-time.After(admissionInterval):
		case <-n.ctx.Done():
			return
		}
	}
}

// tryPeers calls do with the base URL of one steward after the other, until one succeeds,
// one answers with a conflict or the context ends. It returns the last error.
func (n *Server) tryPeers(ctx context.Context, do func(base string) error) error {
	err := errors.New("no other steward in the table")
	for _, name := range n.c.others() {
		err = do("http://" + (*n.table.Load())[name].HTTP)
		if err == nil || ctx.Err() != nil || isConflict(err) {
			return err
		}
	}
	return err
}

// isConflict reports whether a steward refused a request because another process has the
// name.
func isConflict(err error) bool {
	var refused *HTTPError
	return errors.As(err, &refused) && refused.Status == http.StatusConflict
}
