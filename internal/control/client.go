package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"knotrouter/internal/catalog"
	"knotrouter/internal/endpoints"
	"knotrouter/internal/leaderelection"
)

// Client speaks to stewards: to the first of its addresses that answers. One that did not
// is asked last from then on.
type Client struct {
	Addrs         []string
	AddressSource func() []string // the addresses as they are now, in place of those; nil: those
	HTTP          *http.Client
	preferred     atomic.Int64
}

// NewClient makes a client whose calls may take as long as given.
func NewClient(addrs []string, within time.Duration) *Client {
	return &Client{Addrs: addrs, HTTP: &http.Client{Timeout: within}}
}

// do asks one address after the other. After an answer, even a refusal, the next is asked
// only where the call surely had no effect.
func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	err := errors.New("no address of a steward")
	first := c.preferred.Load()
	addrs := c.Addrs
	if c.AddressSource != nil {
		addrs = c.AddressSource()
	}
	for i := range addrs {
		addr := addrs[(int(first)+i)%len(addrs)]
		err = call(ctx, c.HTTP, method, "http://"+addr+path, body, into)
		var refused *HTTPError
		if err != nil && !errors.As(err, &refused) {
			c.preferred.CompareAndSwap(first+int64(i), first+int64(i)+1)
		}
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused) && !refused.NotApplied:
			return err
		case !errors.As(err, &refused) && method != http.MethodGet && !neverSent(err):
			return fmt.Errorf("%s: %w", addr, err)
		}
	}
	return err
}

// Register puts an entry into the list.
func (c *Client) Register(ctx context.Context, h endpoints.Endpoint) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPut, "/v1/servers/"+h.Name, h, &r)
}

// Renew says that the processes are there.
func (c *Client) Renew(ctx context.Context, refs []catalog.InstanceRef) (r RenewalBatch, err error) {
	return r, c.do(ctx, http.MethodPost, "/v1/renewals", RenewalBatch{Refs: refs}, &r)
}

// SetOverride gives an operator's word for a server.
func (c *Client) SetOverride(ctx context.Context, name string, w ServerOverride) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPatch, "/v1/servers/"+name, w, &r)
}

// Server reads an entry; consistent is as of now, by way of the leader.
func (c *Client) Server(ctx context.Context, name string, consistent bool) (e catalog.Entry, err error) {
	return e, c.do(ctx, http.MethodGet, "/v1/servers/"+name+query(consistent), nil, &e)
}

// Servers reads all entries, those that ended of late included.
func (c *Client) Servers(ctx context.Context, consistent bool) (all []catalog.Entry, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/servers"+query(consistent), nil, &all)
}

func query(consistent bool) string {
	if consistent {
		return "?consistent=1"
	}
	return ""
}

// List reads the whole list.
func (c *Client) List(ctx context.Context) (l endpoints.List, err error) {
	return l, c.do(ctx, http.MethodGet, endpoints.Path, nil, &l)
}

// Status tells how the steward stands that answers first.
func (c *Client) Status(ctx context.Context) (st Status, err error) {
	return st, c.do(ctx, http.MethodGet, "/v1/status", nil, &st)
}

// Snapshot reads the state as of now.
func (c *Client) Snapshot(ctx context.Context) (text []byte, err error) {
	return text, c.do(ctx, http.MethodGet, "/v1/snapshot?consistent=1", nil, &text)
}

// Restore puts a snapshot in place of the state.
func (c *Client) Restore(ctx context.Context, text []byte) (st Status, err error) {
	return st, c.do(ctx, http.MethodPut, "/v1/snapshot", rawJSON(text), &st)
}

// rawJSON is a body that is JSON already.
type rawJSON []byte

// MarshalJSON returns the text as it is.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// ChangePeer takes a steward in, or off the voters.
func (c *Client) ChangePeer(ctx context.Context, name string, add bool) (st Status, err error) {
	method := http.MethodDelete
	if add {
		method = http.MethodPut
	}
	return st, c.do(ctx, method, "/v1/peers/"+name, nil, &st)
}

