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

// call makes a request of a steward and reads its JSON answer.
func call(ctx context.Context, c *http.Client, method, url string, body, into any) error {
	var r io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, url, err)
		}
		r = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshot))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if resp.StatusCode/100 != 2 {
		return &HTTPError{Status: resp.StatusCode, Text: string(bytes.TrimSpace(text)), NotApplied: resp.Header.Get("Not-Applied") == "1"}
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = text
		return nil
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	return nil
}

// HTTPError is a steward's refusal.
type HTTPError struct {
	Status     int
	Text       string
	NotApplied bool // it surely had no effect
}

func (e *HTTPError) Error() string { return e.Text }

// neverSent tells whether a call failed before it went out.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
