// Package endpoints is discovery's form on HTTP: the list of backends, whole or as what
// changed, as agents read it and as the list service writes it.
package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"
)

// Path is where a list is asked for.
const Path = "/v1/endpoints"

// The words of health.
const (
	Ready    = "ready"
	Draining = "draining" // completes what it holds, wants nothing new
	Removed  = "gone"     // only among changes
)

// List is a list of backends, or a change of it.
type List struct {
	Seq       int64      `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`

	// What a Client notes on a list that it read; the form doesn't have it. Scoped: the list
	// service understood which services were asked for, and sent only those. Subscription: the
	// number of the client's subscription that the list answers. Age: of a part of a list, the time
	// since its first byte came.
	Scoped       bool   `json:"-"`
	Subscription uint64 `json:"-"`

	Age time.Duration `json:"-"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	Name      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"`
	Weight    float64 `json:"share"`
	StartedMs float64 `json:"born_ms"`
	// Service is the service that the backend belongs to; "" is the default service. Readers
	// that name no services are sent lists without it.
	Service string `json:"service,omitempty"`
}

// Bounds of what a service takes for an entry.
const (
	MaxName  = 128
	MaxLabel = 64
)

// Parse reads one list and reports the first entry that makes no sense.
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

// Readable tells whether a reader can use the entry: it has a name, a known word for its
// health and, unless it is gone, an address. It is no stricter, so that a list from
// elsewhere with an odd site or share is still a list.
func (e *Endpoint) Readable() error {
	switch {
	case e.Name == "":
		return errors.New("host: missing")
	case e.Health != Ready && e.Health != Draining && e.Health != Removed:
		return fmt.Errorf("health: unknown word %q", e.Health)
	case e.Health != Removed && !IsAddress(e.Dial):
		return fmt.Errorf("dial: no address with a port: %q", e.Dial)
	}
	return nil
}

// Validate tells whether a service should take the entry into its list.
func (e *Endpoint) Validate() error {
	if err := e.Readable(); err != nil {
		return err
	}
	switch {
	case !IsToken(e.Name, MaxName):
		return fmt.Errorf("host: must be at most %d printable characters without spaces or slashes", MaxName)
	case !IsAddress(e.Dial):
		return fmt.Errorf("dial: no address with a port: %q", e.Dial)
	case e.Site != "" && !IsToken(e.Site, MaxLabel):
		return fmt.Errorf("site: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case e.Class != "" && !IsToken(e.Class, MaxLabel):
		return fmt.Errorf("class: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case e.Service != "" && !IsToken(e.Service, MaxLabel):
		return fmt.Errorf("service: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case e.Block < 0 || e.Block > 1<<20:
		return fmt.Errorf("block: must be 0 to %d, is %d", 1<<20, e.Block)
	case !IsWeight(e.Weight):
		return fmt.Errorf("share: must be 0 or above and at most 1e6, is %v", e.Weight)
	case !(e.StartedMs >= 0) || e.StartedMs > 1<<52 || e.StartedMs != math.Trunc(e.StartedMs):
		return fmt.Errorf("born_ms: must be a whole number of milliseconds, is %v", e.StartedMs)
	}
	return nil
}

// IsWeight tells whether a share makes sense.
func IsWeight(weight float64) bool { return weight >= 0 && weight <= 1e6 }

// IsAddress tells whether the text is an address with a port.
func IsAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || len(addr) > 2*MaxName {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsToken tells whether a name can stand in a path, a log line and a metric: printable,
// without spaces, slashes or quotes, and not too long.
func IsToken(name string, maxLength int) bool {
	if name == "" || name == "." || name == ".." || len(name) > maxLength || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) || r == '/' || r == '"' || r == '\\' || r == '%' || r == '?' || r == '#' {
			return false
		}
	}
	return true
}
