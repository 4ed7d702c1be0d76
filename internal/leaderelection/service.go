package leaderelection

import (
	"context"
	"errors"

	"knotrouter/internal/catalog"
)

// AssignmentUpdate is a session's list of assignments at a revision.
type AssignmentUpdate struct {
	Revision int64 `json:"rev"`
	// Assignments is nil if nothing has changed since the revision known to the caller.
	Assignments []catalog.Assignment `json:"tasks"`
}

// Service is the part of the control plane's interface that a Runner uses.
type Service interface {
	// OpenSession opens a session for a process. It returns ErrNameTaken while another
	// process holds a session under the same name.
	OpenSession(ctx context.Context, s catalog.Session) error
	// RenewSession extends the session and all of its terms, and returns the assignments if their
	// revision is later than rev. The answer comes from a server that has confirmed, after the call
	// arrived, that it is the leader. RenewSession returns ErrSessionExpired or ErrNameTaken if the
	// session has ended.
	RenewSession(ctx context.Context, process, id string, rev int64) (AssignmentUpdate, error)
	// WatchSession is a long poll: it returns when the revision is later than rev, or after a
	// time that the server chooses. It does not extend the session.
	WatchSession(ctx context.Context, process, id string, rev int64) (AssignmentUpdate, error)
	// EndSession closes the session. If drain is set, it only asks the control plane to transfer
	// the session's tasks to other processes, and the session stays open.
	EndSession(ctx context.Context, process, id string, drain bool) error
	// ReportTerms sends one command, ReleaseTerm or AcceptTransfer, for the terms given.
	ReportTerms(ctx context.Context, kind catalog.Kind, terms []catalog.TermRef, reason string) error
}

// The errors of a Service after which a session has ended.
var (
	// ErrSessionExpired means that the control plane has no such session: it has ended or lost the
	// session, or never had it.
	ErrSessionExpired = errors.New("session expired or unknown")
	// ErrNameTaken means that another process has a session under this process's name.
	ErrNameTaken = errors.New("process name in use by another session")
)
