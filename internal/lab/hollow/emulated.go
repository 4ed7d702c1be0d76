package hollow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// discardAddress is the address of all hollow servers if there are no emulated servers: the discard
	// port, at which nothing answers.
	discardAddress = "127.0.0.1:9"
	// readHeaderTimeout limits how long an emulated server reads a request's headers.
	readHeaderTimeout = time.Minute
)

// listenEmulated starts to listen for the emulated servers and returns their addresses in the order of the
// zones, or only discardAddress if there are none.
func (p *Servers) listenEmulated() ([]string, error) {
	if p.config.EmulatedPerZone == 0 {
		return []string{discardAddress}, nil
	}
	var addresses []string
	for range Zones * p.config.EmulatedPerZone {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("emulated server: %w", err)
		}
		p.listeners = append(p.listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// emulatedIndex returns the index of the emulated server that answers for a hollow server.
func (p *Servers) emulatedIndex(index int) int {
	if p.config.EmulatedPerZone == 0 {
		return 0
	}
	return zoneOf(index, p.config.Count)*p.config.EmulatedPerZone + index%p.config.EmulatedPerZone
}

// serveEmulated starts the emulated servers, which answer until the context ends.
func (p *Servers) serveEmulated(ctx context.Context) {
	for i, listener := range p.listeners {
		backend := &http.Server{Handler: p.emulatedHandler(i / p.config.EmulatedPerZone), ReadHeaderTimeout: readHeaderTimeout}
		context.AfterFunc(ctx, func() { backend.Close() })
		go func() { _ = backend.Serve(listener) }()
	}
}

// emulatedHandler returns the handler of the emulated servers of a zone. It answers requests after the
// service time and health checks at once. While no server of the zone renews its lease, it answers
// neither.
func (p *Servers) emulatedHandler(zone int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
		if !p.reachable[zone].Load() {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/health" {
			return
		}
		time.Sleep(p.config.ServiceTime)
		p.counts.served.Add(1)
		_, _ = io.WriteString(w, "done")
	}
}
