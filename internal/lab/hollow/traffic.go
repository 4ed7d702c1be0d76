package hollow

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts what went over connections to one address.
type Traffic struct {
	Calls    int64 `json:"calls"`     // HTTP calls that were begun
	Refused  int64 `json:"refused"`   // calls that were answered with 503
	Failed   int64 `json:"failed"`    // calls without an answer
	BytesIn  int64 `json:"bytes_in"`  // payload of TCP, HTTP headers included
	BytesOut int64 `json:"bytes_out"` // payload of TCP, HTTP headers included
}

// Add adds the other's counts.
func (t *Traffic) Add(other Traffic) {
	t.Calls += other.Calls
	t.Refused += other.Refused
	t.Failed += other.Failed
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
}

// Sub returns the difference to earlier counts.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{Calls: t.Calls - earlier.Calls, Refused: t.Refused - earlier.Refused, Failed: t.Failed - earlier.Failed,
		BytesIn: t.BytesIn - earlier.BytesIn, BytesOut: t.BytesOut - earlier.BytesOut}
}

// counter is a Traffic that many goroutines count in.
type counter struct {
	calls, refused, failed, bytesIn, bytesOut atomic.Int64
}

func (c *counter) read() Traffic {
	return Traffic{Calls: c.calls.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load()}
}

// meter is an http.RoundTripper that counts calls and bytes by the address they go to.
type meter struct {
	transport http.RoundTripper

	mu        sync.Mutex
	byAddress map[string]*counter
}

// newMeter counts over connections that a transport makes; the transport's dialer is
// replaced. Local addresses are taken in turn; none leaves the choice to the kernel.
func newMeter(transport *http.Transport, sources []string) *meter {
	m := &meter{transport: transport, byAddress: map[string]*counter{}}
	var dialed atomic.Int64
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		if len(sources) > 0 {
			source := sources[int(dialed.Add(1))%len(sources)]
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
		}
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, counter: m.of(address)}, nil
	}
	return m
}

const dialTimeout = 2 * time.Second

// of returns the counter of an address.
func (m *meter) of(address string) *counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.byAddress[address]
	if c == nil {
		c = &counter{}
		m.byAddress[address] = c
	}
	return c
}

// read returns all counts by address.
func (m *meter) read() map[string]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]Traffic, len(m.byAddress))
	for address, c := range m.byAddress {
		all[address] = c.read()
	}
	return all
}

// RoundTrip makes a call and counts it.
func (m *meter) RoundTrip(request *http.Request) (*http.Response, error) {
	c := m.of(request.URL.Host)
	c.calls.Add(1)
	response, err := m.transport.RoundTrip(request)
	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		c.failed.Add(1)
	case err == nil && response.StatusCode == http.StatusServiceUnavailable:
		c.refused.Add(1)
	}
	return response, err
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.bytesOut.Add(int64(n))
	return n, err
}
