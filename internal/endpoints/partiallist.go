package endpoints

import (
	"bytes"
	"encoding/json"
)

// parsePartialList parses the beginning of a list's text. It returns the entries that are complete and
// readable, and the list's version, or 0 if the text doesn't contain the complete version.
func parsePartialList(text []byte) (list List) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return list
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return list
		}
		switch key {
		case "seq":
			if decoder.Decode(&list.Seq) != nil || decoder.InputOffset() >= int64(len(text)) {
				list.Seq = 0 // more digits may follow
				return list
			}
		case "whole":
			err = decoder.Decode(&list.Full)
		case "hosts":
			list.Endpoints, err = parsePartialEndpoints(decoder)
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return list
		}
	}
	return list
}

// parsePartialEndpoints parses entries up to the end of their array or the first error, and returns the
// readable ones.
func parsePartialEndpoints(decoder *json.Decoder) (endpoints []Endpoint, err error) {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, errMalformedList
	}
	for decoder.More() {
		var endpoint Endpoint
		if err := decoder.Decode(&endpoint); err != nil {
			return endpoints, err
		}
		if endpoint.CheckReadable() == nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	_, err = decoder.Token()
	return endpoints, err
}
