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

// requestDeadline is what a request may take to be served in time.
const requestDeadline = time.Second

// requester sends requests to real agents at a steady rate, which waits for no answer, and
// measures their latency from the time at which each was due.
type requester struct {
	client *http.Client
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu        sync.Mutex
	asked     int64
	served    int64
	latencies *hdrhistogram.Histogram // of those served in time, in µs
}

func newRequester(agents []string, perAgent float64) *requester {
	ctx, cancel := context.WithCancel(context.Background())
	r := &requester{cancel: cancel, latencies: hdrhistogram.New(1, int64(requestDeadline/time.Microsecond), 3),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	pause := time.Duration(float64(time.Second) / perAgent)
	for i, agent := range agents {
		first := pause * time.Duration(i) / time.Duration(len(agents))
		r.wait.Go(func() { r.run(ctx, agent, time.Now().Add(first), pause) })
	}
	return r
}

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
		r.wait.Go(func() { r.ask(ctx, agent, serial, at) })
		due = due.Add(pause)
		timer.Reset(time.Until(due))
	}
}

func (r *requester) ask(ctx context.Context, agent string, serial int, due time.Time) {
	deadline := due.Add(requestDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := r.call(ctx, agent, serial, deadline)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if err == nil && took <= requestDeadline {
		r.served++
		_ = r.latencies.RecordValue(max(took.Microseconds(), 1))
	}
}

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

// requestFigures is how requests fared since the last call of take.
type requestFigures struct {
	asked, served int64
	p50Ms, p99Ms  float64
}

// take returns the figures and begins new ones.
func (r *requester) take() requestFigures {
	r.mu.Lock()
	defer r.mu.Unlock()
	figures := requestFigures{asked: r.asked, served: r.served,
		p50Ms: float64(r.latencies.ValueAtQuantile(50)) / 1000, p99Ms: float64(r.latencies.ValueAtQuantile(99)) / 1000}
	r.asked, r.served = 0, 0
	r.latencies.Reset()
	return figures
}

func (r *requester) close() {
	r.cancel()
	r.wait.Wait()
	r.client.CloseIdleConnections()
}
