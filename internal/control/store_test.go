package control

import (
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
)

// fullDiskStore is a raft.StableStore whose writes fail.
type fullDiskStore struct{ raft.StableStore }

func (fullDiskStore) Set(_, _ []byte) error { return errors.New("no space left on device") }
func (fullDiskStore) SetUint64(_ []byte, _ uint64) error {
	return errors.New("no space left on device")
}

// A term or vote that can't be written is a fatal error of the server that gives the cause. Raft's goroutine
// ends before it can act on the unwritten value.
func TestUnwrittenVoteEndsServer(t *testing.T) {
	for name, write := range map[string]func(p *stableStore){
		"vote": func(p *stableStore) { _ = p.Set([]byte("LastVoteCand"), []byte("st-1")) },
		"term": func(p *stableStore) { _ = p.SetUint64([]byte("CurrentTerm"), 7) },
	} {
		var errs []error
		continued := false
		done := make(chan struct{})
		go func() {
			defer close(done)
			write(&stableStore{fullDiskStore{}, func(err error) { errs = append(errs, err) }})
			continued = true
		}()
		<-done
		if continued || len(errs) != 1 || !strings.Contains(errs[0].Error(), "the log can't be written: no space left") {
			t.Errorf("%s: goroutine continued: %v, reported errors %v", name, continued, errs)
		}
	}
}
