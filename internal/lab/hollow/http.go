package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// maxBody is the largest body of a command, in bytes.
const maxBody = 64 << 10

// writeJSON responds with the value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Serve serves a process's state and commands on a loopback address until the context ends. It returns as
// soon as it listens. Its error names the flag --listen.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("--listen: no address with a port: %q", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--listen: must be a loopback address, is %q", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Call sends a command or a query for the state to a hollow process and decodes the response into the value
// that into points to. It returns an error if there is no response or its status is not 200.
func Call(ctx context.Context, method, url string, body, into any) error {
	request, err := newRequest(ctx, method, url, body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("hollow process: %s %s: %s", method, request.URL.Path, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("hollow process: invalid response: %w", err)
	}
	return nil
}

// newRequest creates a request. A body that is not nil is encoded as JSON.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("request: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	return request, nil
}
