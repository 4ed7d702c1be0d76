package configfile

import (
	"errors"
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

// Values are written over those that the struct has, and the error of an invalid file is one line
// that names the key.
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
