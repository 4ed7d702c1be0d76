package control

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"molepaddle/internal/endpoints"
)

const (
	// serviceParameter names a service in a call for a list; it may stand there several times.
	serviceParameter = "service"
	// maxServices is how many services one call may name.
	maxServices = 256
	// scopeHeader tells how many services a list is of. A steward that knows no services sends
	// the whole list without it. internal/endpoints has the reader's copy.
	scopeHeader = "Service-Scope"
)

// parseServices is the services that a call names, each once and in order; nil: it names
// none. The empty name is the default service.
func parseServices(query string) ([]string, error) {
	q, err := url.ParseQuery(query)
	if err != nil && strings.Contains(query, serviceParameter) {
		return nil, bad("service: the query makes no sense: %v", err)
	}
	named := q[serviceParameter]
	if len(named) > maxServices {
		return nil, bad("service: %d of at most %d", len(named), maxServices)
	}
	for _, name := range named {
		if name != "" && !endpoints.IsWord(name, endpoints.MaxWord) {
			return nil, bad("service: must be at most %d printable characters without spaces or slashes", endpoints.MaxWord)
		}
	}
	services := slices.Clone(named)
	slices.Sort(services)
	return slices.Compact(services), nil
}

// setScope tells the reader that the list is of these services.
func setScope(w http.ResponseWriter, services []string) {
	w.Header().Set(scopeHeader, strconv.Itoa(len(services)))
}
