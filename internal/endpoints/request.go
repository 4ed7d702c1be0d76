package endpoints

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// OtherAddressesHeader is the request header with the number of other addresses that the reader knows:
// the service may redirect the reader to one of them. Readers that don't send it are not redirected.
const OtherAddressesHeader = "Other-Addresses"

// A reader that registers as a member sends MemberHeader with its name and BootIDHeader with an
// identifier of its current process. It deregisters under MembersPath.
const (
	MemberHeader = "Member-Name"
	BootIDHeader = "Member-Life"
	MembersPath  = "/v1/members"
)

const (
	retryAfterHeader = "Retry-After"
	// notAppliedHeader marks a response to a call that was rejected without any effect.
	notAppliedHeader = "Not-Applied"
	// maxRetryAfterSeconds is the longest accepted Retry-After time; a response with a longer one is
	// an ordinary failure.
	maxRetryAfterSeconds = 1e6
)

// requestList requests a list or a watch from one address. Any status but 200 is an error. Without an
// error, the caller has to close the body of the response.
func (c *Client) requestList(ctx context.Context, addr, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path+query, nil)
	if err != nil {
		return nil, err
	}
	otherCount := c.otherAddressCount()
	if otherCount > 0 {
		req.Header.Set(OtherAddressesHeader, strconv.Itoa(otherCount))
	}
	if c.config.Member != "" {
		req.Header.Set(MemberHeader, c.config.Member)
		req.Header.Set(BootIDHeader, c.bootID)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, responseError(resp, otherCount > 0)
	}
	return resp, nil
}

func (c *Client) otherAddressCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.OtherCount()
}

// responseError returns the error for a response with a status other than 200. A server that responds
// with 503 and a Retry-After time is busy or stale. Without another address to call, the reader treats
// this like any other failure.
func responseError(resp *http.Response, hasOtherAddresses bool) error {
	seconds, err := strconv.ParseFloat(resp.Header.Get(retryAfterHeader), 64)
	hasRetryAfter := err == nil && seconds >= 0 && seconds <= maxRetryAfterSeconds
	switch {
	case !hasOtherAddresses || resp.StatusCode != http.StatusServiceUnavailable || !hasRetryAfter:
		return errors.New(resp.Status)
	case resp.Header.Get(notAppliedHeader) != "":
		return &busyError{time.Duration(seconds * float64(time.Second))}
	}
	return errServerStale
}
