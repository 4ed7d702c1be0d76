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
	// maxCallAttempts bounds how often a registration or a change is attempted, retryPause apart.
	maxCallAttempts = 100
	retryPause      = 200 * time.Millisecond

	// initialAge is the age of the processes that register for the first time: they count as warm.
	initialAge = time.Hour
)

// RegistrationResult is the outcome of the registrations of a Range.
type RegistrationResult struct {
	Servers       int     `json:"servers"` // that are registered
	RefusalReason string  `json:"refused"` // why the first one was not; "": all are
	Seconds       float64 `json:"seconds"`
}

// Register registers servers as fast as it goes, and stops at the first that is refused for good
// or fails too often. A server that registers for the first time has run for initialAge; one that
// was registered before is a process that starts now.
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

// registerProcess registers a new process of a server.
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

// register registers the present process of a server, which then renews.
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

// StopRenewing has servers stop renewing without another call, as in a zone that is cut off.
func (p *Servers) StopRenewing(r Range) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := r.First; i < r.First+r.Count; i++ {
		p.setRenewing(i, false)
	}
}

// Drain drains servers, which renew on, and returns how many drain.
func (p *Servers) Drain(ctx context.Context, r Range) int {
	return p.drainOrRemove(ctx, r, true)
}

// Deregister has servers remove themselves from the list, and returns how many did.
func (p *Servers) Deregister(ctx context.Context, r Range) int {
	return p.drainOrRemove(ctx, r, false)
}

// drainOrRemove drains servers, which go on renewing, or removes them from the list, which ends their
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

// drainOrRemoveServer calls the control-plane servers in turn until one takes the drain or the removal.
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

// call makes one call without a body. It returns an error unless the answer has status 200.
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

// retryChange retries a call and counts a change that failed. It returns whether the call succeeded.
func (p *Servers) retryChange(ctx context.Context, call func() error) bool {
	if err := retry(ctx, call); err != nil {
		p.counts.changesFailed.Add(1)
		return false
	}
	return true
}

// retry makes a call until it succeeds. It returns the call's error if that is permanent or the
// last attempt's, or the context's.
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

// isPermanent returns whether the control plane refused a call with a status other than 503, so
// that it would refuse the call again.
func isPermanent(err error) bool {
	var refused *control.HTTPError
	return errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable
}
