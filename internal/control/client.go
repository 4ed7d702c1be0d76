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

// errNoAddress means that a Client has no address to send a request to.
var errNoAddress = errors.New("no address of a control-plane server is known")

// Client calls the HTTP API of the control plane. It tries one address after the other until a
// server answers; an address that doesn't answer is tried last from then on. A Client is safe for
// concurrent use.
//
// Each method returns an *HTTPError if a server rejected the request, and any other error if no
// server answered. A write whose answer was lost is not retried, as it may have had an effect.
type Client struct {
	Addrs         []string
	AddressSource func() []string // if not nil, returns the current addresses, which replace Addrs
	HTTP          *http.Client
	preferred     atomic.Int64 // index, modulo the number of addresses, of the address to try first
}

// NewClient returns a Client whose requests time out after the given time.
func NewClient(addrs []string, timeout time.Duration) *Client {
	return &Client{Addrs: addrs, HTTP: &http.Client{Timeout: timeout}}
}

// do sends a request to one address after the other. After an answer, even a rejection, it tries
// the next address only if the request certainly had no effect.
func (c *Client) do(ctx context.Context, method, path string, body, dest any) error {
	err := errNoAddress
	first := c.preferred.Load()
	addrs := c.Addrs
	if c.AddressSource != nil {
		addrs = c.AddressSource()
	}
	for i := range addrs {
		addr := addrs[(int(first)+i)%len(addrs)]
		err = call(ctx, c.HTTP, method, "http://"+addr+path, body, dest)
		var rejected *HTTPError
		if err != nil && !errors.As(err, &rejected) {
			c.preferred.CompareAndSwap(first+int64(i), first+int64(i)+1)
		}
		switch {
		case err == nil:
			return nil
		case errors.As(err, &rejected) && !rejected.NotApplied:
			return err
		case !errors.As(err, &rejected) && method != http.MethodGet && !neverSent(err):
			return fmt.Errorf("%s: %w", addr, err)
		}
	}
	return err
}

// Register registers a server and starts its lease.
func (c *Client) Register(ctx context.Context, e endpoints.Endpoint) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPut, "/v1/servers/"+e.Name, e, &r)
}

// Renew renews the leases of servers. The result has a code for each, in the order of refs.
func (c *Client) Renew(ctx context.Context, refs []catalog.InstanceRef) (r RenewalBatch, err error) {
	return r, c.do(ctx, http.MethodPost, "/v1/renewals", RenewalBatch{Refs: refs}, &r)
}

// SetOverride sets an operator's override of a server's weight and health.
func (c *Client) SetOverride(ctx context.Context, name string, override ServerOverride) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPatch, "/v1/servers/"+name, override, &r)
}

// Server returns the entry of a server. If consistent is true, the leader answers, and the entry
// reflects every write that was acknowledged before the call.
func (c *Client) Server(ctx context.Context, name string, consistent bool) (e catalog.Entry, err error) {
	return e, c.do(ctx, http.MethodGet, "/v1/servers/"+name+consistentQuery(consistent), nil, &e)
}

// Servers returns all entries, including recently removed ones. For consistent, see Server.
func (c *Client) Servers(ctx context.Context, consistent bool) (all []catalog.Entry, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/servers"+consistentQuery(consistent), nil, &all)
}

// consistentQuery returns the query string of a read.
func consistentQuery(consistent bool) string {
	if consistent {
		return "?consistent=1"
	}
	return ""
}

// List returns the full endpoint list.
func (c *Client) List(ctx context.Context) (l endpoints.List, err error) {
	return l, c.do(ctx, http.MethodGet, endpoints.Path, nil, &l)
}

// Status returns the status of the first server that answers.
func (c *Client) Status(ctx context.Context) (st Status, err error) {
	return st, c.do(ctx, http.MethodGet, "/v1/status", nil, &st)
}

// Snapshot returns the encoded state of the leader.
func (c *Client) Snapshot(ctx context.Context) (encoded []byte, err error) {
	return encoded, c.do(ctx, http.MethodGet, "/v1/snapshot?consistent=1", nil, &encoded)
}

// Restore replaces the replicated state with a snapshot and returns the status of the leader.
func (c *Client) Restore(ctx context.Context, encoded []byte) (st Status, err error) {
	return st, c.do(ctx, http.MethodPut, "/v1/snapshot", rawJSON(encoded), &st)
}

// rawJSON is a request body that is already encoded.
type rawJSON []byte

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// ChangeVoter adds a control-plane server to the voters, or removes it from them, and returns the
// status of the leader.
func (c *Client) ChangeVoter(ctx context.Context, name string, add bool) (st Status, err error) {
	method := http.MethodDelete
	if add {
		method = http.MethodPut
	}
	return st, c.do(ctx, method, "/v1/peers/"+name, nil, &st)
}

// ConfirmRemovals removes the servers that the mass-failure guard has quarantined.
func (c *Client) ConfirmRemovals(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/guard/confirm", nil, nil)
}

