package endpoints

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// OtherAddressesHeader says in a watch how many other addresses the reader can go to: the service
// may send it there. A reader that doesn't say so is left where it is.
const OtherAddressesHeader = "Other-Addresses"

// MemberHeader names the reader in a watch, and BootIDHeader its present life, where a reader
// wants to be known as present.
const (
	MemberHeader = "Member-Name"
	BootIDHeader = "Member-Life"
	MembersPath  = "/v1/members"
)

const (
	// WatchSilenceTimeout ends a watch on which no line came: the service writes one every 2 s, and
	// what it has to tell counts as told after 6 s, asking again included.
	WatchSilenceTimeout = 3500 * time.Millisecond
	fetchTimeout        = 3 * time.Second
	maxListBytes        = 4 << 20 // bytes of one list
)

// ClientConfig is what a reader of the list is told.
type ClientConfig struct {
	Addresses      []string
	Order          uint64        // an order of the reader's own
	Fleet          int           // how many readers share the service
	SilenceTimeout time.Duration // 0: as above
	Member         string        // the name under which the reader is known as present; "": under none
	RejectOlder    bool          // a list older than what the reader has is an address's failure
	Services       []string      // what the reader subscribes to, as CheckServices takes it; nil: the list of all
	Transport      http.RoundTripper
	// OnPartial is given, if it is not nil, what has come of a list whose rest didn't, or not yet: it
	// counts as told, whatever becomes of the rest. It may be called from another goroutine than
	// the call's, but never after a later list was heard.
	OnPartial func(l List)
	// OnFailover hears why an address was left, if it is not nil. It may be called often.
	OnFailover func(addr string, err error)
}

// Client reads the list from one of several addresses. A fetch and a watch may run beside
// each other.
type Client struct {
	config     ClientConfig
	httpClient *http.Client
	createdAt  time.Time
	bootID     string

	mu             sync.Mutex
	selector       *AddressSelector
	subscription   subscription
	watchedAddress string                  // the address of the watch
	cancelWatch    context.CancelCauseFunc // ends the call of the watch
}

var (
	errSilenceTimeout = errors.New("silent for too long")
	errListTooLong    = fmt.Errorf("a list of over %d bytes", maxListBytes)
	errStaleList      = errors.New("older than the list at hand")
	errServerStale    = errors.New("behind, or without a list of now")
	errAddressRemoved = errors.New("no longer one of the addresses")
	errBusy           = errors.New("too many calls there")
	errWatchClosed    = errors.New("the watch was ended in order")
	// errSubscriptionChanged ends a call for services that are no longer the ones subscribed to. It is
	// no fault of the address.
	errSubscriptionChanged = errors.New("the services subscribed to have changed")
	errFullListExpected    = errors.New("changes in place of the whole list that was asked for")
	// errServerCaughtUp ends a watch that named the reader's version where the list service has it after
	// all. It is no fault of the address, which is asked for the whole list next.
	errServerCaughtUp = errors.New("the list service has the reader's version")
)

// NewClient makes a client.
func NewClient(config ClientConfig) *Client {
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = WatchSilenceTimeout
	}
	if config.Transport == nil {
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for the service.
		config.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	return &Client{config: config, httpClient: &http.Client{Transport: config.Transport}, createdAt: time.Now(),
		bootID: crand.Text(), selector: NewAddressSelector(config.Addresses, config.Order, config.Fleet), subscription: newSubscription(config.Services)}
}

// SetAddresses changes the addresses. A watch at one that is no longer there goes elsewhere.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.SetAddresses(addresses)
	if c.cancelWatch != nil && !c.selector.Has(c.watchedAddress) {
		c.cancelWatch(errAddressRemoved)
	}
}

// Subscribe changes the services, nil for the list of all; least is the reader's version. A watch
// for the services before is ended, and one that begins with the whole list of the new ones takes
// its place at once and at no cost to the budget. No list older than least is taken from then on.
// It returns the number that lists of the new subscription carry: what comes with another one was
// under way and has to be dropped. On an error, which names the service, nothing changes.
func (c *Client) Subscribe(services []string, version int64) (uint64, error) {
	return c.changeSubscription(nil, services, version)
}

// Reconfigure is Set and Subscribe at the same time.
func (c *Client) Reconfigure(addresses, services []string, version int64) (uint64, error) {
	return c.changeSubscription(func() { c.selector.SetAddresses(addresses) }, services, version)
}

