package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// After a request to a client's first address times out, the client tries another address first from then
// on. A write that may have taken effect is not retried.
func TestClientPrefersAnsweringAddress(t *testing.T) {
	requested := make(chan int, 10)
	release := make(chan struct{})
	var addrs []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requested <- i
			if i == 0 {
				<-release
			}
			fmt.Fprint(w, "{}")
		}))
		defer s.Close()
		addrs = append(addrs, s.Listener.Addr().String())
	}
	defer close(release)
	c := NewClient(addrs, 200*time.Millisecond)
	for i, want := range []bool{false, true, true} {
		if _, err := c.SetOverride(t.Context(), "s", ServerOverride{}); (err == nil) != want {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if a, b, c := <-requested, <-requested, <-requested; a != 0 || b != 1 || c != 1 || len(requested) > 0 {
		t.Errorf("the requests went to the servers %d, %d, %d and %d more, want 0, 1, 1 and no more", a, b, c, len(requested))
	}
}
