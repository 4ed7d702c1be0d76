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
func NewClient(c ClientConfig) *Client {
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = WatchSilenceTimeout
	}
	if c.Transport == nil {
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for the service.
		c.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	return &Client{config: c, httpClient: &http.Client{Transport: c.Transport}, createdAt: time.Now(),
		bootID: crand.Text(), selector: NewAddressSelector(c.Addresses, c.Order, c.Fleet), subscription: newSubscription(c.Services)}
}

// SetAddresses changes the addresses. A watch at one that is no longer there goes elsewhere.
func (c *Client) SetAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.SetAddresses(addrs)
	if c.cancelWatch != nil && !c.selector.Has(c.watchedAddress) {
		c.cancelWatch(errAddressRemoved)
	}
}

// Subscribe changes the services, nil for the list of all; least is the reader's version. A watch
// for the services before is ended, and one that begins with the whole list of the new ones takes
// its place at once and at no cost to the budget. No list older than least is taken from then on.
// It returns the number that lists of the new subscription carry: what comes with another one was
// under way and has to be dropped. On an error, which names the service, nothing changes.
func (c *Client) Subscribe(services []string, least int64) (uint64, error) {
	return c.changeSubscription(nil, services, least)
}

// Reconfigure is Set and Subscribe at the same time.
func (c *Client) Reconfigure(addrs, services []string, least int64) (uint64, error) {
	return c.changeSubscription(func() { c.selector.SetAddresses(addrs) }, services, least)
}

func (c *Client) changeSubscription(move func(), services []string, least int64) (uint64, error) {
	if services != nil {
		if err := CheckServices(services); err != nil {
			return 0, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if move != nil {
		move()
	}
	c.subscription.replace(services, least)
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
func (c *Client) Fetch(ctx context.Context, least int64) (List, error) {
	var l List
	err := c.runRound(ctx, func(addr string) error {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		c.mu.Lock()
		asked := c.subscription
		c.mu.Unlock()
		resp, err := c.requestList(ctx, addr, asked.fetchQuery())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		first := time.Now()
		text, err := readList(resp.Body)
		if err != nil {
			// A head alone says nothing of the list: discovery may stall before it writes any of it.
			if len(bytes.TrimSpace(text)) > 0 {
				c.reportPartial(resp, &asked, text, first)
			}
			return err
		}
		if l, err = Parse(text); err != nil {
			return err
		}
		l.Scoped, l.Subscription = isScoped(resp), asked.number
		if c.config.RejectOlder && l.Seq < asked.requiredVersion(least) {
			return errStaleList
		}
		return c.acceptFetchedList(addr, &asked)
	})
	return l, err
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
func (c *Client) Watch(ctx context.Context, since int64, heard func(List)) error {
	err := c.runRound(ctx, func(addr string) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		asked := c.watchStarted(addr, cancel)
		defer c.watchEnded()
		dead := time.AfterFunc(c.config.SilenceTimeout, func() { cancel(errSilenceTimeout) })
		defer dead.Stop()
		err := c.watchAddress(ctx, addr, &asked, &since, func() { dead.Reset(c.config.SilenceTimeout) }, heard)
		if cause := context.Cause(ctx); cause != nil && !errors.Is(err, errStaleList) {
			if cut := new(IncompleteError); errors.As(err, &cut) {
				return &IncompleteError{Pending: cut.Pending, Age: cut.Age, Err: cause}
			}
			err = cause
		}
		return err
	})
	return err
}

// watchStarted notes that the watch is at an address, and returns what it asks for there.
func (c *Client) watchStarted(addr string, leave context.CancelCauseFunc) subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = addr, leave
	asked := c.subscription
	c.subscription.sendsVersion = false
	return asked
}

// watchEnded notes that the watch is at no address.
func (c *Client) watchEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress, c.cancelWatch = "", nil
}

// watchAddress is one watch at one address. Its end is never nil: in order it is errWatchClosed.
func (c *Client) watchAddress(ctx context.Context, addr string, asked *subscription, since *int64, alive func(), heard func(List)) error {
	resp, err := c.requestList(ctx, addr, asked.watchQuery(*since))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	based := !asked.needsFullList // changes make sense
	lists := listScanner{onBlankLine: alive, onPartial: func(text []byte, first time.Time) { c.reportPartial(resp, asked, text, first) }}
	lists.onList = func(text []byte) error {
		l, err := Parse(text)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		l.Scoped, l.Subscription = isScoped(resp), asked.number
		if c.config.RejectOlder && l.Seq < asked.requiredVersion(*since) {
			c.staleListReceived(asked)
			return errStaleList
		}
		based = based || l.Full
		switch {
		case !based && asked.sendsVersion:
			return errServerCaughtUp
		case !based:
			return errFullListExpected
		}
		if err := c.acceptWatchedList(addr, asked, &l); err != nil {
			return err
		}
		*since = l.Seq
		heard(l)
		alive()
		return nil
	}
	for buf := make([]byte, 4096); ; {
		n, err := resp.Body.Read(buf)
		if bad := lists.feed(buf[:n]); bad != nil {
			return bad
		}
		if err == io.EOF {
			err = errWatchClosed
		}
		if err != nil {
			return lists.close(err)
		}
	}
}

// reportPartial gives the reader what has come of a list that is not finished.
func (c *Client) reportPartial(resp *http.Response, asked *subscription, text []byte, first time.Time) {
	if c.config.OnPartial == nil {
		return
	}
	l := parsePartialList(text)
	l.Scoped, l.Subscription, l.Age = isScoped(resp), asked.number, time.Since(first)
	c.config.OnPartial(l)
}

// acceptWatchedList notes that a watch gave a list. On an error the list has to be dropped.
func (c *Client) acceptWatchedList(addr string, asked *subscription, l *List) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number != asked.number {
		return errSubscriptionChanged
	}
	c.subscription.listReceived(l)
	c.selector.ListReceived(addr)
	return nil
}