// OpenSession opens a session that lets a process hold leased tasks. It returns an error that wraps
// leaderelection.ErrNameTaken if another process has the name.
func (c *Client) OpenSession(ctx context.Context, s catalog.Session) error {
	return sessionError(c.do(ctx, http.MethodPut, "/v1/sessions/"+s.Process, s, nil))
}

// RenewSession renews a session, and returns its assignments if their revision is later than the
// given one. It returns an error that wraps leaderelection.ErrSessionExpired if there is no such
// session.
func (c *Client) RenewSession(ctx context.Context, process, id string, revision int64) (u leaderelection.AssignmentUpdate, err error) {
	return u, sessionError(c.do(ctx, http.MethodPost, "/v1/sessions/"+process+"/renewal", renewalBody{id, revision}, &u))
}

// WatchSession waits until the assignments of a session have a later revision than the given one,
// or until the server answers without any assignments. Errors are as for RenewSession.
func (c *Client) WatchSession(ctx context.Context, process, id string, revision int64) (u leaderelection.AssignmentUpdate, err error) {
	return u, sessionError(c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/sessions/%s/tasks?id=%s&rev=%d", process, id, revision), nil, &u))
}

// EndSession closes a session. If drain is true, the session stays open while its tasks are
// transferred to other processes.
func (c *Client) EndSession(ctx context.Context, process, id string, drain bool) error {
	drainParam := ""
	if drain {
		drainParam = "&rest=1"
	}
	return sessionError(c.do(ctx, http.MethodDelete, "/v1/sessions/"+process+"?id="+id+drainParam, nil, nil))
}

// ReportTerms reports that terms were released or that their transfer was accepted, depending on
// kind. A term that has already ended is not an error.
func (c *Client) ReportTerms(ctx context.Context, kind catalog.Kind, terms []catalog.TermRef, reason string) error {
	err := c.do(ctx, http.MethodPost, "/v1/terms", termsBody{kind, terms, reason}, nil)
	var rejected *HTTPError
	if errors.As(err, &rejected) && rejected.Status/100 == 4 {
		return nil
	}
	return err
}

// sessionError translates a rejection into the errors of package leaderelection.
func sessionError(err error) error {
	var rejected *HTTPError
	if !errors.As(err, &rejected) {
		return err
	}
	switch {
	case rejected.Status == http.StatusNotFound:
		return fmt.Errorf("%w: %v", leaderelection.ErrSessionExpired, err)
	case rejected.Status == http.StatusConflict:
		return fmt.Errorf("%w: %v", leaderelection.ErrNameTaken, err)
	}
	return err
}

// Tasks returns all leased tasks.
func (c *Client) Tasks(ctx context.Context) (all []catalog.LeasedTask, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/duties?consistent=1", nil, &all)
}

// Task returns one leased task.
func (c *Client) Task(ctx context.Context, name string) (task catalog.LeasedTask, err error) {
	return task, c.do(ctx, http.MethodGet, "/v1/duties/"+name+"?consistent=1", nil, &task)
}

// Sessions returns all sessions.
func (c *Client) Sessions(ctx context.Context) (all []catalog.Session, err error) {
	return all, c.do(ctx, http.MethodGet, "/v1/sessions?consistent=1", nil, &all)
}

// DefineTask defines a leased task or changes its definition. The time to live of a task can't be
// changed while the task is held.
func (c *Client) DefineTask(ctx context.Context, name string, definition TaskDefinition) error {
	return c.do(ctx, http.MethodPut, "/v1/duties/"+name, definition, nil)
}

// ClaimTask claims, on behalf of a session, a task that has no holder. Result.Fence is the fencing
// token. The call is idempotent: a repeated call returns the same token.
func (c *Client) ClaimTask(ctx context.Context, name, process, id string) (r catalog.Result, err error) {
	return r, c.do(ctx, http.MethodPost, "/v1/duties/"+name+"/claim", claimBody{process, id}, &r)
}

// ReleaseTerm ends a term because its work is completed.
func (c *Client) ReleaseTerm(ctx context.Context, t catalog.TermRef) error {
	return c.do(ctx, http.MethodPost, "/v1/terms", termsBody{catalog.ReleaseTerm, []catalog.TermRef{t}, catalog.ReasonCompleted}, nil)
}

// Operators' commands on a leased task. The values are fixed: they are the names on the command line,
// and all except CommandDelete are also the last element of the path in the HTTP API.
const (
	CommandTransfer = "move"   // transfer the task to another process
	CommandRevoke   = "revoke" // have the holder stop
	CommandSuspend  = "park"   // suspend the task
	CommandResume   = "unpark" // resume the task
	CommandDelete   = "drop"   // delete the task
)

// CommandTask carries out an operator's command on a task. For CommandTransfer, target is the process
// that receives the task, or "" for the best one. For CommandSuspend, reason, which may be "", is shown
// as the reason of the suspension. Other commands ignore both.
func (c *Client) CommandTask(ctx context.Context, name, command, target, reason string) error {
	if command == CommandDelete {
		return c.do(ctx, http.MethodDelete, "/v1/duties/"+name, nil, nil)
	}
	return c.do(ctx, http.MethodPost, "/v1/duties/"+name+"/"+command, taskCommandBody{target, reason}, nil)
}
