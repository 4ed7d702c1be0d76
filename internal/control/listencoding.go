package control

import (
	"bytes"
	"encoding/json"
	"strconv"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
)

const (
	estimatedEntryBytes       = 120 // size of an entry in the full list
	estimatedScopedEntryBytes = 140 // size of an entry in a list limited to services
)

// encodeList returns a list encoded as a line of a watch.
func encodeList(l *endpoints.List) []byte {
	text, _ := json.Marshal(l) // can't fail: numbers, strings and booleans only
	return append(text, '\n')
}

// encodeEntries returns entries encoded as in a list, without the surrounding brackets.
func encodeEntries(entries []endpoints.Endpoint) []byte {
	text, _ := json.Marshal(entries) // can't fail: numbers, strings and booleans only
	return bytes.TrimSuffix(bytes.TrimPrefix(text, []byte("[")), []byte("]"))
}

// assembleList returns a list of already encoded entries as a line of a watch, byte for byte the same
// as encodeList returns for the decoded entries.
func assembleList(revision int64, full bool, entries [][]byte) []byte {
	const envelopeBytes = len(`{"seq":-9223372036854775808,"whole":false,"hosts":[]}`) + 1
	size := envelopeBytes
	for _, e := range entries {
		size += len(e) + 1
	}
	text := make([]byte, 0, size)
	text = append(text, `{"seq":`...)
	text = strconv.AppendInt(text, revision, 10)
	text = append(text, `,"whole":`...)
	text = strconv.AppendBool(text, full)
	text = append(text, `,"hosts":[`...)
	for i, e := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, e...)
	}
	return append(text, "]}\n"...)
}

// estimateFullListBytes returns the approximate size of the encoded full list.
func (b *watchBroadcaster) estimateFullListBytes() int {
	listed := 0
	b.fsm.read(func(state *catalog.State) { listed = state.ListedCount() })
	return listed * estimatedEntryBytes
}

// estimateListBytes returns the approximate size of the list that encodedList would return.
func (t *serviceTopics) estimateListBytes(services []string, since int64, full bool) int {
	entries := 0
	t.fsm.read(func(state *catalog.State) {
		if !full && state.KnowsChangesSince(services, since) {
			return
		}
		for _, name := range services {
			entries += state.ServiceSize(name)
		}
	})
	return entries * estimatedScopedEntryBytes
}