// staleListReceived notes that an address answered a watch with a list staleListReceived than the reader's.
func (c *Client) staleListReceived(asked *subscription) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number == asked.number {
		c.subscription.sendsVersion = asked.needsFullList && !asked.sendsVersion
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
	last := errors.New("no address")
	for {
		c.mu.Lock()
		addr, wait, ok := c.selector.Next(time.Since(c.createdAt), rand.Float64())
		c.mu.Unlock()
		if !ok {
			return last
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
		how, retry := classifyOutcome(err)
		c.mu.Lock()
		c.selector.CallEnded(time.Since(c.createdAt), addr, how, retry)
		several := c.selector.Others() > 0
		c.mu.Unlock()
		last = err
		if several {
			last = fmt.Errorf("%s: %w", addr, err)
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
func (c *Client) acceptFetchedList(addr string, asked *subscription) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.subscription.number != asked.number {
		return errSubscriptionChanged
	}
	c.selector.ListReceived(addr)
	return nil
}

// busyError is an answer that sends the reader busyError for a time.
type busyError struct{ retryAfter time.Duration }

func (a *busyError) Error() string { return fmt.Sprintf("%v: come back in %v", errBusy, a.retryAfter) }

func classifyOutcome(err error) (CallOutcome, time.Duration) {
	var a *busyError
	switch {
	case errors.As(err, &a):
		return OutcomeBusy, a.retryAfter
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
		seconds, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		switch {
		case others == 0 || resp.StatusCode != http.StatusServiceUnavailable || bad != nil || !(seconds >= 0) || seconds > 1e6:
			return nil, errors.New(resp.Status)
		case resp.Header.Get("Not-Applied") != "":
			return nil, &busyError{time.Duration(seconds * float64(time.Second))}
		}
		return nil, errServerStale
	}
	return resp, nil
}
