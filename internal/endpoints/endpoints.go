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
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].Readable(); err != nil {
			return l, fmt.Errorf("hosts[%d].%w", i, err)
		}
	}
	return l, nil
}

// Readable tells whether a reader can use the entry: it has a name, a known word for its
// health and, unless it is gone, an address. It is no stricter, so that a list from
// elsewhere with an odd site or share is still a list.
func (h *Endpoint) Readable() error {
	switch {
	case h.Name == "":
		return errors.New("host: missing")
	case h.Health != Ready && h.Health != Draining && h.Health != Removed:
		return fmt.Errorf("health: unknown word %q", h.Health)
	case h.Health != Removed && !IsAddress(h.Dial):
		return fmt.Errorf("dial: no address with a port: %q", h.Dial)
	}
	return nil
}

// Validate tells whether a service should take the entry into its list.
func (h *Endpoint) Validate() error {
	if err := h.Readable(); err != nil {
		return err
	}
	switch {
	case !IsToken(h.Name, MaxName):
		return fmt.Errorf("host: must be at most %d printable characters without spaces or slashes", MaxName)
	case !IsAddress(h.Dial):
		return fmt.Errorf("dial: no address with a port: %q", h.Dial)
	case h.Site != "" && !IsToken(h.Site, MaxLabel):
		return fmt.Errorf("site: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case h.Class != "" && !IsToken(h.Class, MaxLabel):
		return fmt.Errorf("class: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case h.Service != "" && !IsToken(h.Service, MaxLabel):
		return fmt.Errorf("service: must be at most %d printable characters without spaces or slashes", MaxLabel)
	case h.Block < 0 || h.Block > 1<<20:
		return fmt.Errorf("block: must be 0 to %d, is %d", 1<<20, h.Block)
	case !IsWeight(h.Weight):
		return fmt.Errorf("share: must be 0 or above and at most 1e6, is %v", h.Weight)
	case !(h.StartedMs >= 0) || h.StartedMs > 1<<52 || h.StartedMs != math.Trunc(h.StartedMs):
		return fmt.Errorf("born_ms: must be a whole number of milliseconds, is %v", h.StartedMs)
	}
	return nil
}

// IsWeight tells whether a share makes sense.
func IsWeight(x float64) bool { return x >= 0 && x <= 1e6 }

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
func IsToken(s string, most int) bool {
	if s == "" || s == "." || s == ".." || len(s) > most || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) || r == '/' || r == '"' || r == '\\' || r == '%' || r == '?' || r == '#' {
			return false
		}
	}
	return true
}
