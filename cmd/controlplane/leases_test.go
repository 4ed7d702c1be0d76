package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"knotrouter/internal/catalog"
)

// The leases of servers that don't renew expire by the leader's clock, and a new leader renews each lease for the
// full TTL. In a mass failure the servers stay listed until an operator confirms their removal.
func TestLeaseExpiryAndMassFailureGuard(t *testing.T) {
	const n = 10
	cluster := newCluster(t, 3)
	cluster.shortenLeases()
	cluster.restartAll(nil)
	var renewing atomic.Int64 // how many servers renew, from s-0 on
	renewing.Store(n)
	cluster.renewAll(200*time.Millisecond, func() []catalog.InstanceRef { return instanceRefs(int(renewing.Load())) })
	for i := range n {
		cluster.register(fmt.Sprint("s-", i), 1)
	}
	cluster.waitUntil("all are listed", func() bool { return cluster.listedCount() == n })
	cluster.kill(cluster.waitForLeader())
	cluster.waitUntil("another leader lists all", func() bool { return cluster.listedCount() == n })
	renewing.Store(8) // the failure of two of ten is not a mass failure
	cluster.waitUntil("two leases have expired", func() bool { return cluster.listedCount() == 8 })
	renewing.Store(1) // the failure of all but one is
	cluster.waitUntil("the others are quarantined", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined >= 6 && status.Listed == 8
	})
	renewing.Store(3)
	cluster.waitUntil("two of them renew again", func() bool {
		status, err := cluster.status(cluster.waitForLeader())
		return err == nil && status.Quarantined == 5 && status.Listed == 8
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	cluster.waitUntil("the removal is confirmed", func() bool { return cluster.client(cluster.names...).ConfirmRemovals(ctx) == nil })
	cluster.waitUntil("the quarantined are off the list", func() bool { return cluster.listedCount() == 3 })
}

// listedCount returns how many servers the leader lists, or -1 if it doesn't answer.
func (cluster *testCluster) listedCount() int {
	cluster.t.Helper()
	status, err := cluster.status(cluster.waitForLeader())
	if err != nil {
		return -1
	}
	return status.Listed
}
