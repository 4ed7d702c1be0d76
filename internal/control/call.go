package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// HTTPError is the error for an answer of a control-plane server with a status other than 2xx.
type HTTPError struct {
	Status     int
	Text       string
	NotApplied bool // the request certainly had no effect and is safe to retry
}

// Error returns the text of the answer.
func (e *HTTPError) Error() string { return e.Text }

// call sends a request with a JSON body, or without a body if body is nil, and decodes the JSON
// answer into the value that dest points to. If dest is a *[]byte, it is set to the answer as
// received; if dest is nil, the answer is discarded. An answer with a status other than 2xx is
// returned as an *HTTPError.
func call(ctx context.Context, c *http.Client, method, url string, body, dest any) error {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if resp.StatusCode/100 != 2 {
		return &HTTPError{Status: resp.StatusCode, Text: string(bytes.TrimSpace(text)), NotApplied: resp.Header.Get("Not-Applied") == "1"}
	}
	if raw, ok := dest.(*[]byte); ok {
		*raw = text
		return nil
	}
	if dest == nil {
		return nil
	}
	if err := json.Unmarshal(text, dest); err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	return nil
}

// newRequest returns a request with a JSON body, or without a body if body is nil.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
}

// neverSent reports whether a request failed before any of it was sent, which makes it safe
// to retry.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
