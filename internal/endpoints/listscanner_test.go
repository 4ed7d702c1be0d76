package endpoints

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// drawList draws a random list whose names contain JSON syntax, and returns it with its text, which may
// be indented.
func drawList(t *rapid.T) (List, []byte) {
	l := List{Seq: rapid.Int64Range(1, 1<<40).Draw(t, "seq"), Full: rapid.Bool().Draw(t, "full"), Endpoints: []Endpoint{}}
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: rapid.SampledFrom([]string{"a", `b}]"`, `c\`, "d\n"}).Draw(t, "name"),
			Dial: "127.0.0.1:9", Health: rapid.SampledFrom([]string{Ready, Draining, Removed}).Draw(t, "health"), Weight: 1})
	}
	var text []byte
	if rapid.Bool().Draw(t, "indented") {
		text, _ = json.MarshalIndent(l, "", "  ")
	} else {
		text, _ = json.Marshal(l)
	}
	return l, append(text, '\n')
}

// For any prefix of the text of a list, parsePartialList returns the first entries, and the version or 0.
func TestParsePartialListReturnsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, text := drawList(t)
		parsed := 0 // number of entries of the previous prefix
		for n := range len(text) {
			part := parsePartialList(text[:n])
			if part.Seq != 0 && part.Seq != l.Seq {
				t.Fatalf("%q: version %d, want %d", text[:n], part.Seq, l.Seq)
			}
			got := len(part.Endpoints)
			if got < parsed || got > len(l.Endpoints) || got > 0 && !reflect.DeepEqual(part.Endpoints, l.Endpoints[:got]) {
				t.Fatalf("%q: %+v", text[:n], part.Endpoints)
			}
			parsed = got
		}
		if parsed != len(l.Endpoints) {
			t.Fatalf("parsed %d of %d entries of %q", parsed, len(l.Endpoints), text)
		}
	})
}

// However the bytes of a watch are split into pieces, the scanner returns the same lists, each as soon as
// its closing brace arrives.
func TestScannerSplitsListsAtAnyBoundary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want, got []List
		s := listScanner{onBlankLine: func() {}, onPartial: func([]byte, time.Time) {}}
		s.onList = func(text []byte) error {
			l, err := Parse(text)
			got = append(got, l)
			return err
		}
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			l, text := drawList(t)
			want = append(want, l)
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "piece")
				if err := s.feed(text[:n]); err != nil {
					t.Fatal(err)
				}
				text = text[n:]
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		if err := s.close(io.EOF); err != io.EOF {
			t.Fatalf("ended with %v", err)
		}
	})
}

// The received part of a list is reported 100 ms after its first byte, again when it has grown, and at the
// end of the watch. A list that is complete within that time is not reported in part. The error at the end
// holds the number of bytes of the unfinished list.
func TestScannerReportsPartialLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts, lists := []string{}, 0
		s := listScanner{onBlankLine: func() {}, onList: func([]byte) error { lists++; return nil }}
		s.onPartial = func(text []byte, since time.Time) { parts = append(parts, string(text)) }
		feed := func(text string) {
			if err := s.feed([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		feed(`{"a":`)
		time.Sleep(partialListDelay - time.Millisecond)
		feed(`1}`) // before the delay is over
		time.Sleep(time.Second)
		if len(parts) != 0 || lists != 1 {
			t.Fatalf("parts %q, %d lists", parts, lists)
		}
		feed("\n{\"b\"")
		time.Sleep(10 * partialListDelay)
		feed(":")
		time.Sleep(10 * partialListDelay)
		feed("[")
		incomplete := new(IncompleteError)
		if err := s.close(io.EOF); !errors.As(err, &incomplete) || incomplete.Pending != 6 || incomplete.Age != 20*partialListDelay || !errors.Is(err, io.EOF) {
			t.Errorf("ended with %+v", err)
		}
		if want := []string{`{"b"`, `{"b":`, `{"b":[`}; !reflect.DeepEqual(parts, want) {
			t.Errorf("parts %q, want %q", parts, want)
		}
	})
}

// A fetch that ends inside its list reports the received part. A fetch that ends after the header, or after
// nothing but blanks, reports none, because the service has written no part of the list.
func TestFetchReportsPartialList(t *testing.T) {
	for body, want := range map[string]int{"": 0, " \n": 0, `{"seq":7,"whole":true,"hosts":[`: 1,
		`{"seq":7,"hosts":[{"host":"a","dial":"127.0.0.1:9","health":"draining"},{"ho`: 1} {
		var parts []List
		client := NewClient(ClientConfig{Addresses: testAddresses(1), OnPartial: func(l List) { parts = append(parts, l) },
			Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				text := io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(text), Request: r}, nil
			})})
		if _, err := client.Fetch(t.Context(), 0); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: Fetch returned %v, want io.ErrUnexpectedEOF", body, err)
		}
		if len(parts) != want || want > 0 && parts[0].Seq != 7 {
			t.Errorf("%q: reported %+v, want %d parts", body, parts, want)
		}
	}
}
