// Package mutant runs mutation tests: it removes mechanisms from the program one at a time and
// reports whether the test of each mechanism fails without it (DeMillo, Lipton and Sayward, 1978).
// A test that passes without its mechanism doesn't cover it.
//
// A file such as mutants.toml lists the mutants: edits of source files, and the test that has to
// fail. Load reads the file and Select filters its mutants. Mutant.Run builds the test with the
// edits applied and runs it; RunAll runs several mutants concurrently. The source tree isn't changed:
// the edited files are passed to the Go tool as an overlay.
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

// Edit is a replacement of a text that occurs exactly once in a file.
type Edit struct {
	File string `koanf:"file"` // path from the root of the tree
	Old  string `koanf:"old"`
	New  string `koanf:"new"`
}

// Mutant describes the removal of one mechanism, and the test that has to fail without it.
type Mutant struct {
	Name    string        `koanf:"name"`    // the removed mechanism; unique in its file
	Edits   []Edit        `koanf:"edit"`    // applied in order
	Package string        `koanf:"package"` // package of the test, as a path from the root such as "./policy"
	Test    string        `koanf:"test"`    // regular expression for the test's name, as for go test -run
	Env     []string      `koanf:"env"`     // additional environment variables of the test, as "KEY=value"
	Timeout time.Duration `koanf:"within"`  // time limit of the test; 0 in the file means defaultTimeout
}

// defaultTimeout is long enough for a test to fail by its own deadline if it waits for an effect that
// the mutant prevents.
const defaultTimeout = 5 * time.Minute

// keySeparator is koanf's delimiter between the parts of a key path. It occurs in no key, so that koanf
// doesn't split a key that contains a dot.
const keySeparator = "\x00"

// Load reads and validates a file of mutants. Its error is one line that names the file and the invalid
// key; it wraps a *configfile.KeyError if a key is missing or has an invalid value.
func Load(path string) ([]Mutant, error) {
	parsed := koanf.New(keySeparator)
	if err := parsed.Load(file.Provider(path), toml.Parser()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	// The decoder's error for an unknown key prints this type, including its tags.
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
			return configfile.NewKeyError(key+".name", "%q is missing or not unique", mutant.Name)
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

// validate checks the mutant's values, except for its name. key is the mutant's key in the file.
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

// Select returns the mutants whose name or test matches a regular expression. It returns an error if
// the expression is invalid or matches no mutant.
func Select(mutants []Mutant, pattern string) ([]Mutant, error) {
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, fmt.Errorf("--only: %w", err)
	}
	selected := slices.DeleteFunc(slices.Clone(mutants), func(m Mutant) bool {
		return !re.MatchString(m.Name) && !re.MatchString(m.Test)
	})
	if len(selected) == 0 {
		return nil, fmt.Errorf("--only: no mutant matches %q", pattern)
	}
	return selected, nil
}

// Check returns an error if an edit doesn't apply to the source tree at root.
func (m *Mutant) Check(root string) error {
	_, err := m.editedFiles(root)
	return err
}

// editedFiles applies the edits to the files of the source tree at root, in memory. It returns the
// resulting text of each edited file by its path.
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
