package configfile

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

type settings struct {
	Name  string        `koanf:"name"`
	Limit time.Duration `koanf:"limit"`
	Table struct {
		Count int `koanf:"count"`
	} `koanf:"table"`
}

// Decoded values overwrite those of the struct, and the error for an invalid file is a single line that
// names the key.
func TestDecode(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"limit = \"3s\"\n[table]\ncount = 2\n", ""},
		{"name = ", "no TOML: "},
		{"limit = \"soon\"\n", "limit"},
		{"colour = \"red\"\nbeta = 1\n", "beta: unknown key"},
		{"[table]\nsize = 1\n", "table.size: unknown key"},
		{"[table]\ncount = \"many\"\n", "table.count"},
	} {
		result := settings{Name: "kept"}
		raw, err := Parse([]byte(c.text))
		if err == nil {
			err = Decode(raw, &result)
		}
		if c.want == "" {
			if err != nil || result.Name != "kept" || result.Limit != 3*time.Second || result.Table.Count != 2 {
				t.Errorf("%q: %+v, error %v", c.text, result, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line with %q", c.text, err, c.want)
		}
		var keyErr *KeyError
		if strings.HasSuffix(c.want, "unknown key") && (!errors.As(err, &keyErr) || keyErr.Key+": unknown key" != c.want) {
			t.Errorf("%q: error %#v, want a KeyError", c.text, err)
		}
	}
}

// Decode merges the lists and maps of a file into those of the struct, and DecodeReplacing replaces
// them. Both keep the fields that the file doesn't set and reject an unknown key.
func TestDecodeReplacing(t *testing.T) {
	type step struct {
		Name  string `koanf:"name"`
		Count int    `koanf:"count"`
	}
	type collections struct {
		Name  string         `koanf:"name"`
		Steps []step         `koanf:"steps"`
		Limit map[string]int `koanf:"limit"`
	}
	raw, err := Parse([]byte("steps = [{ count = 7 }]\nlimit = { b = 2 }\n"))
	if err != nil {
		t.Fatal(err)
	}
	defaults := func() collections {
		return collections{Name: "kept", Steps: []step{{"one", 1}, {"two", 2}}, Limit: map[string]int{"a": 1}}
	}
	merged, replaced := defaults(), defaults()
	if err := Decode(raw, &merged); err != nil {
		t.Fatal(err)
	}
	if err := DecodeReplacing(raw, &replaced); err != nil {
		t.Fatal(err)
	}
	want := collections{Name: "kept", Steps: []step{{"one", 7}}, Limit: map[string]int{"a": 1, "b": 2}}
	if !reflect.DeepEqual(merged, want) {
		t.Errorf("Decode: %+v, want %+v", merged, want)
	}
	want = collections{Name: "kept", Steps: []step{{"", 7}}, Limit: map[string]int{"b": 2}}
	if !reflect.DeepEqual(replaced, want) {
		t.Errorf("DecodeReplacing: %+v, want %+v", replaced, want)
	}
	var keyErr *KeyError
	if err := DecodeReplacing(map[string]any{"colour": "red"}, &replaced); !errors.As(err, &keyErr) || keyErr.Key != "colour" {
		t.Errorf("error %v, want a KeyError for colour", err)
	}
}
