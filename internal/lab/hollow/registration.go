package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
)

const (
	// maxCallAttempts bounds the attempts of a registration or a change. The pause between two attempts is
	// retryPause.
	maxCallAttempts = 100
	retryPause      = 200 * time.Millisecond

	// initialAge is the age of a process that registers for the first time, so that it counts as warm.
	initialAge = time.Hour
)

// RegistrationResult is the outcome of the registrations of a Range.
type RegistrationResult struct {
	Servers       int     `json:"servers"` // number of servers that were registered
	RefusalReason string  `json:"refused"` // error of the first refused registration; "": all succeeded
	Seconds       float64 `json:"seconds"`
}

// Register registers servers as fast as possible, and stops at the first registration that is permanently
// refused or fails maxCallAttempts times. A server that registers for the first time counts as started
// initialAge ago; for a server that was registered before, a new process starts now.
func (p *Servers) Register(ctx context.Context, r Range) RegistrationResult {
	began := time.Now()
	var next, done atomic.Int64
	var refusal atomic.Pointer[string]
	var running sync.WaitGroup
	for writer := range writerCount {
		running.Go(func() {
			for refusal.Load() == nil {
				index := r.First + int(next.Add(1)) - 1
				if index >= r.First+r.Count {
					return
				}
				if err := p.registerProcess(ctx, writer, index); err != nil {
					text := err.Error()
					refusal.CompareAndSwap(nil, &text)
					return
				}
				done.Add(1)
			}
		})
	}
	running.Wait()
	result := RegistrationResult{Servers: int(done.Load()), Seconds: time.Since(began).Seconds()}
	if text := refusal.Load(); text != nil {
		result.RefusalReason = *text
	}
	return result
}

// registerProcess registers a new process of a server, with retries.
func (p *Servers) registerProcess(ctx context.Context, writer, index int) error {
	p.mu.Lock()
	startedAt := time.Now()
	if p.servers[index].endpoint.StartedMs == 0 {
		startedAt = startedAt.Add(-initialAge)
	}
	p.servers[index].endpoint.StartedMs = float64(startedAt.UnixMilli())
	p.mu.Unlock()
	return retry(ctx, func() error {
		_, err := p.register(ctx, writer, index)
		return err
	})
}

// register registers the current process of a server, whose lease is renewed from then on.
func (p *Servers) register(ctx context.Context, writer, index int) (catalog.Result, error) {
	endpoint, _ := p.endpointOf(index)
	result, err := p.clients[writer].Register(ctx, endpoint)
	if err != nil {
		return result, err
	}
	p.counts.registrations.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[index].endpoint.StartedMs == endpoint.StartedMs {
		p.setRenewing(index, true)
	}
	return result, nil
}

// StopRenewing stops the renewals of servers without any call to the control plane, as happens in a zone that
// is cut off from the network.
func (p *Servers) StopRenewing(r Range) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := r.First; i < r.First+r.Count; i++ {
		p.setRenewing(i, false)
	}
}

// Drain drains servers, which continue to renew their leases, and returns how many calls succeeded.
func (p *Servers) Drain(ctx context.Context, r Range) int {
	return p.drainOrRemove(ctx, r, true)
}

// Deregister removes servers from the list and returns how many calls succeeded.
func (p *Servers) Deregister(ctx context.Context, r Range) int {
	return p.drainOrRemove(ctx, r, false)
}

// drainOrRemove drains servers, whose renewals continue, or removes them from the list, which ends their
// renewals. It returns how many calls succeeded.
func (p *Servers) drainOrRemove(ctx context.Context, r Range, drain bool) int {
	ended := 0
	for i := r.First; i < r.First+r.Count; i++ {
		p.mu.Lock()
		s := &p.servers[i]
		ref := s.ref()
		p.setRenewing(i, s.renewing && drain)
		p.mu.Unlock()
		if p.retryChange(ctx, func() error { return p.drainOrRemoveServer(ctx, ref, drain) }) {
			ended++
		}
	}
	return ended
}

// drainOrRemoveServer calls the control-plane servers in turn until one accepts the drain or the removal.
func (p *Servers) drainOrRemoveServer(ctx context.Context, ref catalog.InstanceRef, drain bool) error {
	var err error
	for _, address := range p.config.ControlPlane {
		method, path := http.MethodDelete, "/v1/servers/"+ref.Name
		if drain {
			method, path = http.MethodPost, path+"/drain"
		}
		url := fmt.Sprintf("http://%s%s?born_ms=%.0f", address, path, ref.StartedMs)
		if err = p.call(ctx, method, url); err == nil {
			return nil
		}
	}
	return err
}

// call sends one call without a body. It returns an error unless the response has status 200.
func (p *Servers) call(ctx context.Context, method, url string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := newRequest(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Transport: p.meter}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, request.URL.Path, response.Status)
	}
	return nil
}

// retryChange makes a call with retries and counts the change as failed if they fail. It reports whether
// the call succeeded.
func (p *Servers) retryChange(ctx context.Context, call func() error) bool {
	if err := retry(ctx, call); err != nil {
		p.counts.changesFailed.Add(1)
		return false
	}
	return true
}

// retry repeats a call until it succeeds. It returns the call's error if that is permanent or the call has
// failed maxCallAttempts times, or the context's error if the context ends.
func retry(ctx context.Context, call func() error) error {
	var err error
	for range maxCallAttempts {
		if err = call(); err == nil || isPermanent(err) {
			return err
		}
		if !Sleep(ctx, retryPause) {
			return ctx.Err()
		}
	}
	return err
}

// isPermanent reports whether the control plane refused a call with a status other than 503, so that a retry
// would be refused too.
func isPermanent(err error) bool {
	var refused *control.HTTPError
	return errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable
}
