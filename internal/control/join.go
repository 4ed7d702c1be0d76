package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// join starts raft. A steward whose folder is empty votes only where it can have promised
// nothing before: in a fleet that begins, or after it was taken off the voters.
func (n *Node) join(ctx context.Context) error {
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
	begin, rejoin := false, false
	if !has {
		if begin, rejoin, err = n.firstStart(ctx); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", n.c.Raft)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{MaxPool: 3, Timeout: 5 * time.Second, Logger: rl,
		Stream: &namedStream{stream{ln, n.raftAddr}, n.c.Name}})
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(n.c.Name)
	rc.Logger = rl
	rc.HeartbeatTimeout, rc.ElectionTimeout = n.c.Heartbeat, n.c.Heartbeat
	rc.LeaderLeaseTimeout = n.c.Heartbeat * 4 / 5
	rc.CommitTimeout = 5 * time.Millisecond
	rc.SnapshotThreshold, rc.SnapshotInterval = n.c.SnapshotEvery, n.c.SnapshotCheck
	rc.TrailingLogs = n.c.SnapshotEvery
	rc.NoSnapshotRestoreOnStart = false
	rc.ShutdownOnRemove = false // it serves its list until it is ended
	r, err := raft.NewRaft(rc, n.fsm, n.c.Log(n.store), &promises{n.store.bolt, n.fail}, n.store.snaps, n.trans)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.rp.Store(r)
	if begin && !n.c.Peers[n.c.Name].Spare { // a spare hears of it from those that vote
		var conf raft.Configuration
		for _, name := range append([]string{n.c.Name}, n.c.others()...) {
			s := raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)}
			if n.c.Peers[name].Spare {
				s.Suffrage = raft.Nonvoter
			}
			conf.Servers = append(conf.Servers, s)
		}
		if err := n.raft().BootstrapCluster(conf).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return fmt.Errorf("raft: %w", err)
		}
	}
	if rejoin {
		n.own(n.askIn)
	}
	return nil
}

func (n *Node) raftAddr(name string) (string, bool) {
	if name == n.c.Name {
		return n.c.Raft, true
	}
	p, ok := (*n.table.Load())[name]
	return p.Raft, ok
}

// firstStart waits until it is known what an empty folder means: every other steward is as
// empty, so the fleet begins; or one has a state, so this one was replaced or has lost its
// own. It may have voted, and must not vote again before the others have taken it off.
func (n *Node) firstStart(ctx context.Context) (begin, rejoin bool, err error) {
	others := n.c.others()
	for first := true; ; first = false {
		empty := 0
		for _, name := range others {
			st, err := n.statusOf(ctx, name)
			switch {
			case err != nil:
			case st.HasState:
				err := n.askOut(ctx)
				var refused *HTTPError
				switch {
				case err == nil:
					n.log.Info("rejoining with an empty folder", "told_by", name)
					return false, true, nil
				case errors.As(err, &refused) && refused.Status == http.StatusConflict && time.Since(n.began) > nameWait:
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
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return false, false, fmt.Errorf("first start: %w", ctx.Err())
		}
	}
}

// askOut has the others take this steward off the voters.
func (n *Node) askOut(ctx context.Context) error {
	return n.anyPeer(ctx, func(base string) error {
		return call(ctx, n.peers, http.MethodDelete, base+"/v1/peers/"+n.c.Name+"?id="+n.id, nil, nil)
	})
}

// askIn has them take it in again, once its raft can hear them.
func (n *Node) askIn() {
	query := ""
	if (*n.table.Load())[n.c.Name].Spare {
		query = "?spare=1"
	}
	for {
		err := n.anyPeer(n.ctx, func(base string) error {
			return call(n.ctx, n.peers, http.MethodPut, base+"/v1/peers/"+n.c.Name+query, nil, nil)
		})
		if err == nil {
			return
		}
		n.log.Warn("not taken in yet", "err", err)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) anyPeer(ctx context.Context, do func(base string) error) error {
	err := errors.New("no other steward in the table")
	for _, name := range n.c.others() {
		err = do("http://" + (*n.table.Load())[name].HTTP)
		var refused *HTTPError
		if err == nil || ctx.Err() != nil || errors.As(err, &refused) && refused.Status == http.StatusConflict {
			return err
		}
	}
	return err
}
