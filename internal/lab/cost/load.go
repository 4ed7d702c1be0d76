package cost

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// callTimeout is how long a call may take.
	callTimeout = 5 * time.Second
	// pairGap is the time between the two sends of a pair.
	pairGap = 3 * time.Millisecond
	// keys is how many different objects the calls are about.
	keys = 2000
	// idleTimeout is how long the caller keeps a connection: shorter than the agent, which
	// closes idle ones after 2.1 s, so that no call meets a close.
	idleTimeout = 1500 * time.Millisecond
	maxIdle     = 512
	maxAnswer   = 64 << 10
)

// route is one of the two ways that each call of a pair takes.
type route int

const (
	direct route = iota
	throughAgent
	routes
)

// send is one planned call.
type send struct {
	at    time.Duration // since the beginning of the load
	pair  int
	route route
	key   uint64
	to    int // the emulated server of a direct call
}

// drawSends draws a Poisson process of pairs with the given rate from the seed alone. The two
// calls of a pair are about the same key and stand pairGap apart in random order.
func drawSends(rate float64, duration time.Duration, seed uint64) (sends []send, pairs int) {
	rng := rand.New(rand.NewPCG(seed, 115))
	for at := time.Duration(0); ; pairs++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			break
		}
		first := route(rng.IntN(int(routes)))
		key, to := rng.Uint64N(keys), rng.IntN(listeners)
		sends = append(sends,
			send{at: at, pair: pairs, route: first, key: key, to: to},
			send{at: at + pairGap, pair: pairs, route: 1 - first, key: key, to: to})
	}
	slices.SortStableFunc(sends, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	return sends, pairs
}

// outcome is how one call ended.
type outcome struct {
	latency time.Duration // from its send to the last byte of its answer
	late    time.Duration // from its planned time to its send
	ending  ending
}

// ending is how a call ended.
type ending int

const (
	unanswered ending = iota // within callTimeout, or not whole
	served
	refused // 429 or 503
	failed  // any other status
	endings
)

// endingOf tells what a status means to the caller.
func endingOf(status int) ending {
	switch status {
	case http.StatusOK:
		return served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refused
	}
	return failed
}

// pairOutcome holds the outcomes of a pair by route.
type pairOutcome [routes]outcome

// caller sends calls to an agent and to emulated servers. It keeps connections to both.
type caller struct {
	agent       string
	servers     []string
	transport   *http.Transport
	directDials atomic.Int64 // connections that it opened to emulated servers
}

func newCaller(agent string, servers []string) *caller {
	c := &caller{agent: agent, servers: servers}
	c.transport = &http.Transport{DialContext: c.dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout: idleTimeout}
	return c
}

func (c *caller) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if addr != c.agent {
		c.directDials.Add(1)
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

func (c *caller) close() { c.transport.CloseIdleConnections() }

// run sends each call at its time, whatever became of those before it (an open loop), and
// returns once all have ended. It returns early with the context's error.
func (c *caller) run(ctx context.Context, sends []send, pairs int) ([]pairOutcome, error) {
	outcomes := make([]pairOutcome, pairs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	began := time.Now()
	for i := range sends {
		s := &sends[i]
		if wait := s.at - time.Since(began); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		running.Add(1)
		go func() {
			defer running.Done()
			outcomes[s.pair][s.route] = c.call(ctx, s, began.Add(s.at))
		}()
	}
	running.Wait()
	return outcomes, ctx.Err()
}

// call makes one call. Its latency counts from its send: how late the lab itself sent it is
// told apart, as that lateness is the same on both routes.
func (c *caller) call(ctx context.Context, s *send, planned time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addr := c.agent
	if s.route == direct {
		addr = c.servers[s.to%len(c.servers)]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/%x", addr, CallClass, s.key), nil)
	if err != nil {
		return outcome{}
	}
	req.Header.Set("Request-Id", strconv.Itoa(s.pair))
	req.Header.Set("Request-Timeout", strconv.FormatInt(callTimeout.Milliseconds(), 10)+"m")
	sent := time.Now()
	end := c.roundTrip(req)
	return outcome{latency: time.Since(sent), late: sent.Sub(planned), ending: end}
}

// roundTrip returns once the answer is whole, or the request's context has ended.
func (c *caller) roundTrip(req *http.Request) ending {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return unanswered
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		return unanswered
	}
	return endingOf(resp.StatusCode)
}

// summary is what the pairs of a load show.
type summary struct {
	pairs   int
	ended   [routes][endings]int
	latency [routes]*hdrhistogram.Histogram // of the calls that were served
	late    *hdrhistogram.Histogram
	added   []float64 // of each pair that was served on both routes, sorted, in ms
}

// share is the part of the calls on a route that ended so.
func (s *summary) share(r route, e ending) float64 {
	return float64(s.ended[r][e]) / max(float64(s.pairs), 1)
}

// summarize counts endings and latencies.
func summarize(outcomes []pairOutcome) *summary {
	s := &summary{pairs: len(outcomes), late: newHistogram()}
	for r := range s.latency {
		s.latency[r] = newHistogram()
	}
	for i := range outcomes {
		pair := &outcomes[i]
		for r := range pair {
			s.ended[r][pair[r].ending]++
			record(s.late, pair[r].late)
			if pair[r].ending == served {
				record(s.latency[r], pair[r].latency)
			}
		}
		if pair[direct].ending == served && pair[throughAgent].ending == served {
			s.added = append(s.added, milliseconds(pair[throughAgent].latency-pair[direct].latency))
		}
	}
	slices.Sort(s.added)
	return s
}

// newHistogram covers 1 µs to a minute with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, 0), time.Minute).Microseconds()) // within its range
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// quantile returns a quantile of sorted values; a histogram holds no negative ones.
func quantile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(percent/100*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
