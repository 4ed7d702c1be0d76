package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// requestDeadline is the time within which a request has to be served, counted from its due time.
const requestDeadline = time.Second

// maxIdlePerAgent is the maximum number of idle connections that are kept to each agent.
const maxIdlePerAgent = 32

// loadGenerator sends requests to real agents at a constant rate, without waiting for responses (an
// open loop), and measures the latency of each request from its due time. It has one goroutine per
// agent that starts the requests, and one goroutine per request in flight.
type loadGenerator struct {
	client  *http.Client
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	sent      int64
	served    int64
	latencies *hdrhistogram.Histogram // latencies in µs of the requests served within requestDeadline
}

// newLoadGenerator starts to send ratePerAgent requests a second to each agent, until close is called.
func newLoadGenerator(agents []string, ratePerAgent float64) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	r := &loadGenerator{
		cancel:    cancel,
		latencies: hdrhistogram.New(1, int64(requestDeadline/time.Microsecond), 3),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerAgent}},
	}
	interval := time.Duration(float64(time.Second) / ratePerAgent)
	for i, agent := range agents {
		first := interval * time.Duration(i) / time.Duration(len(agents))
		r.running.Go(func() { r.run(ctx, agent, time.Now().Add(first), interval) })
	}
	return r
}

// run sends the first request at the due time and then one per interval, until the context ends.
func (r *loadGenerator) run(ctx context.Context, agent string, due time.Time, interval time.Duration) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for sequence := 0; ; sequence++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		at := due
		r.running.Go(func() { r.send(ctx, agent, sequence, at) })
		due = due.Add(interval)
		timer.Reset(time.Until(due))
	}
}

// send sends one request and records its outcome.
func (r *loadGenerator) send(ctx context.Context, agent string, sequence int, due time.Time) {
	deadline := due.Add(requestDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := r.call(ctx, agent, sequence, deadline)
	elapsed := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err == nil && elapsed <= requestDeadline {
		r.served++
		_ = r.latencies.RecordValue(max(elapsed.Microseconds(), 1))
	}
}

// call makes one call. It returns an error unless the response is complete and has status 200.
func (r *loadGenerator) call(ctx context.Context, agent string, sequence int, deadline time.Time) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/schedule-read/%d", agent, sequence), nil)
	if err != nil {
		return err
	}
	request.Header.Set("Request-Id", fmt.Sprintf("%s-%d", agent, sequence))
	request.Header.Set("Request-Timeout", fmt.Sprintf("%du", max(time.Until(deadline).Microseconds(), 1)))
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("response status %s", response.Status)
	}
	return nil
}

// requestFigures holds the counts and latencies of the requests that ended between two calls of
// takeFigures.
type requestFigures struct {
	sent, served int64
	p50Ms, p99Ms float64
}

// takeFigures returns the figures since the last call and resets them.
func (r *loadGenerator) takeFigures() requestFigures {
	r.mu.Lock()
	defer r.mu.Unlock()
	figures := requestFigures{
		sent:   r.sent,
		served: r.served,
		p50Ms:  float64(r.latencies.ValueAtQuantile(50)) / 1000,
		p99Ms:  float64(r.latencies.ValueAtQuantile(99)) / 1000,
	}
	r.sent, r.served = 0, 0
	r.latencies.Reset()
	return figures
}

// close stops sending, cancels the requests in flight and waits until they have ended.
func (r *loadGenerator) close() {
	r.cancel()
	r.running.Wait()
	r.client.CloseIdleConnections()
}
