package control

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"knotrouter/internal/endpoints"
)

// parseServices is the services that a call names, each once and in order; nil: it names
// none. The empty name is the default service.
func parseServices(query string) ([]string, error) {
	q, err := url.ParseQuery(query)
	if err != nil && strings.Contains(query, endpoints.ServiceParam) {
		return nil, newBadRequest("service: the query makes no sense: %v", err)
	}
	named := q[endpoints.ServiceParam]
	if len(named) > endpoints.MaxServices {
		return nil, newBadRequest("service: %d of at most %d", len(named), endpoints.MaxServices)
	}
	for _, name := range named {
		if name != "" && !endpoints.IsToken(name, endpoints.MaxLabel) {
			return nil, newBadRequest("service: must be at most %d printable characters without spaces or slashes", endpoints.MaxLabel)
		}
	}
	services := slices.Clone(named)
	slices.Sort(services)
	return slices.Compact(services), nil
}

// setScope tells the reader that the list is of these services.
func setScope(w http.ResponseWriter, services []string) {
	w.Header().Set(endpoints.ScopeHeader, strconv.Itoa(len(services)))
}
