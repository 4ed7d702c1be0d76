// Package endpoints is the HTTP interface of discovery: the list of endpoints, complete or as the
// changes since a version, that agents read and the list service writes. It contains the JSON format
// of the list, a client with failover and watches, and the table in which a reader keeps the endpoints
// of its services.
//
// The JSON keys and values are older than the Go names of this package and must not change: "hosts"
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

// Path is the HTTP path of requests for a list.
const Path = "/v1/endpoints"

// Values of Endpoint.Health.
const (
	Ready    = "ready"
	Draining = "draining" // completes its pending requests and receives no new ones
	Removed  = "gone"     // used in lists of changes only
)

// List is a list of endpoints, or of the changes since a version.
type List struct {
	Seq       int64      `json:"seq"`   // version of the list
	Full      bool       `json:"whole"` // the list is complete; otherwise it holds changes
	Endpoints []Endpoint `json:"hosts"`

	// A Client sets the fields below on a list that it has read; they are not part of the JSON format.

	// Scoped means that the list service understood which services were requested and sent only
	// those.
	Scoped bool `json:"-"`
	// Subscription is the number of the client's subscription that the list was requested for.
	Subscription uint64 `json:"-"`
	// EntryError is the error of the first unreadable entry; nil: all entries are readable.
	EntryError error `json:"-"`
	// Age is the time since the first byte arrived; it is set on the part of an unfinished list.
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
	StartedMs float64 `json:"born_ms"` // wall-clock start time of the backend's process, in milliseconds
	// Service is the service that the backend belongs to; "" is the default service. It is missing
	// from the lists sent to a reader that requests no services.
	Service string `json:"service,omitempty"`
}

// Parse reads the JSON text of one list. An unreadable entry does not prevent the others from being read.
// It counts as Draining, because no requests can be sent to it and the requests that it already has may
// still be running; it is left out if it has no name. List.EntryError describes the first such entry.
// Parse returns an error if the text is not a list.
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
