package agent

import (
	"knotrouter/internal/endpoints"
)

// eventKind tells what happened.
type eventKind uint8

// What may come in to the loop.
const (
	eventRequest          eventKind = iota // req
	eventClientCanceled                    // req: its handler answers or waits no longer
	eventOutcome                           // att, res
	eventProbeResult                       // att, res
	eventTimer                             // token
	eventListFetched                       // list or err
	eventListChanged                       // list
	eventWatchEnded                        // err
	eventDiscoveryChanged                  // addrs: where discovery is from now on, names: the services asked for
	eventShutdown                          // the agent is about to end
	eventFailover                          // addr: where it is not asked any more, err
	eventListPartial                       // list: what has come of one that is not whole
)

// event is one thing that happened, on its way to the loop.
type event struct {
	kind     eventKind
	req      *request
	attempt  *attempt
	result   result
	token    uint32
	list     endpoints.List
	since    int64 // the version that the watch named, or told before this list
	err      error
	source   *discovery // who told
	addr     string
	addrs    []string
	services []string // of services
}
