package agent

import "net/http"

// requestFields are the header fields of a client's request that the agent reads.
type requestFields struct {
	requestID      string
	idempotencyKey string
	contentType    string
	timeout        string
	tenant         string
	workHint       string
	retry          bool
}

// takeFields returns the fields of a request and drops its header, which may take many times the memory of the
// rest of the request. net/http does not read the header of a request that it has passed to a handler.
func takeFields(r *http.Request) requestFields {
	fields := requestFields{
		requestID:      r.Header.Get("Request-Id"),
		idempotencyKey: r.Header.Get("Idempotency-Key"),
		contentType:    r.Header.Get("Content-Type"),
		timeout:        r.Header.Get("Request-Timeout"),
		tenant:         r.Header.Get("Tenant"),
		workHint:       r.Header.Get("Work-Hint"),
		retry:          r.Header.Get("Client-Retry") == "1",
	}
	r.Header, r.Trailer = nil, nil
	return fields
}

// headBytes returns how many bytes of the request's head are kept as long as the request.
func (r *request) headBytes() int {
	path := r.url.Path
	return len(path) + len(r.url.RawPath) + len(r.url.RawQuery) + len(r.host) + len(r.wireID) + len(r.idempotencyKey) + len(r.contentType)
}
