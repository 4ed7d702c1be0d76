package process

import (
	"errors"
	"path/filepath"
	"testing"
)

// The peak memory is known of a process that runs, and only then.
func TestPeakRSS(t *testing.T) {
	p := newSupervisor(t, nil).Add(Spec{Name: "sleeper", Path: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")})
	if _, err := p.PeakRSSMB(); !errors.Is(err, ErrNotRunning) {
		t.Errorf("the peak of a process that does not run: %v", err)
	}
	start(t, p)
	peak, err := p.PeakRSSMB()
	if err != nil || !(peak > 0) || peak > 1000 {
		t.Errorf("peak %v MB: %v", peak, err)
	}
}
