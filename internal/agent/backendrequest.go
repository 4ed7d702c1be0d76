package agent

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// outgoingRequest is the request as the backend gets it. The transport sends a request
// again by itself, unasked, if it has no body or can get it anew; so it always has
// a body here, one that can't be had twice.
func (a *attempt) outgoingRequest() *http.Request {
	r := a.req
	u := *r.url
	u.Scheme, u.Host = "http", a.dialAddr
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
	return &http.Request{Method: r.method, URL: &u, Host: r.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &requestBody{reader: bytes.NewReader(r.body), consumed: &a.bodyConsumed}, ContentLength: int64(len(r.body))}
}

// setTimeoutHeader sets what the backend is told of the time that the agent will wait.
func (a *attempt) setTimeoutHeader() {
	left := max(time.Until(a.deadline()).Milliseconds(), 1)
	a.header["Request-Timeout"] = []string{strconv.FormatInt(left, 10) + "m"}
}

// requestBody is a request's body on its way out. It notes when it was taken to its last byte, which
// the transport sends on before it comes for more.
type requestBody struct {
	reader   *bytes.Reader
	consumed *atomic.Bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.reader.Len() == 0 {
		b.consumed.Store(true)
	}
	return n, err
}

func (b *requestBody) Close() error { return nil }
