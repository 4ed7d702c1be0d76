package control

import (
	"bytes"
	"testing"

	"knotrouter/internal/endpoints"
)

// A list assembled from encoded entries is byte for byte the encoding of the whole list.
func TestAssembledListEqualsEncodedList(t *testing.T) {
	entries := []endpoints.Endpoint{{Name: "a", Dial: "127.0.0.1:1", Health: endpoints.Ready, Weight: 0.5, StartedMs: 7, Service: "s"},
		{Name: "b", Health: endpoints.Removed}, {Name: "<c>&", Dial: "[::1]:2", Health: endpoints.Draining, Service: "é"}}
	for _, l := range []endpoints.List{{Seq: 1 << 50, Full: true, Endpoints: entries}, {Seq: -1, Endpoints: entries[:1]}, {Endpoints: []endpoints.Endpoint{}}} {
		var parts [][]byte
		for i := range l.Endpoints {
			parts = append(parts, encodeEntries(l.Endpoints[i:i+1]))
		}
		if got, want := assembleList(l.Seq, l.Full, parts), encodeList(&l); !bytes.Equal(got, want) {
			t.Errorf("assembled %s, want %s", got, want)
		}
	}
}
