// Package configfile reads the lab's configuration files: TOML text into structs whose fields have
// koanf tags. Its errors are one line each and name the key, so that whoever wrote the file finds
// the place.
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
	Key     string // its path in the file, as "load.class[1].effect"
	Problem string
}

// Error returns "key: problem".
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// NewKeyError returns a *KeyError with a formatted problem.
func NewKeyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// keySeparator separates the parts of a key within koanf. It occurs in no key, so that a key with a
// dot stays in one piece.
const keySeparator = "\x00"

// Parse parses TOML text into nested maps. Its error is one line that begins with "no TOML".
func Parse(text []byte) (map[string]any, error) {
	file := koanf.New(keySeparator)
	if err := file.Load(rawbytes.Provider(text), toml.Parser()); err != nil {
		return nil, errors.New(strings.ReplaceAll("no TOML: "+err.Error(), "\n", " "))
	}
	return file.Raw(), nil
}

// Decode writes parsed values over the struct that result points to. A list in the file gets the
// file's length; what one of its entries leaves out stays as in the struct's entry at the same
// place. A map is merged into the struct's. The error is one line that names the key, a *KeyError
// for a key that the struct doesn't have.
func Decode(raw map[string]any, result any) error {
	return decode(raw, result, false)
}

// DecodeReplacing is Decode, except that a list or map in the file replaces the struct's, whose
// entries are forgotten.
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
