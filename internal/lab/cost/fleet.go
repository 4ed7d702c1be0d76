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
	// serviceTime is how long an emulated server takes for a call.
	serviceTime = time.Millisecond
	// heartbeatPeriod is the time between the empty lines that keep a watch alive.
	heartbeatPeriod = 2 * time.Second
	// listVersion is the version of the list, which never changes.
	listVersion = 42
	// serversPerBlock is the number of servers with the same endpoints.Endpoint.Block.
	serversPerBlock = 40
	// CallClass is the name of the only class of calls, and the first part of their path.
	CallClass = "read"
	// machineType is the only kind of machine.
	machineType = "standard"
)

// sites are the failure domains that the list's servers are spread over in turn.
var sites = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is the environment of an agent under measurement: a list of many servers, the service that
// serves the list, and a few emulated servers behind all names of the list.
//
// Several names have the same address, so that 39,000 servers need no 39,000 listeners. The agent
// keeps its connections by name, not by address, so it reuses connections, or opens new ones, as it
// would with that many machines. Calls for the same key tend to the same server; the number of
// connections that a call opens is measured.
type Fleet struct {
	List      endpoints.List
	Addresses []string // of the emulated servers
	ListAddr  string   // of the list service
	Counters  Counters

	servers     []*http.Server
	encodedList []byte        // List as JSON
	done        chan struct{} // closed by Close
	serving     sync.WaitGroup
}

// Counters counts events since the fleet was made.
type Counters struct {
	// At the emulated servers: calls, probes, and accepted connections.
	Calls, Probes, Connections atomic.Int64
	// At the list service: full lists that were served, watches that were opened, and the watches
	// that are open now.
	FullLists, Watches, OpenWatches atomic.Int64
}

// NewFleet starts a fleet on loopback addresses, with a number of servers in its list. The caller
// has to Close it.
func NewFleet(servers int) (*Fleet, error) {
	fleet := &Fleet{done: make(chan struct{})}
	for range min(listenerCount, servers) {
		addr, err := fleet.serve(fleet.emulatedServer(), fleet.countConnection)
		if err != nil {
			fleet.Close()
			return nil, fmt.Errorf("emulated server: %w", err)
		}
		fleet.Addresses = append(fleet.Addresses, addr)
	}
	fleet.List = newList(servers, fleet.Addresses)
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

// newList returns a list of servers that share the addresses in turn.
func newList(servers int, addresses []string) endpoints.List {
	list := endpoints.List{Seq: listVersion, Full: true, Endpoints: make([]endpoints.Endpoint, servers)}
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
		_ = server.Serve(listener) // ends with Close
	}()
	return listener.Addr().String(), nil
}

// Close stops the fleet and waits until nothing listens any more.
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

// emulatedServer handles each call in serviceTime, and probes at once.
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

// listService serves the full list, and a watch on which nothing changes.
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

// serveWatch sends the full list, or an empty change to a reader that has the list's version, and
// then heartbeats until the reader or the fleet ends the watch.
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

// writeLine sends a line at once.
func writeLine(w http.ResponseWriter, line []byte) error {
	if _, err := w.Write(append(slices.Clip(line), '\n')); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
