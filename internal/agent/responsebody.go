package agent

import (
	"io"
	"net/http"
)

// responseFields are the header fields of a response that the agent reads.
type responseFields struct {
	contentType string
	loadReport  string
	notStarted  bool
}

// takeResponseFields returns the fields of a response and drops its header, which may take many times the memory
// of the rest of the response.
func takeResponseFields(resp *http.Response) responseFields {
	fields := responseFields{
		contentType: resp.Header.Get("Content-Type"),
		loadReport:  resp.Header.Get("Server-Load"),
		notStarted:  resp.Header.Get("Not-Started") == "1",
	}
	resp.Header = nil
	return fields
}

// readResponseBody reads the body of a response, and returns it if the status is 200. A body without a length ends
// with the connection: a close means that the body is complete, a reset is an error (PROTOCOL, "Agents to programme
// servers"). For a response that will not be forwarded, such a body is not read, and the error is
// errUnboundedBody.
func (a *attempt) readResponseBody(resp *http.Response, fields responseFields) ([]byte, error) {
	if resp.StatusCode == http.StatusOK {
		if kept := int64(len(fields.contentType) + len(fields.loadReport)); kept > unreservedBytes {
			if err := a.reserve(kept); err != nil {
				return nil, err
			}
		}
		return readBody(resp.Body, resp.ContentLength, a.reserve)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errUnboundedBody
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes+1))
	if n > maxBodyBytes {
		err = errBodyTooLarge
	}
	return nil, err
}

// reserve reserves memory for the response. The connection is closed to free it if the response does not come
// soon and others wait.
func (a *attempt) reserve(bytes int64) error {
	if a.memory == nil {
		a.memory = a.transport.budgets.answers.reserve(a.closeConn)
	}
	return a.memory.grow(bytes, a.memoryWait())
}

// closeConn closes the connection that the attempt was written to.
func (a *attempt) closeConn() {
	if c := a.conn.Load(); c != nil {
		c.Close()
	}
}
