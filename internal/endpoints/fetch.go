package endpoints

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

const (
	fetchTimeout = 3 * time.Second
	maxListBytes = 4 << 20 // maximum size of one list
)

// Fetch requests the full list from one address after the other until one returns it. With
// ClientConfig.RejectOlder, a list older than minVersion counts as a failure of its address. If no
// address returned a list in time, Fetch waits for those that have not answered yet, each up to lateRequestTimeout. If
// none returns a list, Fetch returns the error of the last one, and the list is not valid.
func (c *Client) Fetch(ctx context.Context, minVersion int64) (List, error) {
	var list List
	defer c.lateFetches.dropAll()
	err := c.runRound(ctx, func(addr string) (string, error) {
		return c.fetchFrom(ctx, addr, minVersion, &list)
	})
	if err != nil && ctx.Err() == nil {
		requested := c.currentSubscription()
		if late := c.lateFetches.await(ctx, requested.key(requested.fetchQuery())); late != nil {
			call, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			err = c.readFetched(call, late, &requested, minVersion, &list)
		}
	}
	return list, err
}

// fetchFrom reads the full list from one address into list.
func (c *Client) fetchFrom(ctx context.Context, addr string, minVersion int64, list *List) (answeredBy string, err error) {
	call, cancel := context.WithTimeoutCause(ctx, fetchTimeout, errSilenceTimeout)
	defer cancel()
	requested := c.currentSubscription()
	request, err := c.request(ctx, call, addr, requested.key(requested.fetchQuery()), c.lateFetches)
	if err != nil {
		return addr, err
	}
	return request.addr, c.readFetched(call, request, &requested, minVersion, list)
}

// readFetched reads the full list that a request was answered with into list.
func (c *Client) readFetched(call context.Context, request *listRequest, requested *subscription, minVersion int64, list *List) error {
	defer request.Close()
	defer request.endWith(call)()
	firstByteAt := time.Now()
	text, err := readList(request)
	if err != nil {
		// A response header alone does not mean that a part of the list was delivered: the service
		// may stall before it writes any byte of the list.
		if len(bytes.TrimSpace(text)) > 0 {
			c.reportPartial(request.resp, requested, text, firstByteAt)
		}
		return err
	}
	if *list, err = Parse(text); err != nil {
		return err
	}
	markOrigin(list, request.resp, requested)
	if c.config.RejectOlder && list.Seq < requested.requiredVersion(minVersion) {
		return errStaleList
	}
	return c.acceptFetchedList(request.addr, requested)
}

// readList reads the text of one list. With an error, it also returns the bytes received so far.
func readList(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err == nil && len(text) > maxListBytes {
		err = errListTooLong
	}
	return text, err
}

// acceptFetchedList records that an address returned a list. It returns an error if the subscription
// has changed since the request, in which case the list has to be dropped.
func (c *Client) acceptFetchedList(addr string, requested *subscription) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number != requested.number {
		return errSubscriptionChanged
	}
	c.selector.ListReceived(addr)
	return nil
}

// currentSubscription returns a copy of the subscription, for use in a request.
func (c *Client) currentSubscription() subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subscription
}

// markOrigin sets the subscription that a list was requested for, and whether the service limited the
// list to the requested services.
func markOrigin(list *List, resp *http.Response, requested *subscription) {
	list.Scoped = resp.Header.Get(ScopeHeader) != ""
	list.Subscription = requested.number
}

// reportPartial hands the received part of an unfinished list to OnPartial.
func (c *Client) reportPartial(resp *http.Response, requested *subscription, text []byte, firstByteAt time.Time) {
	if c.config.OnPartial == nil {
		return
	}
	list := parsePartialList(text)
	markOrigin(&list, resp, requested)
	list.Age = time.Since(firstByteAt)
	c.config.OnPartial(list)
}