func (c *Client) changeSubscription(setAddresses func(), services []string, version int64) (uint64, error) {
	if services != nil {
		if err := CheckServices(services); err != nil {
			return 0, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if setAddresses != nil {
		setAddresses()
	}
	c.subscription.replace(services, version)
	if c.cancelWatch != nil {
		c.cancelWatch(errSubscriptionChanged)
	}
	return c.subscription.number, nil
}

// BudgetExhausted is how often the budget for calls was spent.
func (c *Client) BudgetExhausted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.BudgetExhausted()
}

// Fetch asks for the whole list once, at one address after the other.
func (c *Client) Fetch(ctx context.Context, minVersion int64) (List, error) {
	var list List
	err := c.runRound(ctx, func(addr string) error {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		c.mu.Lock()
		requested := c.subscription
		c.mu.Unlock()
		resp, err := c.requestList(ctx, addr, requested.fetchQuery())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		firstByteAt := time.Now()
		text, err := readList(resp.Body)
		if err != nil {
			// A head alone says nothing of the list: discovery may stall before it writes any of it.
			if len(bytes.TrimSpace(text)) > 0 {
				c.reportPartial(resp, &requested, text, firstByteAt)
			}
			return err
		}
		if list, err = Parse(text); err != nil {
			return err
		}
		list.Scoped, list.Subscription = isScoped(resp), requested.number
		if c.config.RejectOlder && list.Seq < requested.requiredVersion(minVersion) {
			return errStaleList
		}
		return c.acceptFetchedList(addr, &requested)
	})
	return list, err
}

// readList reads the text of one list. On an error it returns what has come.
func readList(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err == nil && len(text) > maxListBytes {
		err = errListTooLong
	}
	return text, err
}

// isScoped tells whether the answer is of the services that were asked for alone.
func isScoped(resp *http.Response) bool { return resp.Header.Get(ScopeHeader) != "" }

// Watch follows the changes after a version, from address to address, until the round is
// over, and tells why the last one ended.
func (c *Client) Watch(ctx context.Context, since int64, onList func(List)) error {
	err := c.runRound(ctx, func(addr string) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		requested := c.watchStarted(addr, cancel)
		defer c.watchEnded()
		silenceTimer := time.AfterFunc(c.config.SilenceTimeout, func() { cancel(errSilenceTimeout) })
		defer silenceTimer.Stop()
		err := c.watchAddress(ctx, addr, &requested, &since, func() { silenceTimer.Reset(c.config.SilenceTimeout) }, onList)
		if cause := context.Cause(ctx); cause != nil && !errors.Is(err, errStaleList) {
			if incomplete := new(IncompleteError); errors.As(err, &incomplete) {
				return &IncompleteError{Pending: incomplete.Pending, Age: incomplete.Age, Err: cause}
			}
			err = cause
		}
		return err
	})
	return err
}

// watchStarted notes that the watch is at an address, and returns what it asks for there.
func (c *Client) watchStarted(addr string, cancel context.CancelCauseFunc) subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = addr, cancel
	requested := c.subscription
	c.subscription.sendsVersion = false
	return requested
}

// watchEnded notes that the watch is at no address.
func (c *Client) watchEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = "", nil
}

// watchAddress is one watch at one address. Its end is never nil: in order it is errWatchClosed.
func (c *Client) watchAddress(ctx context.Context, addr string, requested *subscription, since *int64, onActivity func(), onList func(List)) error {
	resp, err := c.requestList(ctx, addr, requested.watchQuery(*since))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	hasBase := !requested.needsFullList // changes make sense
	scanner := listScanner{onBlankLine: onActivity, onPartial: func(text []byte, firstByteAt time.Time) { c.reportPartial(resp, requested, text, firstByteAt) }}
	scanner.onList = func(text []byte) error {
		list, err := Parse(text)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		list.Scoped, list.Subscription = isScoped(resp), requested.number
		if c.config.RejectOlder && list.Seq < requested.requiredVersion(*since) {
			c.staleListReceived(requested)
			return errStaleList
		}
		hasBase = hasBase || list.Full
		switch {
		case !hasBase && requested.sendsVersion:
			return errServerCaughtUp
		case !hasBase:
			return errFullListExpected
		}
		if err := c.acceptWatchedList(addr, requested, &list); err != nil {
			return err
		}
		*since = list.Seq
		onList(list)
		onActivity()
		return nil
	}
	for buf := make([]byte, 4096); ; {
		n, err := resp.Body.Read(buf)
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

// reportPartial gives the reader what has come of a list that is not finished.
func (c *Client) reportPartial(resp *http.Response, requested *subscription, text []byte, firstByteAt time.Time) {
	if c.config.OnPartial == nil {
		return
	}
	list := parsePartialList(text)
	list.Scoped, list.Subscription, list.Age = isScoped(resp), requested.number, time.Since(firstByteAt)
	c.config.OnPartial(list)
}

// acceptWatchedList notes that a watch gave a list. On an error the list has to be dropped.
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

// staleListReceived notes that an address answered a watch with a list staleListReceived than the reader's.
func (c *Client) staleListReceived(requested *subscription) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number == requested.number {
		c.subscription.sendsVersion = requested.needsFullList && !requested.sendsVersion
	}
}

// Leave tells the service that the reader ends as planned, at one address.
func (c *Client) Leave(ctx context.Context) error {
	if c.config.Member == "" {
		return nil
	}
	c.mu.Lock()
	addr := c.watchedAddress
	if addr == "" {
		c.selector.BeginRound()
		addr, _, _ = c.selector.Next(time.Since(c.createdAt), 0)
	}
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+MembersPath+"/"+c.config.Member, nil)
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	req.Header.Set(BootIDHeader, c.bootID)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	resp.Body.Close()
	return nil
}

