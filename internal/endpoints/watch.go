package endpoints

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// watchBufferBytes is the size of one read from a watch.
const watchBufferBytes = 4096

// Watch passes each change after the version since to onList, and continues at another address when
// one fails. It returns when its round of calls is over, with the reason why the last call ended; it
// never returns nil. onList runs on the goroutine of Watch.
func (c *Client) Watch(ctx context.Context, since int64, onList func(List)) error {
	return c.runRound(ctx, func(addr string) (string, error) {
		return c.watchAddress(ctx, addr, &since, onList)
	})
}

// watchAddress runs one watch at one address, or at one that answers late, and updates *version with the version of each
// list.
func (c *Client) watchAddress(ctx context.Context, addr string, version *int64, onList func(List)) (answeredBy string, err error) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	requested := c.watchStarted(addr, cancel)
	defer c.watchEnded()
	silenceTimer := time.AfterFunc(c.config.SilenceTimeout, func() { cancel(errSilenceTimeout) })
	defer silenceTimer.Stop()
	w := watch{
		client:     c,
		addr:       addr,
		requested:  requested,
		version:    version,
		hasBase:    !requested.needsFullList,
		onActivity: func() { silenceTimer.Reset(c.config.SilenceTimeout) },
		onList:     onList,
	}
	err = watchError(call, w.run(ctx, call))
	return w.addr, err
}

// watchError returns the error of a watch. If the watch was canceled, it returns the cause of the
// cancellation instead of the read error that followed. The exception is a stale list, which is reported
// even if the watch was canceled at the same time.
func watchError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(err, errStaleList) {
		return err
	}
	if incomplete := new(IncompleteError); errors.As(err, &incomplete) {
		return &IncompleteError{Pending: incomplete.Pending, Age: incomplete.Age, Err: cause}
	}
	return cause
}

// watchStarted records the address of the new watch, and returns the subscription to request.
func (c *Client) watchStarted(addr string, cancel context.CancelCauseFunc) subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = addr, cancel
	requested := c.subscription
	c.subscription.sendsVersion = false
	return requested
}

// watchAnswered records that a request to another address than that of the call has been answered.
func (c *Client) watchAnswered(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress = addr
}

// watchEnded records that no watch is running.
func (c *Client) watchEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = "", nil
}

// watch is one watch at one address.
type watch struct {
	client     *Client
	addr       string
	requested  subscription
	version    *int64 // version of the last list that the reader accepted
	hasBase    bool   // the reader holds a list that changes of the requested services apply to
	onActivity func() // is called for each blank line and each list
	onList     func(List)

	resp *http.Response
}

// run reads the watch until it or the call ends. The error is never nil: it is errWatchClosed if the server closed
// the response normally. If the call is given up before the service answers, its request goes on until ctx ends.
func (w *watch) run(ctx, call context.Context) error {
	key := w.requested.key(w.requested.watchQuery(*w.version))
	startedAt := time.Now()
	request, err := w.client.request(ctx, call, w.addr, key, w.client.lateWatches)
	if err != nil {
		return err
	}
	defer request.Close()
	defer request.endWith(call)()
	w.resp = request.resp
	if request.sentAt.Before(startedAt) {
		w.addr = request.addr
		w.client.watchAnswered(w.addr)
		w.onActivity()
	}
	scanner := listScanner{onList: w.handleList, onBlankLine: w.onActivity, onPartial: w.handlePartial}
	buf := make([]byte, watchBufferBytes)
	for {
		n, err := request.Read(buf)
		if scanErr := scanner.feed(buf[:n]); scanErr != nil {
			return scanErr
		}
		if err == io.EOF {
			err = errWatchClosed
		}
		if err != nil {
			return scanner.close(err)
		}
	}
}

// handleList parses and checks one list and passes it to the reader. An error ends the watch.
func (w *watch) handleList(text []byte) error {
	list, err := Parse(text)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	markOrigin(&list, w.resp, &w.requested)
	if err := w.checkList(&list); err != nil {
		return err
	}
	if err := w.client.acceptWatchedList(w.addr, &w.requested, &list); err != nil {
		return err
	}
	*w.version = list.Seq
	w.onList(list)
	w.onActivity()
	return nil
}

// checkList returns an error for a list that the reader can't apply: one that is older than the
// reader's version, or changes without a full list to apply them to.
func (w *watch) checkList(list *List) error {
	if w.client.config.RejectOlder && list.Seq < w.requested.requiredVersion(*w.version) {
		w.client.staleListReceived(&w.requested)
		return errStaleList
	}
	w.hasBase = w.hasBase || list.Full
	switch {
	case w.hasBase:
		return nil
	case w.requested.sendsVersion:
		return errServerCaughtUp
	}
	return errFullListExpected
}

// handlePartial reports the received part of an unfinished list.
func (w *watch) handlePartial(text []byte, firstByteAt time.Time) {
	w.client.reportPartial(w.resp, &w.requested, text, firstByteAt)
}

// acceptWatchedList records that a watch received a list. It returns an error if the subscription has
// changed since the request, in which case the list has to be dropped.
func (c *Client) acceptWatchedList(addr string, requested *subscription, list *List) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number != requested.number {
		return errSubscriptionChanged
	}
	c.subscription.listReceived(list)
	c.selector.ListReceived(addr)
	return nil
}

// staleListReceived records that a watch received a list older than the reader's version. If the
// next watch needs a full list, it sends the reader's version, unless this watch already did, so that
// the service can raise its own version.
func (c *Client) staleListReceived(requested *subscription) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number == requested.number {
		c.subscription.sendsVersion = requested.needsFullList && !requested.sendsVersion
	}
}
