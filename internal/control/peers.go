package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func serves(st *Status) bool { return st.HasState && !st.Stale && !st.Draining }

func better(found []Status) bool {
	for i := range found {
		if serves(&found[i]) {
			return true
		}
	}
	return false
}

// lookout remembers for a while how the other stewards stand.
type lookout struct {
	mu    sync.Mutex
	at    time.Time
	found []Status
}

const (
	lookAgain  = time.Second
	lookAtMost = 100 * time.Millisecond
)

// look asks the others how they stand, at most once in a while; those that don't answer
// are left out.
func (n *Node) look() []Status {
	o := &n.others
	o.mu.Lock()
	defer o.mu.Unlock()
	// Whether none is better decides whether an old list is served: that is asked sooner.
	if age := time.Since(o.at); age < lookAtMost || age < min(n.c.StaleAfter/4, lookAgain)/2 && better(o.found) {
		return o.found
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerWait)
	defer cancel()
	names := n.c.others()
	answers := make(chan *Status)
	for _, name := range names {
		go func() {
			st, err := n.statusOf(ctx, name)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &st
		}()
	}
	o.found = nil
	for range names {
		if st := <-answers; st != nil {
			o.found = append(o.found, *st)
		}
	}
	o.at = time.Now()
	return o.found
}

// betterElsewhere tells whether another steward has the quorum. Where none has, this one's
// list is as good as any.
func (n *Node) betterElsewhere() bool { return better(n.look()) }

func (n *Node) statusOf(ctx context.Context, name string) (Status, error) {
	var st Status
	p, ok := (*n.table.Load())[name]
	if !ok {
		return st, fmt.Errorf("steward %s: not in the table of peers", name)
	}
	return st, call(ctx, n.peers, http.MethodGet, "http://"+p.HTTP+"/v1/status", nil, &st)
}
