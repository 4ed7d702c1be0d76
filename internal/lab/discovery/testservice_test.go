package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"knotrouter/internal/endpoints"
	"knotrouter/internal/lab/check"
	"knotrouter/internal/lab/loopback"
	"knotrouter/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	ms = time.Millisecond
	// testTimeout bounds each wait of a test.
	testTimeout = 20 * time.Second
)

// testService is a service with two agents and three servers. The third server is not listed at first.
type testService struct {
	*Service
	t         *testing.T
	checker   *check.Checker
	transport *http.Transport
}

func newTestService(t *testing.T, config Config) *testService {
	t.Helper()
	epoch := time.Now()
	clock := func() time.Duration { return time.Since(epoch) }
	settings := &policy.Settings{Classes: []policy.Class{{Name: "look"}}, Contract: policy.Contract{DrainGraceMs: 0}}
	agents := []string{"n0", "n1"}
	entries := []Entry{
		{Name: "s-00", Zone: "a", MachineType: "k", Cell: 1, Weight: 1.5, Health: endpoints.Ready},
		{Name: "s-01", Zone: "b", MachineType: "k", Health: endpoints.Ready},
		{Name: "s-02", Zone: "a", MachineType: "k"},
	}
	env := Env{
		Clock:       clock,
		Checker:     check.New(clock, settings, agents, []check.Server{{Name: "s-00"}, {Name: "s-01"}, {Name: "s-02"}}),
		Agents:      agents,
		DialAddr:    func(agent, server int) string { return fmt.Sprintf("127.0.%d.%d:80", agent, server) },
		RecordEvent: func(string) {},
	}
	addresses, err := loopback.Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(addresses.Close)
	s, err := New(config, env, addresses, entries, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return &testService{Service: s, t: t, checker: env.Checker, transport: &http.Transport{DisableKeepAlives: true}}
}

// get sends a call of an agent. The caller must close the body of the response.
func (ts *testService) get(ctx context.Context, agent int, query string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+ts.Addr(agent)+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	return ts.transport.RoundTrip(r)
}

// getList requests the full list for an agent.
func (ts *testService) getList(agent int) endpoints.List {
	ts.t.Helper()
	resp, err := ts.get(ts.t.Context(), agent, "")
	if err != nil {
		ts.t.Fatal(err)
	}
	defer resp.Body.Close()
	var list endpoints.List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		ts.t.Fatal(err)
	}
	return list
}

// watch opens a watch of an agent and returns a channel of its lists, which is closed when the watch ends.
func (ts *testService) watch(agent int, since int64) <-chan endpoints.List {
	ts.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	ts.t.Cleanup(cancel)
	resp, err := ts.get(ctx, agent, fmt.Sprintf("?follow=1&since=%d", since))
	if err != nil {
		ts.t.Fatal(err)
	}
	lists := make(chan endpoints.List, 100)
	go func() {
		defer close(lists)
		defer resp.Body.Close()
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			var list endpoints.List
			if len(lines.Bytes()) > 0 && json.Unmarshal(lines.Bytes(), &list) == nil {
				lists <- list
			}
		}
	}()
	return lists
}

// waitForRevision polls until the service's list has reached the revision.
func (ts *testService) waitForRevision(revision int64) {
	ts.t.Helper()
	for deadline := time.Now().Add(testTimeout); ts.List(0, 0, true).Seq < revision; time.Sleep(ms) {
		if time.Now().After(deadline) {
			ts.t.Fatalf("the list never reached revision %d", revision)
		}
	}
}

// nextList returns the next list of a watch. It fails the test if the watch has ended.
func nextList(t *testing.T, lists <-chan endpoints.List) endpoints.List {
	t.Helper()
	list, ok := <-lists
	if !ok {
		t.Fatal("the watch ended")
	}
	return list
}

// summary returns the names and health of the servers in the list.
func summary(list endpoints.List) (text string) {
	for _, endpoint := range list.Endpoints {
		text += endpoint.Name + " " + endpoint.Health + ";"
	}
	return text
}
