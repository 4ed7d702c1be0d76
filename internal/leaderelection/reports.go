package leaderelection

import (
	"context"

	"knotrouter/internal/catalog"
)

// maxTermsPerReport is the maximum number of terms in one call to ReportTerms.
const maxTermsPerReport = 256

// reportKey identifies the terms that can be reported in one call to ReportTerms.
type reportKey struct {
	kind   catalog.Kind // ReleaseTerm or AcceptTransfer
	reason string       // reason of a ReleaseTerm; empty for AcceptTransfer
}

// queueReport queues a report of a term. If catalog.MaxTasks reports are queued, the report is
// dropped; the participant will return the action again. The caller holds r.mu.
func (r *Runner) queueReport(key reportKey, ref catalog.TermRef) {
	if len(r.pendingReports[key]) < catalog.MaxTasks {
		r.pendingReports[key] = append(r.pendingReports[key], ref)
	}
	signal(r.reportQueued)
}

// sendReports sends the queued reports until ctx ends, one call for each batch.
func (r *Runner) sendReports(ctx context.Context) {
	for {
		select {
		case <-r.reportQueued:
		case <-ctx.Done():
			return
		}
		r.sendQueuedReports(ctx)
	}
}

// sendQueuedReports sends reports until the queue is empty or ctx ends. A release that could not be
// sent is retried with a backoff.
func (r *Runner) sendQueuedReports(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		key, refs := r.nextReport()
		if len(refs) == 0 {
			return
		}
		err := callWithTimeout(ctx, func(ctx context.Context) error {
			return r.config.Service.ReportTerms(ctx, key.kind, refs, key.reason)
		})
		if err == nil {
			continue
		}
		r.requeueRelease(key, refs)
		r.sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// requeueRelease puts releases whose report failed back into the queue, as another process may
// be waiting for the task. Acceptances are dropped: the participant repeats them at the next
// revision.
func (r *Runner) requeueRelease(key reportKey, refs []catalog.TermRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key.kind == catalog.ReleaseTerm && len(r.pendingReports[key]) < catalog.MaxTasks {
		r.pendingReports[key] = append(r.pendingReports[key], refs...)
	}
}

// nextReport removes and returns a batch of terms with the same key, or none if the queue
// is empty.
func (r *Runner) nextReport() (reportKey, []catalog.TermRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, refs := range r.pendingReports {
		n := min(len(refs), maxTermsPerReport)
		batch := refs[:n:n]
		if r.pendingReports[key] = refs[n:]; n == len(refs) {
			delete(r.pendingReports, key)
		}
		if n > 0 {
			return key, batch
		}
	}
	return reportKey{}, nil
}
