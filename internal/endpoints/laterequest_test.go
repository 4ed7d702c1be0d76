package endpoints

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// lateService is a client's transport whose addresses answer each call after a delay, and then keep a watch open.
type lateService struct {
	delay map[string]time.Duration // by address; 0: no answer ever comes
	// headFirst has the head of each response come at once, and only the body after the delay.
	headFirst bool

	mu    sync.Mutex
	calls int
	open  int // calls that were neither answered nor ended
}

// RoundTrip answers with a full list, which a watch follows with silence.
func (s *lateService) RoundTrip(r *http.Request) (*http.Response, error) {
	s.count(1, 1)
	if !s.headFirst {
		if err := s.wait(r); err != nil {
			return nil, err
		}
	}
	body, writer := io.Pipe()
	context.AfterFunc(r.Context(), func() { writer.CloseWithError(r.Context().Err()) })
	go func() {
		if s.headFirst && s.wait(r) != nil {
			return
		}
		_, _ = io.WriteString(writer, lateList)
		if r.URL.RawQuery == "" {
			writer.Close()
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Header: http.Header{}, Body: body, Request: r}, nil
}

const lateList = `{"seq":9,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:9","health":"ready"}]}` + "\n"

// wait waits until the call is answered. It returns an error if the caller's context ends first.
func (s *lateService) wait(r *http.Request) error {
	defer s.count(0, -1)
	var due <-chan time.Time
	if delay := s.delay[r.URL.Host]; delay > 0 {
		due = time.After(delay)
	}
	select {
	case <-due:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

func (s *lateService) count(calls, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.open = s.calls+calls, s.open+open
}

// watchRepeatedly calls Watch as an agent does: again a moment after it has ended, or at once on a late answer. It
// returns when a list was received, or after the given time.
func watchRepeatedly(ctx context.Context, client *Client, late <-chan struct{}, limit time.Duration) (heardAfter time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	for ctx.Err() == nil {
		_ = client.Watch(ctx, 5, func(List) {
			heardAfter, ok = time.Since(began), true
			cancel()
		})
		select {
		case <-late:
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return heardAfter, ok
}

// newLateClient returns a client of the service, and a channel that receives a value for each late answer.
func newLateClient(s *lateService, addresses int) (*Client, <-chan struct{}) {
	late := make(chan struct{}, 1)
	client := NewClient(ClientConfig{Addresses: testAddresses(addresses), Transport: s, OnLateAnswer: func() {
		select {
		case late <- struct{}{}:
		default:
		}
	}})
	return client, late
}

// Guards against a service that answers each call late and is never heard: however late it is, up to
// lateRequestTimeout, its first answer is heard when it comes, and few calls are open at once.
func TestLateAnswersAreHeard(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, WatchSilenceTimeout + time.Millisecond, 4 * time.Second, 10 * time.Second, 29 * time.Second} {
		for _, headFirst := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := &lateService{delay: map[string]time.Duration{testAddresses(1)[0]: delay}, headFirst: headFirst}
				client, late := newLateClient(s, 1)
				heardAfter, ok := watchRepeatedly(t.Context(), client, late, time.Minute)
				if !ok || heardAfter != delay {
					t.Errorf("late by %v, head first %v: heard %v after %v", delay, headFirst, ok, heardAfter)
				}
				synctest.Wait()
				if s.open != 0 || !client.lateWatches.isEmpty() {
					t.Errorf("late by %v: %d calls are open after the answer", delay, s.open)
				}
			})
		}
	}
}

// Guards against waiting for an address that never answers: it is left after WatchSilenceTimeout, and a late answer of
// another address is heard although a later call waits at a dead one.
func TestDeadAddressIsLeftBesideALateOne(t *testing.T) {
	for name, delays := range map[string][2]time.Duration{
		"the first is dead, the second quick": {0, time.Millisecond},
		"the first is dead, the second late":  {0, 5 * time.Second},
		"the first is late, the second dead":  {5 * time.Second, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &lateService{delay: map[string]time.Duration{}}
			client, late := newLateClient(s, 2)
			for i := range delays {
				s.delay[client.selector.candidates[i].addr] = delays[i]
			}
			heardAfter, ok := watchRepeatedly(t.Context(), client, late, time.Minute)
			latest := WatchSilenceTimeout + maxBackoff + delays[1]
			if delays[1] == 0 {
				latest = delays[0]
			}
			if !ok || heardAfter > latest {
				t.Errorf("%s: heard %v after %v, want it within %v", name, ok, heardAfter, latest)
			}
		})
	}
}

// Calls that are never answered stay bounded, and end with the reader.
func TestUnansweredCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateService{}
		client, late := newLateClient(s, 1)
		ctx, cancel := context.WithCancel(t.Context())
		for range 12 {
			if err := client.Watch(ctx, 5, nil); !errors.Is(err, errSilenceTimeout) {
				t.Fatalf("ended with %v", err)
			}
			synctest.Wait()
			if s.open > maxLateRequests {
				t.Fatalf("%d calls are open", s.open)
			}
		}
		client.SetAddresses([]string{"127.0.0.9:1"})
		synctest.Wait()
		if s.open != 0 {
			t.Errorf("%d calls to a removed address are open", s.open)
		}
		_ = client.Watch(ctx, 5, nil)
		cancel()
		synctest.Wait()
		if s.open != 0 || len(late) != 0 {
			t.Errorf("%d calls are open after the end of the reader", s.open)
		}
	})
}

// Guards against a fetch that never gets a late list: it waits for it after its round of calls.
func TestLateFetchIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateService{delay: map[string]time.Duration{testAddresses(1)[0]: 10 * time.Second}}
		client, _ := newLateClient(s, 1)
		began := time.Now()
		list, err := client.Fetch(t.Context(), 5)
		if took := time.Since(began); err != nil || list.Seq != 9 || took != 10*time.Second {
			t.Errorf("version %d after %v: %v", list.Seq, took, err)
		}
		s.delay = nil
		began = time.Now()
		if _, err := client.Fetch(t.Context(), 5); err == nil || time.Since(began) > lateRequestTimeout {
			t.Errorf("ended after %v: %v", time.Since(began), err)
		}
		synctest.Wait()
		if s.open != 0 {
			t.Errorf("%d calls are open", s.open)
		}
	})
}

// The end of a watch that began with a late answer counts for the address that gave it, not for the one that was being
// called meanwhile.
func TestEndOfALateWatchCountsForItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateService{delay: map[string]time.Duration{}}
		client, _ := newLateClient(s, 2)
		late := client.selector.candidates[0].addr
		s.delay[late] = 5 * time.Second
		var failed []string
		client.config.OnFailover = func(addr string, err error) { failed = append(failed, addr) }
		heard := false
		_ = client.Watch(t.Context(), 5, func(List) { heard = true }) // the watch falls silent after its first list
		if !heard || len(failed) < 2 || failed[0] != late || failed[1] != late {
			t.Errorf("heard %v, failovers from %v, want the first two from %s", heard, failed, late)
		}
	})
}
