package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Of 1000 simultaneous requests, those within the rate limit's burst are admitted. The others are
// asked to retry at times spread over the period that the rate limit needs to admit all of them. Writes
// have their own limit on concurrent requests.
func TestAdmissionBoundsCallsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Defaults()
		c.CallRate, c.MaxWrites = 400, 2
		a := newAdmission(&c)
		admitted, overOneSecond := 0, 0
		for range 1000 {
			w := httptest.NewRecorder()
			if a.admitCall(w, 0) {
				admitted++
				continue
			}
			retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if w.Code != http.StatusServiceUnavailable || err != nil || retryAfter < minRetryAfter.Seconds() || retryAfter > (minRetryAfter+2*maxRetryAfter).Seconds() {
				t.Fatalf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
			if retryAfter > 1 {
				overOneSecond++
			}
		}
		if admitted != 100 {
			t.Errorf("%d admitted at once, want the burst of 100", admitted)
		}
		// Admitting the other 900 requests at 400 per second takes 2.25 s, so about six in ten of them must be
		// asked to wait for more than 1 s.
		if overOneSecond < 450 || overOneSecond > 650 {
			t.Errorf("%d of 900 asked to wait for more than a second before a retry, want 450 to 650", overOneSecond)
		}
		if w := httptest.NewRecorder(); a.admitCall(w, 0) {
			t.Error("a request was admitted beyond the burst")
		}
		time.Sleep(3 * time.Second)
		fullLists := 0
		for range 1000 {
			if a.admitCall(httptest.NewRecorder(), 10*bytesPerCall) {
				fullLists++
			}
		}
		if fullLists != 100/11 {
			t.Errorf("%d full lists admitted, each of the cost of 11 requests, of a burst of 100", fullLists)
		}
		var releases []func()
		for i := range 3 {
			release, ok := a.admitWrite(httptest.NewRecorder())
			if ok != (i < 2) {
				t.Errorf("write %d admitted: %v", i, ok)
			}
			if ok {
				releases = append(releases, release)
			}
		}
		releases[0]()
		if _, ok := a.admitWrite(httptest.NewRecorder()); !ok {
			t.Error("a write was rejected although a slot had been released")
		}
	})
}

// The cost of a request depends on the estimated size of its response: the cost of listing a small
// service doesn't depend on the total number of servers, and a small list costs one request.
func TestAdmissionCostsByBytes(t *testing.T) {
	fixture := newFSMFixture(t)
	s := &Server{broadcaster: fixture.broadcaster, fsm: fixture.fsm}
	fixture.registerInService(t, "small", "s", 1)
	for i := range 2000 {
		fixture.registerInService(t, "large", fmt.Sprint("l-", i), 1)
	}
	for _, c := range []struct {
		services []string
		watch    bool
		since    int64
		minBytes int
		maxBytes int
	}{
		{nil, false, 0, 2000 * 100, 2000 * 160}, {nil, true, 0, 0, 0},
		{[]string{"small"}, false, 0, 100, 160}, {[]string{"large"}, false, 0, 2000 * 100, 2000 * 160}, {[]string{"none"}, false, 0, 0, 0},
		{[]string{"large"}, true, fixture.revision() + 1, 2000 * 100, 2000 * 160}, {[]string{"large"}, true, fixture.revision() - 1, 0, 0},
	} {
		got := s.estimateListBytes(c.services, c.watch, c.since)
		if got < c.minBytes || got > c.maxBytes {
			t.Errorf("%q, watch %v from %d: %d bytes, want %d to %d", c.services, c.watch, c.since, got, c.minBytes, c.maxBytes)
		}
	}
	synctest.Test(t, func(t *testing.T) { // in a synctest bubble, so that no time passes while requests are admitted
		c := Defaults()
		c.CallRate = 400
		for bytes, want := range map[int]int{0: 100, 30 * estimatedEntryBytes: 100, 2000 * estimatedEntryBytes: 9, 39_000 * estimatedEntryBytes: 1} {
			a, admitted := newAdmission(&c), 0
			for a.admitCall(httptest.NewRecorder(), bytes) {
				admitted++
			}
			if admitted != want {
				t.Errorf("lists of %d bytes: %d admitted at once, want %d", bytes, admitted, want)
			}
		}
	})
}

// The limit on watches never exceeds what the available file descriptors allow.
func TestWatchLimitFollowsDescriptors(t *testing.T) {
	if got := availableWatches(1); got != 1 {
		t.Errorf("1 watch configured: %d available", got)
	}
	if got := availableWatches(1 << 40); got < 1 || got >= 1<<40 {
		t.Errorf("more watches configured than file descriptors: %d available", got)
	}
	for _, watches := range []int{0, -1, maxWatchesSetting + 1} {
		c := Defaults()
		c.Data, c.MaxWatches = "data", watches
		if err := c.validate(); err == nil || !strings.HasPrefix(err.Error(), "configuration: max_watches: ") {
			t.Errorf("max_watches %d: %v", watches, err)
		}
	}
}