// runRound makes calls until one needs no other after it.
func (c *Client) runRound(ctx context.Context, call func(addr string) error) error {
	c.mu.Lock()
	c.selector.BeginRound()
	c.mu.Unlock()
	lastErr := errors.New("no address")
	for {
		c.mu.Lock()
		addr, wait, ok := c.selector.Next(time.Since(c.createdAt), rand.Float64())
		c.mu.Unlock()
		if !ok {
			return lastErr
		}
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return ctx.Err()
			}
		}
		err := call(addr)
		for isOutdated(err) && ctx.Err() == nil && c.hasAddress(addr) {
			err = call(addr)
		}
		if isOutdated(err) && ctx.Err() == nil {
			c.mu.Lock()
			c.selector.BeginRound() // at another address, and as soon
			c.mu.Unlock()
			continue
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		outcome, retryAfter := classifyOutcome(err)
		c.mu.Lock()
		c.selector.CallEnded(time.Since(c.createdAt), addr, outcome, retryAfter)
		hasOthers := c.selector.Others() > 0
		c.mu.Unlock()
		lastErr = err
		if hasOthers {
			lastErr = fmt.Errorf("%s: %w", addr, err)
			if c.config.OnFailover != nil {
				c.config.OnFailover(addr, err)
			}
		}
	}
}

// isOutdated tells whether a call ended because the reader has to ask for something else now.
func isOutdated(err error) bool {
	return errors.Is(err, errSubscriptionChanged) || errors.Is(err, errServerCaughtUp)
}

func (c *Client) hasAddress(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.Has(addr)
}

// acceptFetchedList notes that an address gave the list that was fetched. On an error it has to be dropped.
func (c *Client) acceptFetchedList(addr string, requested *subscription) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number != requested.number {
		return errSubscriptionChanged
	}
	c.selector.ListReceived(addr)
	return nil
}

// busyError is an answer that sends the reader busyError for a time.
type busyError struct{ retryAfter time.Duration }

func (e *busyError) Error() string { return fmt.Sprintf("%v: come back in %v", errBusy, e.retryAfter) }

func classifyOutcome(err error) (CallOutcome, time.Duration) {
	var busy *busyError
	switch {
	case errors.As(err, &busy):
		return OutcomeBusy, busy.retryAfter
	case errors.Is(err, errStaleList), errors.Is(err, errServerStale):
		return OutcomeStale, 0
	case errors.Is(err, errWatchClosed):
		return OutcomeRedirected, 0
	}
	return OutcomeFailed, 0
}

func (c *Client) requestList(ctx context.Context, addr, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path+query, nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	others := c.selector.Others()
	c.mu.Unlock()
	if others > 0 {
		req.Header.Set(OtherAddressesHeader, strconv.Itoa(others))
	}
	if c.config.Member != "" {
		req.Header.Set(MemberHeader, c.config.Member)
		req.Header.Set(BootIDHeader, c.bootID)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		switch {
		case others == 0 || resp.StatusCode != http.StatusServiceUnavailable || parseErr != nil || !(seconds >= 0) || seconds > 1e6:
			return nil, errors.New(resp.Status)
		case resp.Header.Get("Not-Applied") != "":
			return nil, &busyError{time.Duration(seconds * float64(time.Second))}
		}
		return nil, errServerStale
	}
	return resp, nil
}
