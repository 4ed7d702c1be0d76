package catalog

import (
	"encoding/json"
	"errors"
	"testing"
)

// TestDecodeErrors verifies the types and texts of the errors of Decode.
func TestDecodeErrors(t *testing.T) {
	var format *FormatError
	if _, err := Decode([]byte(`{"form":2}`)); !errors.As(err, &format) || format.FormatVersion != 2 || err.Error() != "snapshot: form 2, this build reads form 1" {
		t.Errorf("snapshot of another format: %v", err)
	}
	var syntax *json.SyntaxError
	if _, err := Decode([]byte(`{"form":1`)); !errors.As(err, &syntax) {
		t.Errorf("truncated snapshot: %v", err)
	}
	const host = `{"host":{"host":"s","dial":"127.0.0.1:80","health":"ready","share":1},"version":1}`
	for _, c := range []struct{ state, text string }{
		{`"entries":{"s":null}`, `snapshot: entry "s" is not itself`},
		{`"entries":{"other":` + host + `}`, `snapshot: entry "other" is not itself`},
		{`"entries":{"s":` + host + `}`, `snapshot: entry "s": version 1 is beyond the state's`},
		{`"entries":{},"history":[{"seq":0,"name":"s"}]`, `snapshot: the history is out of order at version 0`},
		{`"sessions":{"p":{"process":"p"}}`, `snapshot: session "p" is not itself`},
		{`"duties":{"d":{"name":"d"}}`, `snapshot: duty "d" is not itself`},
		{`"duties":{"d":{"name":"d","ttl":1000000000,"holder":"p"}}`, `snapshot: duty "d": its holder makes no sense`},
		{`"members":{"m":{"name":"m","incarnation":1}}`, `snapshot: member "m" is not itself`},
		{`"scopes":{"floor":1}`, `snapshot: scopes: beyond their bounds`},
		{`"scopes":{"floors":{"a":1}}`, `snapshot: scopes: service "a" has no such oldest version`},
		{`"scopes":{"moved":[{"seq":1,"name":"s"}]}`, `snapshot: scopes: the moves are out of order at version 1`},
	} {
		var inconsistent *InconsistentStateError
		if _, err := Decode([]byte(`{"form":1,` + c.state + `}`)); !errors.As(err, &inconsistent) || err.Error() != c.text {
			t.Errorf("%s: %v, want %s", c.state, err, c.text)
		}
	}
}
