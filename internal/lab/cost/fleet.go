package cost

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"knotrouter/internal/endpoints"
)

const (
	// listenerCount is the number of emulated servers. The servers of the list share their addresses.
	listenerCount = 8
	// serviceTime is the time that an emulated server takes for a call.
	serviceTime = time.Millisecond
	// heartbeatPeriod is the time between the empty lines that keep a watch alive.
	heartbeatPeriod = 2 * time.Second
	// listVersion is the version of the list, which never changes.
	listVersion = 42
	// serversPerBlock is the number of servers with the same endpoints.Endpoint.Block.
	serversPerBlock = 40
	// CallClass is the name of the only class of calls and the first segment of their path.
	CallClass = "read"
	// machineType is the only machine type.
	machineType = "standard"
)

// sites are the failure domains, to which the servers of the list are assigned in turn.
var sites = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is the environment of an agent under measurement: a list of many servers, the service that
// serves the list, and a few emulated servers that handle the calls to all listed servers.
//
// Several names share an address, so that 39,000 servers don't need 39,000 listeners. The agent keys
// its connections by name, not by address, so it reuses and opens connections as it would with one
// machine per server. Calls with the same key tend to go to the same server. The number of connections
// opened per call is measured.
type Fleet struct {
	List      endpoints.List
	Addresses []string // addresses of the emulated servers
	ListAddr  string   // address of the list service
	Counters  Counters

	servers     []*http.Server
	encodedList []byte        // List as JSON
	done        chan struct{} // closed by Close
	serving     sync.WaitGroup
}

// Counters counts events since the start of the fleet.
type Counters struct {
	// At the emulated servers: calls, probes, and accepted connections.
	Calls, Probes, Connections atomic.Int64
	// At the list service: full lists served, watches opened, and currently open watches.
	FullLists, Watches, OpenWatches atomic.Int64
}

// NewFleet starts a fleet on loopback addresses with the given number of servers in its list. The
// caller has to Close it.
func NewFleet(serverCount int) (*Fleet, error) {
	fleet := &Fleet{done: make(chan struct{})}
	for range min(listenerCount, serverCount) {
		addr, err := fleet.serve(fleet.emulatedServer(), fleet.countConnection)
		if err != nil {
			fleet.Close()
			return nil, fmt.Errorf("emulated server: %w", err)
		}
		fleet.Addresses = append(fleet.Addresses, addr)
	}
	fleet.List = newList(serverCount, fleet.Addresses)
	var err error
	fleet.encodedList, err = json.Marshal(fleet.List)
	if err != nil {
		fleet.Close()
		return nil, fmt.Errorf("encode the list: %w", err)
	}
	fleet.ListAddr, err = fleet.serve(fleet.listService(), nil)
	if err != nil {
		fleet.Close()
		return nil, fmt.Errorf("list service: %w", err)
	}
	return fleet, nil
}

// newList returns a list of servers to which the addresses are assigned in turn.
func newList(serverCount int, addresses []string) endpoints.List {
	list := endpoints.List{Seq: listVersion, Full: true, Endpoints: make([]endpoints.Endpoint, serverCount)}
	for i := range list.Endpoints {
		list.Endpoints[i] = endpoints.Endpoint{Name: fmt.Sprintf("s-%05d", i), Dial: addresses[i%len(addresses)],
			Site: sites[i%len(sites)], Class: machineType, Block: i / serversPerBlock, Health: endpoints.Ready, Weight: 1}
	}
	return list
}

// serve starts an HTTP server on a free loopback port and returns its address. Close stops it.
func (f *Fleet) serve(handler http.Handler, connState func(net.Conn, http.ConnState)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ConnState: connState, ErrorLog: log.New(io.Discard, "", 0)}
	f.servers = append(f.servers, server)
	f.serving.Add(1)
	go func() {
		defer f.serving.Done()
		_ = server.Serve(listener) // returns an error once Close has closed the server
	}()
	return listener.Addr().String(), nil
}

// Close stops the fleet and waits until its HTTP servers have stopped.
func (f *Fleet) Close() {
	close(f.done)
	for _, server := range f.servers {
		server.Close()
	}
	f.serving.Wait()
}

func (f *Fleet) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		f.Counters.Connections.Add(1)
	}
}

// emulatedServer returns a handler that responds to calls after serviceTime and to probes at once.
func (f *Fleet) emulatedServer() http.Handler {
	const response = "done"
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) { f.Counters.Probes.Add(1) })
	mux.HandleFunc("/status/load", func(w http.ResponseWriter, _ *http.Request) {
		f.Counters.Probes.Add(1)
		_, _ = io.WriteString(w, "TEXT util=0.1, inflight=0")
	})
	mux.HandleFunc("/"+CallClass+"/", func(w http.ResponseWriter, _ *http.Request) {
		f.Counters.Calls.Add(1)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, response)
	})
	return mux
}

// listService returns a handler that serves the full list, and watches on which nothing changes.
func (f *Fleet) listService() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoints.Path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Query().Get("follow") == "1" {
			f.serveWatch(w, r)
			return
		}
		f.Counters.FullLists.Add(1)
		_, _ = w.Write(f.encodedList)
	})
	return mux
}

// serveWatch sends the full list, or an empty change if the reader already has its version, and then
// heartbeats until the reader disconnects or the fleet is closed.
func (f *Fleet) serveWatch(w http.ResponseWriter, r *http.Request) {
	f.Counters.Watches.Add(1)
	f.Counters.OpenWatches.Add(1)
	defer f.Counters.OpenWatches.Add(-1)
	event := f.encodedList
	if r.URL.Query().Get("since") == fmt.Sprint(listVersion) {
		event = fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[]}`, listVersion)
	}
	heartbeat := time.NewTicker(heartbeatPeriod)
	defer heartbeat.Stop()
	for writeLine(w, event) == nil {
		event = nil // an empty line is a heartbeat
		select {
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		case <-f.done:
			return
		}
	}
}

// writeLine writes a line and flushes it.
func writeLine(w http.ResponseWriter, line []byte) error {
	if _, err := w.Write(append(slices.Clip(line), '\n')); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