// ConfirmRemovals says that the servers that are held are gone.
func (c *Client) ConfirmRemovals(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/guard/confirm", nil, nil)
}

// OpenSession takes the process in among those that can hold duties.
func (c *Client) OpenSession(ctx context.Context, s catalog.Session) error {
	return sessionError(c.do(ctx, http.MethodPut, "/v1/sessions/"+s.Process, s, nil))
}

// RenewSession says that the process is there.
func (c *Client) RenewSession(ctx context.Context, process, id string, rev int64) (t leaderelection.AssignmentUpdate, err error) {
	return t, sessionError(c.do(ctx, http.MethodPost, "/v1/sessions/"+process+"/renewal", renewalBody{id, rev}, &t))
}

// WatchSession waits a while for a later revision.
func (c *Client) WatchSession(ctx context.Context, process, id string, rev int64) (t leaderelection.AssignmentUpdate, err error) {
	return t, sessionError(c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/sessions/%s/tasks?id=%s&rev=%d", process, id, rev), nil, &t))
}

// EndSession closes the session, or has it rest: its duties go to others.
func (c *Client) EndSession(ctx context.Context, process, id string, rest bool) error {
	query := ""
	if rest {
		query = "&rest=1"
	}
	return sessionError(c.do(ctx, http.MethodDelete, "/v1/sessions/"+process+"?id="+id+query, nil, nil))
}

// ReportTerms tells what became of terms. A term that is over by now is no error.
func (c *Client) ReportTerms(ctx context.Context, kind catalog.Kind, ties []catalog.TermRef, why string) error {
	err := c.do(ctx, http.MethodPost, "/v1/terms", termsBody{kind, ties, why}, nil)
	var refused *HTTPError
	if errors.As(err, &refused) && refused.Status/100 == 4 {
		return nil
	}
	return err
}

// sessionError gives refusals the meaning that a holder knows.
func sessionError(err error) error {
	var refused *HTTPError
	if !errors.As(err, &refused) {
		return err
	}
	switch {
	case refused.Status == http.StatusNotFound:
		return fmt.Errorf("%w: %v", leaderelection.ErrSessionExpired, err)
	case refused.Status == http.StatusConflict:
		return fmt.Errorf("%w: %v", leaderelection.ErrNameTaken, err)
	}
	return err
}

// Tasks reads all duties.
func (c *Client) Tasks(ctx context.Context) (all []catalog.LeasedTask, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/duties?consistent=1", nil, &all)
}

// Task reads one.
func (c *Client) Task(ctx context.Context, name string) (d catalog.LeasedTask, err error) {
	return d, c.do(ctx, http.MethodGet, "/v1/duties/"+name+"?consistent=1", nil, &d)
}

// Sessions reads the processes that can hold duties.
func (c *Client) Sessions(ctx context.Context) (all []catalog.Session, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/sessions?consistent=1", nil, &all)
}

// DefineTask makes a duty, or changes whom it prefers.
func (c *Client) DefineTask(ctx context.Context, name string, b TaskDefinition) error {
	return c.do(ctx, http.MethodPut, "/v1/duties/"+name, b, nil)
}

// ClaimTask asks for a duty that nobody holds, for a session.
func (c *Client) ClaimTask(ctx context.Context, name, process, id string) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPost, "/v1/duties/"+name+"/claim", claimBody{process, id}, &r)
}

// ReleaseTerm ends a term.
func (c *Client) ReleaseTerm(ctx context.Context, t catalog.TermRef) error {
	return c.do(ctx, http.MethodPost, "/v1/terms", termsBody{catalog.ReleaseTerm, []catalog.TermRef{t}, catalog.ReasonCompleted}, nil)
}

// CommandTask gives an operator's word on a duty: move, revoke, park, unpark, or drop.
func (c *Client) CommandTask(ctx context.Context, name, word, to, why string) error {
	if word == "drop" {
		return c.do(ctx, http.MethodDelete, "/v1/duties/"+name, nil, nil)
	}
	return c.do(ctx, http.MethodPost, "/v1/duties/"+name+"/"+word, taskCommandBody{to, why}, nil)
}
