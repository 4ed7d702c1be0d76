package endpoints

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Maximum lengths of the strings of a valid Endpoint, in bytes.
const (
	MaxName  = 128 // maximum length of a name; an address may be twice as long
	MaxLabel = 64  // maximum length of a site, a class or a service
)

// Maximum values of the numbers of a valid Endpoint.
const (
	maxBlock     = 1 << 20
	maxWeight    = 1e6
	maxStartedMs = 1 << 52 // a float64 represents every integer up to this exactly
)

// CheckReadable returns an error if a reader can't use the entry: it needs a name, a known health value
// and, unless it is removed, an address. CheckReadable is no stricter than that, so that a reader accepts
// lists of other programs with unusual sites or weights.
func (e *Endpoint) CheckReadable() error {
	switch {
	case e.Name == "":
		return errors.New("host: missing")
	case e.Health != Ready && e.Health != Draining && e.Health != Removed:
		return fmt.Errorf("health: unknown word %q", e.Health)
	case e.Health != Removed && !IsAddress(e.Dial):
		return addressError(e.Dial)
	}
	return nil
}

// Validate returns an error if a list service should not add the entry to its list. The error names the
// first invalid field.
func (e *Endpoint) Validate() error {
	if err := e.CheckReadable(); err != nil {
		return err
	}
	switch {
	case !IsToken(e.Name, MaxName):
		return tokenError("host", MaxName)
	case !IsAddress(e.Dial):
		return addressError(e.Dial)
	case !isLabel(e.Site):
		return tokenError("site", MaxLabel)
	case !isLabel(e.Class):
		return tokenError("class", MaxLabel)
	case !isLabel(e.Service):
		return tokenError("service", MaxLabel)
	case e.Block < 0 || e.Block > maxBlock:
		return fmt.Errorf("block: must be 0 to %d, is %d", maxBlock, e.Block)
	case !IsWeight(e.Weight):
		return fmt.Errorf("share: must be 0 or above and at most 1e6, is %v", e.Weight)
	case !isStartTime(e.StartedMs):
		return fmt.Errorf("born_ms: must be a whole number of milliseconds, is %v", e.StartedMs)
	}
	return nil
}

func addressError(addr string) error {
	return fmt.Errorf("dial: no address with a port: %q", addr)
}

func tokenError(field string, maxLength int) error {
	return fmt.Errorf("%s: must be at most %d printable characters without spaces or slashes", field, maxLength)
}

// IsWeight reports whether weight is a valid weight of an endpoint. NaN is not valid.
func IsWeight(weight float64) bool { return weight >= 0 && weight <= maxWeight }

// isStartTime reports whether ms is a whole number of milliseconds from 0 to maxStartedMs.
func isStartTime(ms float64) bool {
	return ms >= 0 && ms <= maxStartedMs && ms == math.Trunc(ms)
}

// IsAddress reports whether addr is a host and a numeric port. The host is not resolved.
func IsAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || len(addr) > 2*MaxName {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsToken reports whether a name can be used in a path, a log line and a metric: it is printable, has no
// spaces, slashes, quotes or other characters with a meaning in a URL, and at most maxLength bytes.
func IsToken(name string, maxLength int) bool {
	if name == "" || name == "." || name == ".." || len(name) > maxLength || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) || strings.ContainsRune(`/"\%?#`, r) {
			return false
		}
	}
	return true
}

// isLabel reports whether a label is empty or a token.
func isLabel(label string) bool { return label == "" || IsToken(label, MaxLabel) }
