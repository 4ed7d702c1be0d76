package endpoints

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// OtherAddressesHeader says in a watch how many other addresses the reader knows: the service may
// redirect the reader to one of them. A reader without the header stays where it is.
const OtherAddressesHeader = "Other-Addresses"

// A reader that registers as present sends MemberHeader with its name and BootIDHeader with the
// identifier of its present process. It deregisters under MembersPath.
const (
	MemberHeader = "Member-Name"
	BootIDHeader = "Member-Life"
	MembersPath  = "/v1/members"
)

const (
	retryAfterHeader = "Retry-After"
	// notAppliedHeader marks a response that rejects a call without having done any part of it.
	notAppliedHeader = "Not-Applied"
	// maxRetryAfterSeconds bounds the Retry-After header; a response with a longer time is an
	// ordinary failure.
	maxRetryAfterSeconds = 1e6
)

// requestList requests a list or a watch of one address. On success, which is status 200, the caller
// has to close the body of the response.
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

// responseError returns the error for a response with another status than 200. A server that is
// unavailable for a time and says for how long is busy or stale; for a reader that has no other
// address, that makes no difference.
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
