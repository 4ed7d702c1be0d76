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

// requestDeadline is the time from when a request is due within which it must be served.
const requestDeadline = time.Second

// maxIdlePerAgent is the number of idle connections that are kept to each agent.
const maxIdlePerAgent = 32

// requester sends requests to real agents at a steady rate, which doesn't wait for answers, and
// measures their latency from the time at which each was due. Each agent has a goroutine that sends
// and one more for each request under way.
type requester struct {
	client  *http.Client
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	sent      int64
	served    int64
	latencies *hdrhistogram.Histogram // of those served in time, in µs
}

// newRequester starts to send requests to the agents, perAgent a second to each; close ends it.
func newRequester(agents []string, perAgent float64) *requester {
	ctx, cancel := context.WithCancel(context.Background())
	r := &requester{
		cancel:    cancel,
		latencies: hdrhistogram.New(1, int64(requestDeadline/time.Microsecond), 3),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerAgent}},
	}
	pause := time.Duration(float64(time.Second) / perAgent)
	for i, agent := range agents {
		first := pause * time.Duration(i) / time.Duration(len(agents))
		r.running.Go(func() { r.run(ctx, agent, time.Now().Add(first), pause) })
	}
	return r
}

// run sends a request each pause, the first when it is due, until the context ends.
func (r *requester) run(ctx context.Context, agent string, due time.Time, pause time.Duration) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	for serial := 0; ; serial++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		at := due
		r.running.Go(func() { r.send(ctx, agent, serial, at) })
		due = due.Add(pause)
		timer.Reset(time.Until(due))
	}
}

// send sends one request and counts its outcome.
func (r *requester) send(ctx context.Context, agent string, serial int, due time.Time) {
	deadline := due.Add(requestDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := r.call(ctx, agent, serial, deadline)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err == nil && took <= requestDeadline {
		r.served++
		_ = r.latencies.RecordValue(max(took.Microseconds(), 1))
	}
}

// call makes one call. It returns an error unless the answer is read to its end and has status 200.
func (r *requester) call(ctx context.Context, agent string, serial int, deadline time.Time) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/schedule-read/%d", agent, serial), nil)
	if err != nil {
		return err
	}
	request.Header.Set("Request-Id", fmt.Sprintf("%s-%d", agent, serial))
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
		return fmt.Errorf("answered %s", response.Status)
	}
	return nil
}

// requestFigures is the outcome of the requests between two calls of take.
type requestFigures struct {
	sent, served int64
	p50Ms, p99Ms float64
}

// take returns the figures since its last call.
func (r *requester) take() requestFigures {
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

// close ends the requests and waits for those under way.
func (r *requester) close() {
	r.cancel()
	r.running.Wait()
	r.client.CloseIdleConnections()
}
