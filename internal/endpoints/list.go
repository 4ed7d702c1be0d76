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
	"errors"
	"fmt"
	"reflect"
	"strings"
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
	// EntryError is why the first entry that can't be read can't; nil: all can.
	EntryError error `json:"-"`
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

// Parse reads the JSON text of one list. An entry that can't be read does not keep the others from being
// read: it counts as Draining, as nothing can be sent to it and what it holds is not known to be over, or
// is left out if it has no name. List.EntryError then names the first one. A list that is no list is an error.
func Parse(text []byte) (List, error) {
	var list List
	err := json.Unmarshal(text, &list) // reads all other fields if one has the wrong type
	if mismatch := new(json.UnmarshalTypeError); errors.As(err, &mismatch) &&
		(mismatch.Type == reflect.TypeFor[Endpoint]() || strings.HasPrefix(mismatch.Field, "hosts.")) {
		list.EntryError, err = mismatch, nil
	}
	if err != nil {
		return list, err
	}
	readable := list.Endpoints[:0]
	for i := range list.Endpoints {
		endpoint := list.Endpoints[i]
		if err := endpoint.CheckReadable(); err != nil {
			if list.EntryError == nil {
				list.EntryError = fmt.Errorf("hosts[%d].%w", i, err)
			}
			endpoint.Health = Draining
		}
		if endpoint.Name != "" {
			readable = append(readable, endpoint)
		}
	}
	list.Endpoints = readable
	return list, nil
}
