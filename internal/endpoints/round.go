package endpoints

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// runRound makes one round of calls: it calls one address after the other, as chosen by the selector,
// until a call succeeds, ctx ends, or the selector ends the round. call returns the address that has answered, which is
// another one if that was late, and an error. runRound returns the error of the last call, prefixed with its address if
// there is more than one address.
func (c *Client) runRound(ctx context.Context, call func(addr string) (answeredBy string, err error)) error {
	c.beginRound()
	lastErr := errNoAddress
	for {
		addr, wait, ok := c.nextAddress()
		if !ok {
			return lastErr
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		addr, err := c.callWhileOutdated(ctx, addr, call)
		if isOutdated(err) && ctx.Err() == nil {
			c.beginRound() // the address was removed: the next one is called without backoff
			continue
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		lastErr = c.recordFailure(addr, err)
	}
}

func (c *Client) beginRound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.BeginRound()
}

// nextAddress returns the address of the next call and the time to wait before it; ok is false at the
// end of the round.
func (c *Client) nextAddress() (addr string, wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.Next(time.Since(c.createdAt), rand.Float64())
}

// sleep waits, and returns the error of ctx if ctx ends first. It doesn't check ctx if wait is not
// positive.
func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callWhileOutdated calls an address. It repeats the call as long as the call ends because its request
// was outdated, unless the address has been removed.
func (c *Client) callWhileOutdated(ctx context.Context, addr string, call func(addr string) (string, error)) (answeredBy string, err error) {
	answeredBy, err = call(addr)
	for isOutdated(err) && ctx.Err() == nil && c.hasAddress(answeredBy) {
		answeredBy, err = call(answeredBy)
	}
	return answeredBy, err
}

func (c *Client) hasAddress(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.Has(addr)
}

// recordFailure records in the selector how a call ended and, if there is another address, reports the
// failover. It returns the error for the caller of the round.
func (c *Client) recordFailure(addr string, err error) error {
	outcome, retryAfter := classifyOutcome(err)
	c.mu.Lock()
	c.selector.CallEnded(time.Since(c.createdAt), addr, outcome, retryAfter)
	hasOtherAddresses := c.selector.OtherCount() > 0
	c.mu.Unlock()
	if !hasOtherAddresses {
		return err
	}
	if c.config.OnFailover != nil {
		c.config.OnFailover(addr, err)
	}
	return fmt.Errorf("%s: %w", addr, err)
}
