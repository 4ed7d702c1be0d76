package endpoints

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// WatchSilenceTimeout is how long a watch may receive no line before the client ends it. The service
// writes a line every 2 s and assumes that a change is delivered after 6 s, so the timeout has to leave
// time for a request to another address within the 6 s.
const WatchSilenceTimeout = 3500 * time.Millisecond

// ClientConfig configures a Client.
type ClientConfig struct {
	Addresses      []string      // addresses of the list service's servers, as host:port
	OrderSeed      uint64        // seed of the reader's own order of the addresses
	Fleet          int           // number of readers that share the list service
	SilenceTimeout time.Duration // 0: WatchSilenceTimeout
	Member         string        // name that the reader registers under as a member; "": it does not register
	RejectOlder    bool          // treat a list older than the reader's version as a failure of the address
	Services       []string      // services to subscribe to, which must pass CheckServices; nil: the list of all services
	Transport      http.RoundTripper
	// OnPartial, if not nil, receives the part of a list that has arrived while the rest is delayed
	// or lost. The service treats the bytes it has written as delivered, so the reader has to apply
	// them whether or not the rest arrives. OnPartial may run on another goroutine than the call, but
	// never after a later list was handed over.
	OnPartial func(l List)
	// OnFailover, if not nil, receives each address that a call failed over from, and the reason. It
	// may be called often.
	OnFailover func(addr string, err error)
	// OnLateAnswer, if not nil, is called when the service answers a watch that was given up as silent, unless it is
	// given up for good. The next call of Watch begins with that answer. It may be called on any goroutine.
	OnLateAnswer func()
}

// Client reads the endpoint list from one of several addresses. A fetch and a watch may run
// concurrently; two watches may not.
type Client struct {
	config     ClientConfig
	httpClient *http.Client
	createdAt  time.Time
	bootID     string // distinguishes this client from all others that have used its member name

	lateWatches, lateFetches *lateRequests

	mu             sync.Mutex
	selector       *AddressSelector
	subscription   subscription
	watchedAddress string                  // "": no watch is running
	cancelWatch    context.CancelCauseFunc // ends the running watch; nil: there is none
}

// NewClient returns a client that has made no call yet.
func NewClient(config ClientConfig) *Client {
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = WatchSilenceTimeout
	}
	if config.Transport == nil {
		// Each call opens a connection: an idle connection could break during the next call, which
		// the transport would then send twice, and each call is work for the service.
		config.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	return &Client{
		config:       config,
		httpClient:   &http.Client{Transport: config.Transport},
		createdAt:    time.Now(),
		bootID:       crand.Text(),
		selector:     NewAddressSelector(config.Addresses, config.OrderSeed, config.Fleet),
		subscription: newSubscription(config.Services),
		lateWatches:  newLateRequests(config.OnLateAnswer),
		lateFetches:  newLateRequests(nil),
	}
}

// SetAddresses replaces the addresses. A watch at a removed address continues at another one.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.SetAddresses(addresses)
	if c.cancelWatch != nil && !c.selector.Has(c.watchedAddress) {
		c.cancelWatch(errAddressRemoved)
	}
	c.dropRemovedAddresses()
}

// dropRemovedAddresses ends the late requests to addresses that were removed. The lock must be held.
func (c *Client) dropRemovedAddresses() {
	removed := func(r *listRequest) bool { return !c.selector.Has(r.addr) }
	c.lateWatches.drop(removed)
	c.lateFetches.drop(removed)
}

// Subscribe replaces the services; nil stands for the list of all services. version is the version of
// the list that the reader holds; older lists are rejected from then on. A running watch ends
// and is replaced at once by a watch for the new services, which begins with a full list and is not
// charged to the budget.
//
// Subscribe returns the number of the new subscription. Lists with another List.Subscription were
// already in flight and have to be dropped. If Subscribe returns an error, nothing has changed; the
// error names the invalid service.
func (c *Client) Subscribe(services []string, version int64) (uint64, error) {
	return c.changeSubscription(nil, services, version)
}

// Reconfigure does what SetAddresses and Subscribe do, in one step.
func (c *Client) Reconfigure(addresses, services []string, version int64) (uint64, error) {
	return c.changeSubscription(func() { c.selector.SetAddresses(addresses) }, services, version)
}

// changeSubscription calls setAddresses, if it is not nil, and replaces the services under one lock,
// so that no call sees the new addresses with the old services.
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
	c.dropRemovedAddresses()
	if c.cancelWatch != nil {
		c.cancelWatch(errSubscriptionChanged)
	}
	return c.subscription.number, nil
}

// BudgetExhausted returns how many rounds of calls ended because the call budget was exhausted.
func (c *Client) BudgetExhausted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.BudgetExhausted()
}

// Leave deregisters the reader's member name at one address, so that the service doesn't mistake the
// reader's planned shutdown for a failure. It does nothing without a member name. It returns an
// error if the request fails; the status of the response is ignored.
func (c *Client) Leave(ctx context.Context) error {
	if c.config.Member == "" {
		return nil
	}
	url := "http://" + c.leaveAddress() + MembersPath + "/" + c.config.Member
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
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

// leaveAddress returns the address of the running watch, or the preferred address if there is none.
func (c *Client) leaveAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchedAddress != "" {
		return c.watchedAddress
	}
	c.selector.BeginRound()
	addr, _, _ := c.selector.Next(time.Since(c.createdAt), 0)
	return addr
}
