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

// drawList draws a list with names that look like JSON, and its text, indented or not.
func drawList(t *rapid.T) (List, []byte) {
	l := List{Seq: rapid.Int64Range(1, 1<<40).Draw(t, "seq"), Full: rapid.Bool().Draw(t, "whole"), Endpoints: []Endpoint{}}
	for range rapid.IntRange(0, 4).Draw(t, "hosts") {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: rapid.SampledFrom([]string{"a", `b}]"`, `c\`, "d\n"}).Draw(t, "host"),
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

// Wherever a list is cut, what is read of it is the beginning of its entries, and its version or none.
func TestParsePartialListReturnsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, text := drawList(t)
		least := 0 // entries read of less
		for n := range len(text) {
			part := parsePartialList(text[:n])
			if part.Seq != 0 && part.Seq != l.Seq {
				t.Fatalf("%q: version %d of %d", text[:n], part.Seq, l.Seq)
			}
			got := len(part.Endpoints)
			if got < least || got > len(l.Endpoints) || got > 0 && !reflect.DeepEqual(part.Endpoints, l.Endpoints[:got]) {
				t.Fatalf("%q: %+v", text[:n], part.Endpoints)
			}
			least = got
		}
		if least != len(l.Endpoints) {
			t.Fatalf("%d of %d entries of %q", least, len(l.Endpoints), text)
		}
	})
}

// However a watch's bytes are cut into pieces, the lists are the same, each with its last brace.
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

// A part is reported 100 ms after its begin, again where it has grown, and at the end; a list that is
// finished in time is not. The end says how much was left.
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
		feed(`1}{`[:2]) // in time
		time.Sleep(time.Second)
		if len(parts) != 0 || lists != 1 {
			t.Fatalf("parts %q, %d lists", parts, lists)
		}
		feed("\n{\"b\"")
		time.Sleep(10 * partialListDelay)
		feed(":")
		time.Sleep(10 * partialListDelay)
		feed("[")
		cut := new(IncompleteError)
		if err := s.close(io.EOF); !errors.As(err, &cut) || cut.Pending != 6 || cut.Age != 20*partialListDelay || !errors.Is(err, io.EOF) {
			t.Errorf("ended with %+v", err)
		}
		if want := []string{`{"b"`, `{"b":`, `{"b":[`}; !reflect.DeepEqual(parts, want) {
			t.Errorf("parts %q, want %q", parts, want)
		}
	})
}

// A fetch that ends in the midst of its list gives the part that came; one that ends behind the head,
// or with blanks alone, gives none: nothing of the list was written.
func TestFetchReportsPartialList(t *testing.T) {
	for body, want := range map[string]int{"": 0, " \n": 0, `{"seq":7,"whole":true,"hosts":[`: 1,
		`{"seq":7,"hosts":[{"host":"a","dial":"127.0.0.1:9","health":"draining"},{"ho`: 1} {
		var parts []List
		cl := NewClient(ClientConfig{Addresses: testAddresses(1), OnPartial: func(l List) { parts = append(parts, l) },
			Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				text := io.MultiReader(strings.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(text), Request: r}, nil
			})})
		if _, err := cl.Fetch(t.Context(), 0); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", body, err)
		}
		if len(parts) != want || want > 0 && parts[0].Seq != 7 {
			t.Errorf("%q: parts %+v, want %d", body, parts, want)
		}
	}
}
