package hollow

import (
	"context"
	"time"

	"knotrouter/internal/catalog"
)

// renewPartition renews the servers of one writer, a fixed partition of all, until the context ends. The
// batches are spread evenly over the renewal interval.
func (p *Servers) renewPartition(ctx context.Context, writer int) {
	perWriter := (p.config.Count + writerCount - 1) / writerCount
	first, end := min(writer*perWriter, p.config.Count), min((writer+1)*perWriter, p.config.Count)
	batches := (end - first + p.config.RenewBatch - 1) / p.config.RenewBatch
	if batches == 0 {
		return
	}
	pause := p.config.RenewInterval / time.Duration(batches)
	// The writers start at different times within the interval.
	next := time.Now().Add(p.config.RenewInterval * time.Duration(writer) / writerCount)
	for batch := 0; Sleep(ctx, time.Until(next)) && ctx.Err() == nil; batch = (batch + 1) % batches {
		from := first + batch*p.config.RenewBatch
		p.renewBatch(ctx, writer, from, min(from+p.config.RenewBatch, end))
		if next = next.Add(pause); time.Since(next) > p.config.RenewInterval {
			next = time.Now() // skip the renewals that are more than an interval late
		}
	}
}

// renewBatch renews, in one call, the servers in [from, to) that renew their leases, and registers those
// again whose leases were lost.
func (p *Servers) renewBatch(ctx context.Context, writer, from, to int) {
	refs, indexes := p.renewingRefs(from, to)
	if len(refs) == 0 {
		return
	}
	answer, err := p.clients[writer].Renew(ctx, refs)
	if err != nil {
		p.counts.renewalsFailed.Add(1)
		return
	}
	p.counts.renewals.Add(int64(len(refs)))
	for i, code := range answer.Codes {
		if code == catalog.Unknown && i < len(indexes) {
			p.counts.leasesLost.Add(1)
			_, _ = p.register(ctx, writer, indexes[i])
		}
	}
}

// renewingRefs returns the references and the indexes of the servers in [from, to) that renew their leases.
func (p *Servers) renewingRefs(from, to int) (refs []catalog.InstanceRef, indexes []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := from; i < to; i++ {
		if s := &p.servers[i]; s.renewing {
			refs = append(refs, s.ref())
			indexes = append(indexes, i)
		}
	}
	return refs, indexes
}
