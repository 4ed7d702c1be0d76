package process

import (
	"errors"
	"path/filepath"
	"testing"
)

// The peak memory is available while the process is running, and only then.
func TestPeakRSS(t *testing.T) {
	p := newSupervisor(t, nil).Add(Spec{Name: "sleeper", Path: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")})
	if _, err := p.PeakRSSMB(); !errors.Is(err, ErrNotRunning) {
		t.Errorf("peak of a process that is not running: %v, want ErrNotRunning", err)
	}
	start(t, p)
	peak, err := p.PeakRSSMB()
	if err != nil || !(peak > 0) || peak > 1000 {
		t.Errorf("peak is %v MB with error %v, want more than 0 and at most 1000", peak, err)
	}
}
