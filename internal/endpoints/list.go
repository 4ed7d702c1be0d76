// Package endpoints is the HTTP interface of discovery: the list of endpoints, complete or as the
// changes since a version, as agents read it and as the list service writes it. It holds the list's
// form, a client with failover and watches, and the table that a reader keeps of its services.
//
// The form's keys and values are older than the names of this package and stay as they are: "hosts"
// are the endpoints, "whole" means full, "share" is the weight, "born_ms" the start time, and "gone"
// means removed.
package endpoints

import (
	"encoding/json"
	"fmt"
	"time"
)

// Path is the HTTP path under which the service answers requests for a list.
const Path = "/v1/endpoints"

// Values of Endpoint.Health.
const (
	Ready    = "ready"
	Draining = "draining" // completes the requests that it has and gets no new ones
	Removed  = "gone"     // stands only in lists of changes
)

// List is a list of endpoints, or of the changes since a version.
type List struct {
	Seq       int64      `json:"seq"`   // version
	Full      bool       `json:"whole"` // the list is complete; if not, it holds changes
	Endpoints []Endpoint `json:"hosts"`

	// A Client sets the fields below on a list that it has read; they are not part of the form.

	// Scoped says that the list service understood which services were requested, and sent only
	// those.
	Scoped bool `json:"-"`
	// Subscription is the number of the client's subscription that the list answers.
	Subscription uint64 `json:"-"`
	// Age is, for the part of an unfinished list, the time since its first byte arrived.
	Age time.Duration `json:"-"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	Name      string  `json:"host"`
	Dial      string  `json:"dial"` // address as host:port
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"` // Ready, Draining or Removed
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"` // start of the backend's process by the wall clock, in milliseconds
	// Service is the service that the backend belongs to; "" is the default service. A reader that
	// requests no services receives lists without it.
	Service string `json:"service,omitempty"`
}

// Parse reads the JSON text of one list. It returns an error, with the position of the entry, for the
// first entry that is not Readable.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	for i := range list.Endpoints {
		if err := list.Endpoints[i].Readable(); err != nil {
			return list, fmt.Errorf("hosts[%d].%w", i, err)
		}
	}
	return list, nil
}
