package agent

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// outgoingRequest returns the request that is sent to the backend. net/http sends a request a
// second time on its own if the request has no body or can get the body again (GetBody); therefore
// this request always has a body, and no GetBody.
func (a *attempt) outgoingRequest() *http.Request {
	r := a.req
	u := *r.url
	u.Scheme, u.Host = "http", a.slot.host
	host := r.host
	if host == "" {
		host = a.dialAddr
	}
	h := http.Header{"User-Agent": {""}}
	a.header = h
	a.setTimeoutHeader()
	if r.wireID != "" {
		h["Request-Id"] = []string{r.wireID}
	}
	if r.idempotencyKey != "" {
		h["Idempotency-Key"] = []string{r.idempotencyKey}
	}
	if r.contentType != "" {
		h["Content-Type"] = []string{r.contentType}
	}
	a.bodyConsumed.Store(len(r.body) == 0)
	return &http.Request{Method: r.method, URL: &u, Host: host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: a.singleUse,
		Body: &requestBody{reader: bytes.NewReader(r.body), consumed: &a.bodyConsumed}, ContentLength: int64(len(r.body))}
}

// setTimeoutHeader sets Request-Timeout to the time left until the attempt's deadline, at least 1 ms.
func (a *attempt) setTimeoutHeader() {
	left := max(time.Until(a.deadline()).Milliseconds(), 1)
	a.header["Request-Timeout"] = []string{strconv.FormatInt(left, 10) + "m"}
}

// requestBody is the body of an outgoing request. It records when the transport has consumed the
// last byte; the transport writes that byte before it reads again.
type requestBody struct {
	reader   *bytes.Reader
	consumed *atomic.Bool
}

// Read reads the next bytes of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.reader.Len() == 0 {
		b.consumed.Store(true)
	}
	return n, err
}

// Close does nothing: the body is in memory.
func (b *requestBody) Close() error { return nil }
