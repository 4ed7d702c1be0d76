package agent

import (
	"context"

	"knotrouter/internal/endpoints"
)

// discovery calls the service that lists the backends. Its methods block; the loop runs each in its
// own goroutine and receives the result as an event.
type discovery struct {
	addrs  []string
	client *endpoints.Client
	post   func(event)
}

// newDiscovery returns a client of the discovery service that delivers its events to post.
func newDiscovery(c endpoints.ClientConfig, post func(event)) *discovery {
	d := &discovery{addrs: c.Addresses}
	d.post = func(e event) {
		e.source = d
		post(e)
	}
	c.OnFailover = func(addr string, err error) { d.post(event{kind: eventFailover, addr: addr, err: err}) }
	c.OnLateAnswer = func() { d.post(event{kind: eventLateAnswer}) }
	c.OnPartial = func(l endpoints.List) { d.post(event{kind: eventListPartial, list: l}) }
	d.client = endpoints.NewClient(c)
	return d
}

// fetch requests the full list once; its version must be at least minVersion.
func (d *discovery) fetch(ctx context.Context, minVersion int64) {
	l, err := d.client.Fetch(ctx, minVersion)
	d.post(event{kind: eventListFetched, list: l, err: err})
}

// leave notifies the control plane that this agent shuts down as planned.
func (d *discovery) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownAcceptPeriod)
	defer cancel()
	if err := d.client.Leave(ctx); err != nil {
		d.post(event{kind: eventFailover, err: err})
	}
}

// watch reads the changes after the version since, until no address is left to try.
func (d *discovery) watch(ctx context.Context, since int64) {
	reported := since
	err := d.client.Watch(ctx, since, func(l endpoints.List) {
		d.post(event{kind: eventListChanged, list: l, since: reported})
		reported = l.Seq
	})
	d.post(event{kind: eventWatchEnded, err: err})
}
