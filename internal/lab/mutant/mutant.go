// Package mutant runs mutation tests: it removes mechanisms from the program one at a time and
// reports whether the test of each mechanism fails without it (DeMillo, Lipton and Sayward, 1978).
// A test that passes without its mechanism shows nothing.
//
// A file such as mutants.toml lists the mutants: edits of source files, and the test that has to
// fail. Load reads it and Select chooses among its mutants. Mutant.Run builds the test with the
// edits applied and runs it; RunAll does so for many. The source tree isn't changed: the edited
// files replace the real ones in an overlay of the Go tool.
package mutant

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"knotrouter/internal/lab/configfile"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	File string `koanf:"file"` // path from the root of the tree
	Old  string `koanf:"old"`
	New  string `koanf:"new"`
}

// Mutant is the program without one mechanism, and the test that has to fail without it.
type Mutant struct {
	Name    string        `koanf:"name"`    // the mechanism that is removed; unique in its file
	Edits   []Edit        `koanf:"edit"`    // applied in order
	Package string        `koanf:"package"` // of the test, as a path from the root such as "./policy"
	Test    string        `koanf:"test"`    // pattern of the test's name, as for go test -run
	Env     []string      `koanf:"env"`     // further environment variables of the test, as "KEY=value"
	Timeout time.Duration `koanf:"within"`  // of the test; defaultTimeout unless the file has another
}

// defaultTimeout is long enough for a test that waits for what doesn't happen without its mechanism
// to fail by its own deadline.
const defaultTimeout = 5 * time.Minute

// keySeparator separates the parts of a key within koanf. It occurs in no key, so that a key with a
// dot stays in one piece.
const keySeparator = "\x00"

// Load reads a file of mutants. Its error is one line that names the file and the invalid key; it
// wraps a *configfile.KeyError where the key's value is invalid.
func Load(path string) ([]Mutant, error) {
	parsed := koanf.New(keySeparator)
	if err := parsed.Load(file.Provider(path), toml.Parser()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	// The decoder's message about an unknown key includes this type's text.
	var config struct {
		Mutant []Mutant `koanf:"mutant"`
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &config, TagName: "koanf", ErrorUnused: true,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc()})
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(parsed.Raw()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	if err := validate(config.Mutant); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	mutants := config.Mutant
	for i := range mutants {
		if mutants[i].Timeout == 0 {
			mutants[i].Timeout = defaultTimeout
		}
	}
	return mutants, nil
}

// validate returns a *configfile.KeyError for the first invalid key of the mutants, or nil.
func validate(mutants []Mutant) error {
	names := map[string]bool{}
	for i, mutant := range mutants {
		key := fmt.Sprintf("mutant[%d]", i)
		if mutant.Name == "" || names[mutant.Name] {
			return configfile.NewKeyError(key+".name", "%q is missing or taken", mutant.Name)
		}
		if err := mutant.validate(key); err != nil {
			return err
		}
		names[mutant.Name] = true
	}
	if len(mutants) == 0 {
		return configfile.NewKeyError("mutant", "none")
	}
	return nil
}

// validate checks the mutant's values, except for its name. key is that of the mutant.
func (m *Mutant) validate(key string) error {
	switch {
	case m.Package == "":
		return configfile.NewKeyError(key+".package", "missing")
	case m.Test == "":
		return configfile.NewKeyError(key+".test", "missing")
	case len(m.Edits) == 0:
		return configfile.NewKeyError(key+".edit", "none")
	}
	if _, err := regexp.Compile(m.Test); err != nil {
		return fmt.Errorf("%s.test: %w", key, err)
	}
	return nil
}

// Select returns the mutants whose name or test matches a pattern. It returns an error if the
// pattern is invalid or matches none.
func Select(mutants []Mutant, pattern string) ([]Mutant, error) {
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, fmt.Errorf("--only: %w", err)
	}
	selected := slices.DeleteFunc(slices.Clone(mutants), func(m Mutant) bool {
		return !re.MatchString(m.Name) && !re.MatchString(m.Test)
	})
	if len(selected) == 0 {
		return nil, fmt.Errorf("--only: nothing fits %q", pattern)
	}
	return selected, nil
}

// Check returns an error if an edit doesn't apply to the tree below root.
func (m *Mutant) Check(root string) error {
	_, err := m.editedFiles(root)
	return err
}

// editedFiles applies the edits to the files of the tree below root. It returns the resulting text
// of each edited file by its path.
func (m *Mutant) editedFiles(root string) (map[string]string, error) {
	texts := map[string]string{}
	for _, edit := range m.Edits {
		path := filepath.Join(root, edit.File)
		if _, ok := texts[path]; !ok {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", m.Name, err)
			}
			texts[path] = string(text)
		}
		if count := strings.Count(texts[path], edit.Old); count != 1 || edit.Old == "" {
			return nil, fmt.Errorf("%s: %s has %q %d times, not once", m.Name, edit.File, edit.Old, count)
		}
		texts[path] = strings.Replace(texts[path], edit.Old, edit.New, 1)
	}
	return texts, nil
}
