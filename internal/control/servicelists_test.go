package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/endpoints"
)

// The full list of a service is encoded once per revision of the service, and the cache is bounded.
func TestServiceListsAreCached(t *testing.T) {
	fixture := newFSMFixture(t)
	lists := fixture.broadcaster.services.fullLists
	fixture.registerInService(t, "a", "a", 1)
	fixture.registerInService(t, "b", "b", 1)
	for range 3 {
		text, revision := lists.encodedList([]string{"a", "b", "none"})
		var l endpoints.List
		if err := json.Unmarshal(text, &l); err != nil || !l.Full || len(l.Endpoints) != 2 || l.Seq != revision || revision != fixture.revision() {
			t.Fatalf("%s: %v", text, err)
		}
	}
	if lists.encodedCount != 2 {
		t.Errorf("two services were encoded %d times", lists.encodedCount)
	}
	fixture.registerInService(t, "a", "a-2", 1)
	if text, revision := lists.encodedList([]string{"a", "b"}); lists.encodedCount != 3 || revision != fixture.revision() || bytes.Count(text, []byte(`"host"`)) != 3 {
		t.Errorf("after a change of one service: encoded %d times, list %s", lists.encodedCount, text)
	}
	for i := range 9 {
		lists.add(fmt.Sprint("large-", i), encodedService{1, make([]byte, maxCachedBytes/4)})
		if lists.cachedBytes > maxCachedBytes {
			t.Fatalf("%d bytes cached", lists.cachedBytes)
		}
	}
	sum := 0
	for _, cached := range lists.byService {
		sum += len(cached.entries)
	}
	if sum != lists.cachedBytes {
		t.Errorf("%d bytes cached, but cachedBytes is %d", sum, lists.cachedBytes)
	}
}

// Lists that were cached from one state are not served after another state has replaced it, even if both
// have the same revision.
func TestReplacedStateEmptiesServiceListCache(t *testing.T) {
	fixture, other := newFSMFixture(t), newFSMFixture(t)
	fixture.registerInService(t, "a", "before", 1)
	other.registerInService(t, "a", "after", 1)
	fixture.broadcaster.services.fullLists.encodedList([]string{"a"})
	fixture.fsm.mu.Lock()
	fixture.fsm.state = other.fsm.state
	fixture.fsm.mu.Unlock()
	if text, _ := fixture.broadcaster.services.fullLists.encodedList([]string{"a"}); !bytes.Contains(text, []byte(`"after"`)) || bytes.Contains(text, []byte(`"before"`)) {
		t.Errorf("after the state was replaced: %s", text)
	}
}
