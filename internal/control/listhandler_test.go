package control

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"testing"

	"knotrouter/internal/endpoints"
)

// A query names up to 256 services. Duplicates are dropped, and invalid names are rejected.
func TestServicesOfQueryAreParsed(t *testing.T) {
	distinctServices := func(n int) string {
		q := url.Values{}
		for i := range n {
			q.Add(endpoints.ServiceParam, fmt.Sprint("s-", i))
		}
		return q.Encode()
	}
	for query, want := range map[string][]string{"": nil, "follow=1&since=3": nil, "service=": {""}, "service": {""}, "service=b&service=a&service=b&service=": {"", "a", "b"},
		"service=%C3%A9": {"é"}, "x=%zz": nil} {
		if got, err := parseServices(query); err != nil || !slices.Equal(got, want) || (got == nil) != (want == nil) {
			t.Errorf("%q: %q, %v; want %q", query, got, err, want)
		}
	}
	if got, err := parseServices(distinctServices(endpoints.MaxServices)); err != nil || len(got) != endpoints.MaxServices {
		t.Errorf("%d services parsed, error %v", len(got), err)
	}
	for _, query := range []string{"service=a%20b", "service=a/b", "service=a&service=%0a", "service=" + strings.Repeat("x", endpoints.MaxLabel+1),
		"service=%zz", "service=a;service=b", distinctServices(endpoints.MaxServices + 1)} {
		got, err := parseServices(query)
		if err == nil || !strings.HasPrefix(err.Error(), "service: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.80q: services %q, error %v, want a one-line error", query, got, err)
		}
	}
}
