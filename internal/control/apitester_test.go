package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"knotrouter/internal/lab/loopback"
)

// apiRequest is a request to the HTTP API.
type apiRequest struct{ method, path, body string }

// apiTester sends requests to a running server. A request that gets no response fails the test.
type apiTester struct {
	t    *testing.T
	addr string
}

// do sends a request and returns the response.
func (s *apiTester) do(method, path, body string) (status int, header http.Header, text string) {
	s.t.Helper()
	return s.doContext(s.t.Context(), method, path, body)
}

// doContext is do with a context. If the context ends first, the test fails.
func (s *apiTester) doContext(ctx context.Context, method, path, body string) (status int, header http.Header, text string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(responseBody)
}

// get returns the response body of a GET request. A status other than 200 fails the test.
func (s *apiTester) get(path string) string {
	s.t.Helper()
	return s.getContext(s.t.Context(), path)
}

// getContext is get with a context. If the context ends first, the test fails.
func (s *apiTester) getContext(ctx context.Context, path string) string {
	s.t.Helper()
	status, _, text := s.doContext(ctx, http.MethodGet, path, "")
	if status != http.StatusOK {
		s.t.Fatalf("GET %s: %d %s", path, status, text)
	}
	return text
}

// startServerOnFolder starts a server on a data folder and waits until it is the leader.
func startServerOnFolder(t *testing.T, dir string) *apiTester {
	t.Helper()
	addrs, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { addrs.Close() })
	c := Defaults()
	c.Name, c.Data, c.LeaseTTL, c.Drain = "st-1", dir, 10*time.Minute, 0
	for _, addr := range []*string{&c.Listen, &c.Raft} {
		if *addr, err = addrs.FreePort(); err != nil {
			t.Fatal(err)
		}
	}
	server, err := Start(t.Context(), &c, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s := &apiTester{t, c.Listen}
	s.awaitLeadership()
	return s
}

// leadershipTimeout bounds the time until a server leads, including the requests that poll for it.
const leadershipTimeout = 30 * time.Second

// awaitLeadership waits until the server is the leader. A request that fails, or that gets no response
// before leadershipTimeout, fails the test.
func (s *apiTester) awaitLeadership() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), leadershipTimeout)
	defer cancel()
	lastResponse := "none"
	for ctx.Err() == nil {
		// Only a leader that has applied its log and accepts writes serves a consistent read.
		status, _, text := s.doContext(ctx, http.MethodGet, "/v1/servers?consistent=1", "")
		if status == http.StatusOK && s.revision(ctx) > 0 {
			return
		}
		lastResponse = fmt.Sprint(status, " ", text)
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("the server did not become leader, last response: %s", lastResponse)
}

// revision returns the revision of the list.
func (s *apiTester) revision(ctx context.Context) int64 {
	s.t.Helper()
	var status struct {
		Seq int64 `json:"seq"`
	}
	if err := json.Unmarshal([]byte(s.getContext(ctx, "/v1/status")), &status); err != nil {
		s.t.Fatal(err)
	}
	return status.Seq
}

// itemsExcept returns the JSON text of the elements of a JSON array, unchanged and in order, without
// those that match excluded.
func itemsExcept(t *testing.T, text string, excluded *regexp.Regexp) (items []string) {
	t.Helper()
	var all []json.RawMessage
	if err := json.Unmarshal([]byte(text), &all); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for _, item := range all {
		if !excluded.Match(item) {
			items = append(items, string(item))
		}
	}
	return items
}

// zeroNumbers replaces each number after a colon in a JSON text by 0. This includes the port of an
// address.
func zeroNumbers(text []byte) string {
	numbers := regexp.MustCompile(`:-?\d+(\.\d+)?`)
	return string(bytes.TrimSpace(numbers.ReplaceAll(text, []byte(":0"))))
}
