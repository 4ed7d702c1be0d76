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

// Traffic counts the calls and the bytes on connections to an address.
type Traffic struct {
	Calls    int64 `json:"calls"`     // HTTP calls that were started
	Refused  int64 `json:"refused"`   // calls with a response of status 503
	Failed   int64 `json:"failed"`    // calls without a response
	BytesIn  int64 `json:"bytes_in"`  // payload of TCP, HTTP headers included
	BytesOut int64 `json:"bytes_out"` // payload of TCP, HTTP headers included
}

// Add adds other's counts to t's.
func (t *Traffic) Add(other Traffic) {
	t.Calls += other.Calls
	t.Refused += other.Refused
	t.Failed += other.Failed
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
}

// Sub returns t minus the earlier counts.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		Calls:    t.Calls - earlier.Calls,
		Refused:  t.Refused - earlier.Refused,
		Failed:   t.Failed - earlier.Failed,
		BytesIn:  t.BytesIn - earlier.BytesIn,
		BytesOut: t.BytesOut - earlier.BytesOut,
	}
}

// trafficCounter counts Traffic. It is safe for concurrent use.
type trafficCounter struct {
	calls, refused, failed, bytesIn, bytesOut atomic.Int64
}

func (c *trafficCounter) load() Traffic {
	return Traffic{
		Calls:    c.calls.Load(),
		Refused:  c.refused.Load(),
		Failed:   c.failed.Load(),
		BytesIn:  c.bytesIn.Load(),
		BytesOut: c.bytesOut.Load(),
	}
}

// dialTimeout limits the time to establish a connection.
const dialTimeout = 2 * time.Second

// meteredTransport is an http.RoundTripper that counts calls and bytes by address. It is safe for concurrent
// use.
type meteredTransport struct {
	transport http.RoundTripper

	mu        sync.Mutex
	byAddress map[string]*trafficCounter
}

// newMeteredTransport returns a meteredTransport that wraps the transport and replaces its dialer. Connections
// use the local addresses in sources in turn, or one chosen by the kernel if sources is empty.
func newMeteredTransport(transport *http.Transport, sources []string) *meteredTransport {
	m := &meteredTransport{transport: transport, byAddress: map[string]*trafficCounter{}}
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
		return &countedConn{Conn: connection, counter: m.counterFor(address)}, nil
	}
	return m
}

// counterFor returns the counter of an address.
func (m *meteredTransport) counterFor(address string) *trafficCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.byAddress[address]
	if counter == nil {
		counter = &trafficCounter{}
		m.byAddress[address] = counter
	}
	return counter
}

// traffic returns the counts of each address and their total.
func (m *meteredTransport) traffic() (byAddress map[string]Traffic, total Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byAddress = make(map[string]Traffic, len(m.byAddress))
	for address, counter := range m.byAddress {
		counts := counter.load()
		byAddress[address] = counts
		total.Add(counts)
	}
	return byAddress, total
}

// RoundTrip makes a call through the transport and counts it and its outcome. A canceled call is not counted
// as failed.
func (m *meteredTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	counter := m.counterFor(request.URL.Host)
	counter.calls.Add(1)
	response, err := m.transport.RoundTrip(request)
	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		counter.failed.Add(1)
	case err == nil && response.StatusCode == http.StatusServiceUnavailable:
		counter.refused.Add(1)
	}
	return response, err
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read reads from the connection and counts the received bytes.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.bytesIn.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.bytesOut.Add(int64(n))
	return n, err
}
