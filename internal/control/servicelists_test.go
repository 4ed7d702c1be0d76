package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"knotrouter/internal/endpoints"
)

// Full lists of services are encoded once per version of the service, and the cache is bounded.
func TestServiceListsAreCached(t *testing.T) {
	st := newFSMFixture(t)
	lists := st.broadcaster.services.fullLists
	st.registerInService(t, "a", "a", 1)
	st.registerInService(t, "b", "b", 1)
	for range 3 {
		text, seq := lists.encodedList([]string{"a", "b", "none"})
		var l endpoints.List
		if err := json.Unmarshal(text, &l); err != nil || !l.Full || len(l.Endpoints) != 2 || l.Seq != seq || seq != st.revision() {
			t.Fatalf("%s: %v", text, err)
		}
	}
	if lists.encodedCount != 2 {
		t.Errorf("two services were encoded %d times", lists.encodedCount)
	}
	st.registerInService(t, "a", "a-2", 1)
	if text, seq := lists.encodedList([]string{"a", "b"}); lists.encodedCount != 3 || seq != st.revision() || bytes.Count(text, []byte(`"host"`)) != 3 {
		t.Errorf("after a change of one: encoded %d times, %s", lists.encodedCount, text)
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
		t.Errorf("%d bytes cached, counted as %d", sum, lists.cachedBytes)
	}
}

// Lists that were cached of one state are not served after another has replaced it, even if the
// versions are equal.
func TestReplacedStateEmptiesServiceListCache(t *testing.T) {
	st, other := newFSMFixture(t), newFSMFixture(t)
	st.registerInService(t, "a", "before", 1)
	other.registerInService(t, "a", "after", 1)
	st.broadcaster.services.fullLists.encodedList([]string{"a"})
	st.fsm.mu.Lock()
	st.fsm.state = other.fsm.state
	st.fsm.mu.Unlock()
	if text, _ := st.broadcaster.services.fullLists.encodedList([]string{"a"}); !bytes.Contains(text, []byte(`"after"`)) || bytes.Contains(text, []byte(`"before"`)) {
		t.Errorf("after the state was replaced: %s", text)
	}
}
