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
	Gone     = "gone"     // only among changes
)

// List is a list of backends, or a change of it.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`

	// What a Client notes on a list that it read; the form doesn't have it. Scoped: the list
	// service understood which services were asked for, and sent only those. Subscription: the
	// number of the client's subscription that the list answers. Age: of a part of a list, the time
	// since its first byte came.
	Scoped       bool   `json:"-"`
	Subscription uint64 `json:"-"`

	Age time.Duration `json:"-"`
}

// Host is one backend of a list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	// Service is the service that the backend belongs to; "" is the default service. Readers
	// that name no services are sent lists without it.
	Service string `json:"service,omitempty"`
}

// Bounds of what a service takes for an entry.
const (
	MaxName = 128
	MaxWord = 64
)

// Parse reads one list and reports the first entry that makes no sense.
func Parse(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i := range l.Hosts {
		if err := l.Hosts[i].Readable(); err != nil {
			return l, fmt.Errorf("hosts[%d].%w", i, err)
		}
	}
	return l, nil
}

// Readable tells whether a reader can use the entry: it has a name, a known word for its
// health and, unless it is gone, an address. It is no stricter, so that a list from
// elsewhere with an odd site or share is still a list.
func (h *Host) Readable() error {
	switch {
	case h.Host == "":
		return errors.New("host: missing")
	case h.Health != Ready && h.Health != Draining && h.Health != Gone:
		return fmt.Errorf("health: unknown word %q", h.Health)
	case h.Health != Gone && !IsAddress(h.Dial):
		return fmt.Errorf("dial: no address with a port: %q", h.Dial)
	}
	return nil
}

// Validate tells whether a service should take the entry into its list.
func (h *Host) Validate() error {
	if err := h.Readable(); err != nil {
		return err
	}
	switch {
	case !IsWord(h.Host, MaxName):
		return fmt.Errorf("host: must be at most %d printable characters without spaces or slashes", MaxName)
	case !IsAddress(h.Dial):
		return fmt.Errorf("dial: no address with a port: %q", h.Dial)
	case h.Site != "" && !IsWord(h.Site, MaxWord):
		return fmt.Errorf("site: must be at most %d printable characters without spaces or slashes", MaxWord)
	case h.Class != "" && !IsWord(h.Class, MaxWord):
		return fmt.Errorf("class: must be at most %d printable characters without spaces or slashes", MaxWord)
	case h.Service != "" && !IsWord(h.Service, MaxWord):
		return fmt.Errorf("service: must be at most %d printable characters without spaces or slashes", MaxWord)
	case h.Block < 0 || h.Block > 1<<20:
		return fmt.Errorf("block: must be 0 to %d, is %d", 1<<20, h.Block)
	case !IsShare(h.Share):
		return fmt.Errorf("share: must be 0 or above and at most 1e6, is %v", h.Share)
	case !(h.BornMs >= 0) || h.BornMs > 1<<52 || h.BornMs != math.Trunc(h.BornMs):
		return fmt.Errorf("born_ms: must be a whole number of milliseconds, is %v", h.BornMs)
	}
	return nil
}

// IsShare tells whether a share makes sense.
func IsShare(x float64) bool { return x >= 0 && x <= 1e6 }

// IsAddress tells whether the text is an address with a port.
func IsAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || len(addr) > 2*MaxName {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsWord tells whether a name can stand in a path, a log line and a metric: printable,
// without spaces, slashes or quotes, and not too long.
func IsWord(s string, most int) bool {
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
