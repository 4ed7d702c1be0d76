package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"knotrouter/internal/lab/client"
)

// Load reads an experiment file. Its error is one line that names the file and the key.
func Load(path string) (*Config, error) { return LoadFile(path, Parse) }

// LoadFile reads a file and parses its text. Its error names the file, or wraps that of reading it.
func LoadFile[T any](path string, parse func(text []byte) (*T, error)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	config, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// keySeparator separates the parts of a key within koanf. It occurs in no key, so that keys with
// a dot stay whole.
const keySeparator = "\x00"

// Parse reads the text of an experiment file over the defaults. Its error is one line that names
// the key; it is a *KeyError where the key or its value is invalid.
func Parse(text []byte) (*Config, error) {
	file := koanf.New(keySeparator)
	if err := file.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(strings.ReplaceAll("no TOML: "+err.Error(), "\n", " "))
	}
	raw := file.Raw()
	config := Default()
	config.prepareLists(raw)
	var metadata mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &config, TagName: "koanf", Metadata: &metadata,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc()})
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(raw); err != nil {
		return nil, errors.New(firstLine(err))
	}
	if len(metadata.Unused) > 0 {
		slices.Sort(metadata.Unused)
		return nil, newKeyError(metadata.Unused[0], "unknown key")
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &config, nil
}

// prepareLists makes room for the machine types and classes of the file. A list in the file
// replaces the default's, but what one of its entries leaves out is taken from the default's
// entry at the same place, or else the last.
func (c *Config) prepareLists(raw map[string]any) {
	machineTypes, classes := c.Servers.MachineTypes, c.Load.Classes
	if n, ok := listLength(raw, "servers", "kind"); ok {
		c.Servers.MachineTypes = make([]MachineType, n)
		for i := range c.Servers.MachineTypes {
			c.Servers.MachineTypes[i] = machineTypes[min(i, len(machineTypes)-1)]
			c.Servers.MachineTypes[i].Reports.Names = slices.Clone(machineTypes[0].Reports.Names)
		}
	}
	if n, ok := listLength(raw, "load", "class"); ok {
		c.Load.Classes = make([]client.Class, n)
		for i := range c.Load.Classes {
			c.Load.Classes[i] = classes[min(i, len(classes)-1)]
		}
	}
}

// listLength returns the length of a list within a table; false if it is missing or empty.
func listLength(raw map[string]any, table, list string) (int, bool) {
	entries, _ := raw[table].(map[string]any)
	values, ok := entries[list].([]any)
	return len(values), ok && len(values) > 0
}

// firstLine returns the first of the decoder's errors, in one line.
func firstLine(err error) string {
	text := err.Error()
	if joined, ok := err.(interface{ Unwrap() []error }); ok && len(joined.Unwrap()) > 0 {
		text = joined.Unwrap()[0].Error()
	}
	text = strings.TrimPrefix(text, "decoding failed due to the following error(s):\n\n")
	text, _, _ = strings.Cut(text, "\n")
	return strings.TrimSpace(text)
}
