// Package configfile reads the lab's configuration files, which are TOML texts, into structs whose fields have
// koanf tags. Each error for a key is a single line that names the key.
package configfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// KeyError is an error in one key of a file or in its value.
type KeyError struct {
	Key     string // path in the file, such as "load.class[1].effect"
	Problem string
}

// Error returns "key: problem".
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// NewKeyError returns a *KeyError with a formatted problem.
func NewKeyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// keySeparator separates the components of a key path within koanf. No key contains it, so a key that
// contains a dot is not split.
const keySeparator = "\x00"

// Parse parses TOML text into nested maps. An error is a single line that begins with "no TOML".
func Parse(text []byte) (map[string]any, error) {
	file := koanf.New(keySeparator)
	if err := file.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(strings.ReplaceAll("no TOML: "+err.Error(), "\n", " "))
	}
	return file.Raw(), nil
}

// Decode writes parsed values over the struct that result points to. Values that the file leaves out keep
// their value in the struct. A list gets the length that it has in the file; a field that is missing from a
// list entry keeps the value from the struct's entry with the same index. A map is merged into the map of the
// struct. An error is a single line that names the key; it is a *KeyError for a key that the struct doesn't
// have.
func Decode(raw map[string]any, result any) error {
	return decode(raw, result, false)
}

// DecodeReplacing is like Decode, except that a list or map in the file replaces the one in the struct,
// whose entries are discarded.
func DecodeReplacing(raw map[string]any, result any) error {
	return decode(raw, result, true)
}

func decode(raw map[string]any, result any, replaceCollections bool) error {
	var metadata mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     result,
		TagName:    "koanf",
		Metadata:   &metadata,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(),
		ZeroFields: replaceCollections,
	})
	if err != nil {
		return err
	}
	if err := decoder.Decode(raw); err != nil {
		return errors.New(firstLine(err))
	}
	if len(metadata.Unused) > 0 {
		return NewKeyError(slices.Min(metadata.Unused), "unknown key")
	}
	return nil
}

// firstLine returns the first of the decoder's errors as a single line.
func firstLine(err error) string {
	text := err.Error()
	if joined, ok := err.(interface{ Unwrap() []error }); ok && len(joined.Unwrap()) > 0 {
		text = joined.Unwrap()[0].Error()
	}
	text = strings.TrimPrefix(text, "decoding failed due to the following error(s):\n\n")
	text, _, _ = strings.Cut(text, "\n")
	return strings.TrimSpace(text)
}
