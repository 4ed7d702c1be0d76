package agent

import (
	"knotrouter/internal/endpoints"
)

// eventKind is the kind of an event.
type eventKind uint8

// The kinds of events, with the fields of event that each kind sets.
const (
	eventRequest          eventKind = iota // req
	eventClientCanceled                    // req: its handler has answered it or stopped waiting
	eventOutcome                           // attempt, result
	eventProbeResult                       // attempt, result
	eventTimer                             // token
	eventListFetched                       // list or err
	eventListChanged                       // list
	eventWatchEnded                        // err
	eventDiscoveryChanged                  // addrs: the new addresses of discovery; services: the new services
	eventShutdown                          // no fields
	eventFailover                          // addr: the address that failed; err: the reason
	eventListPartial                       // list: the received entries of an incomplete list
	eventLateAnswer                        // no fields: discovery has answered a watch that was given up as silent
	eventUnsolicited                       // backend, transport: the backend sent bytes that belong to no response
)

// event is one message to the loop. Which fields are set depends on the kind. It is one struct
// passed by value, and not a type for each kind, because a value in an interface would cost an
// allocation per request.
type event struct {
	kind      eventKind
	req       *request
	attempt   *attempt
	result    result
	backend   *backend
	transport *backendTransport
	token     uint32
	list      endpoints.List
	since     int64 // version of the watch's previous list, or the version that the watch began with
	err       error
	source    *discovery // the discovery client that sent the event; nil: not from discovery
	addr      string
	addrs     []string
	services  []string // nil: all services
}
