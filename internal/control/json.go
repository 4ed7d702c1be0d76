package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// maxBodyBytes is the maximum size of a request body, except for routes with a larger limit.
const maxBodyBytes = 64 << 10

// writeJSON answers with a value as one line of JSON.
func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n'))
}

// readBody reads the body of a request within the read deadline that Server.handler has set, and
// clears the deadline. It returns a badRequestError for a body that is too long or didn't arrive in
// time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(maxBodyBytes)
	if r.URL.Path == "/v1/snapshot" || r.URL.Path == "/v1/renewals" {
		limit = maxSnapshotBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		w.Header().Set("Connection", "close") // so that net/http doesn't wait for the rest of the body
		return nil, newBadRequest("body: %v", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// decodeBody reads the body of a request as one JSON value without unknown keys. It returns a
// badRequestError for any other body.
func decodeBody(w http.ResponseWriter, r *http.Request, dest any) error {
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dest); err != nil {
		return newBadRequest("body: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newBadRequest("body: more than one value")
	}
	return nil
}
