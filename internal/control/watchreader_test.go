package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"knotrouter/internal/endpoints"
)

// blockableWriter is the common part of the response writers of watches. Its writes can be made to block.
type blockableWriter struct {
	mu      sync.Mutex    // also guards the fields of the types that embed blockableWriter
	blocked chan struct{} // if not nil, writes block until it is closed
}

func (r *blockableWriter) Header() http.Header { return http.Header{} }

func (r *blockableWriter) WriteHeader(int) {}

func (r *blockableWriter) Flush() {}

func (r *blockableWriter) SetWriteDeadline(time.Time) error { return nil }

// block makes all later writes block until unblock is called.
func (r *blockableWriter) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = make(chan struct{})
}

// unblock lets blocked writes and all later ones proceed.
func (r *blockableWriter) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.blocked)
	r.blocked = nil
}

// awaitUnblocked waits until writes are not blocked.
func (r *blockableWriter) awaitUnblocked() {
	r.mu.Lock()
	blocked := r.blocked
	r.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
}

// watchReader is the response writer of a watch of all services. It records the writes and applies
// them to its copy of the list.
type watchReader struct {
	blockableWriter
	lines    []string
	servers  map[string]float64
	revision int64
}

// newWatchReader returns a reader that doesn't block.
func newWatchReader() *watchReader { return &watchReader{servers: map[string]float64{}} }

func (r *watchReader) Write(p []byte) (int, error) {
	r.awaitUnblocked()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(p))
	var l endpoints.List
	if len(p) > 1 && json.Unmarshal(p, &l) == nil {
		if l.Full {
			clear(r.servers)
		}
		for _, endpoint := range l.Endpoints {
			if r.servers[endpoint.Name] = endpoint.StartedMs; endpoint.Health == endpoints.Removed {
				delete(r.servers, endpoint.Name)
			}
		}
		r.revision = l.Seq
	}
	return len(p), nil
}

// lineCount returns the number of lines written.
func (r *watchReader) lineCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// serviceWatchReader is the response writer of a watch of services. It applies the lines as a reader must
// and records violations of the watch protocol.
type serviceWatchReader struct {
	services []string
	blockableWriter
	lists      []endpoints.List
	bytes      int
	heartbeats int
	servers    map[string]endpoints.Endpoint
	revision   int64
	violations []string
}

func (r *serviceWatchReader) Write(p []byte) (int, error) {
	r.awaitUnblocked()
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(p) == "\n" {
		r.heartbeats++
		return len(p), nil
	}
	r.bytes += len(p)
	l, err := endpoints.Parse(p)
	if err != nil || bytes.Count(p, []byte("\n")) != 1 || l.Seq < r.revision {
		r.violations = append(r.violations, fmt.Sprintf("%q after revision %d: %v", p, r.revision, err))
	}
	r.lists, r.revision = append(r.lists, l), l.Seq
	if l.Full || r.servers == nil {
		r.servers = map[string]endpoints.Endpoint{}
	}
	for _, endpoint := range l.Endpoints {
		switch {
		case !slices.Contains(r.services, endpoint.Service):
			r.violations = append(r.violations, fmt.Sprintf("a reader of %q was sent %+v", r.services, endpoint))
		case endpoint.Health != endpoints.Removed:
			r.servers[endpoint.Name] = endpoint
		case r.servers[endpoint.Name].Service == endpoint.Service:
			delete(r.servers, endpoint.Name)
		}
	}
	return len(p), nil
}

// serverNames returns the servers that the reader has as sorted name@service pairs.
func (r *serviceWatchReader) serverNames() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, endpoint := range r.servers {
		out = append(out, endpoint.Name+"@"+endpoint.Service)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// checkViolations fails the test if the reader has recorded violations.
func (r *serviceWatchReader) checkViolations(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) > 0 {
		t.Errorf("violations seen by a reader of %q: %s", r.services, strings.Join(r.violations, "; "))
	}
}
