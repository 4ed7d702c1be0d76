package golden

import (
	"reflect"
	"slices"
	"testing"
)

// firstDifference finds the first line in which two texts differ, also if the shorter text ends there.
func TestFirstDifference(t *testing.T) {
	for _, c := range []struct {
		want, got         string
		line              int
		wantLine, gotLine string
	}{
		{"a\nb\n", "a\nc\n", 2, "b", "c"},
		{"a\n", "a\nb\n", 2, "", "b"},
		{"a\nb\n", "a\n", 2, "b", ""},
		{"a\n", "a", 2, "", ""},
	} {
		line, wantLine, gotLine := firstDifference(c.want, c.got)
		if line != c.line || wantLine != c.wantLine || gotLine != c.gotLine {
			t.Errorf("%q and %q: line %d, %q and %q", c.want, c.got, line, wantLine, gotLine)
		}
	}
}

// Fill sets each exported field of the JSON form to a distinct value, in the order of the fields.
func TestFillSetsEveryField(t *testing.T) {
	type inner struct{ Text string }
	type outer struct {
		Number  int
		Pointer *inner
		List    []float64
		Map     map[string]uint8
		Flag    bool
		Skipped string `json:"-"`
		_       int
	}
	var got outer
	Fill(t, &got)
	want := outer{Number: 1, Pointer: &inner{"text-2"}, List: []float64{3.5}, Map: map[string]uint8{"text-4": 5}, Flag: true}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("filled %+v, want %+v", got, want)
	}
}

// Types that contain themselves and kinds without a JSON form are rejected.
func TestFillRefusesTypesWithoutValues(t *testing.T) {
	type recursive struct{ Next *recursive }
	for _, v := range []any{&recursive{}, new(chan int)} {
		if err := new(filler).fill(reflect.ValueOf(v).Elem(), 0); err == nil {
			t.Errorf("%T was filled", v)
		}
	}
}

// StringConstants finds the untyped string constant of this package's non-test files. With the type string it
// finds none, because the package declares no constant with a type.
func TestStringConstants(t *testing.T) {
	if got := StringConstants(t, "."); !slices.Equal(got, []string{"testdata"}) {
		t.Errorf("constants %q", got)
	}
	if got := StringConstants(t, ".", "string"); len(got) > 0 {
		t.Errorf("constants of type string: %q", got)
	}
}
