package experiment

import (
	"fmt"
	"os"
	"slices"

	"knotrouter/internal/lab/client"
	"knotrouter/internal/lab/configfile"
)

// Load reads an experiment file. Its error is a single line that names the file and the key.
func Load(path string) (*Config, error) { return LoadFile(path, Parse) }

// LoadFile reads a file and parses its text. Its error names the file.
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

// Parse parses the text of an experiment file over the defaults. Its error is a single line that names
// the key; it is a *configfile.KeyError if the key or its value is invalid.
func Parse(text []byte) (*Config, error) {
	raw, err := configfile.Parse(text)
	if err != nil {
		return nil, err
	}
	config := Default()
	config.prepareLists(raw)
	if err := configfile.Decode(raw, &config); err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &config, nil
}

// prepareLists resizes the lists of machine types and classes to their lengths in the file. A list in the
// file replaces the default list, but a field that one of its entries leaves out is taken from the default
// entry with the same index, or from the last one.
func (c *Config) prepareLists(raw map[string]any) {
	machineTypes, classes := c.Servers.MachineTypes, c.Load.Classes
	if n, ok := listLength(raw, "servers", "kind"); ok {
		c.Servers.MachineTypes = make([]MachineType, n)
		for i := range c.Servers.MachineTypes {
			c.Servers.MachineTypes[i] = machineTypes[min(i, len(machineTypes)-1)]
			c.Servers.MachineTypes[i].Reports.Metrics = slices.Clone(machineTypes[0].Reports.Metrics)
		}
	}
	if n, ok := listLength(raw, "load", "class"); ok {
		c.Load.Classes = make([]client.Class, n)
		for i := range c.Load.Classes {
			c.Load.Classes[i] = classes[min(i, len(classes)-1)]
		}
	}
}

// listLength returns the length of a list within a table, or false if the list is missing or empty.
func listLength(raw map[string]any, table, list string) (int, bool) {
	entries, _ := raw[table].(map[string]any)
	values, ok := entries[list].([]any)
	return len(values), ok && len(values) > 0
}
