package process

import (
	"path/filepath"
	"testing"
)

func TestPeakRSS(t *testing.T) {
	s := New(nil)
	defer s.Close()
	p := s.Add(Spec{Name: "sleeper", Path: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")})
	if _, err := p.PeakRSSMB(); err == nil {
		t.Error("a process that does not run has a peak")
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	peak, err := p.PeakRSSMB()
	if err != nil || !(peak > 0) || peak > 1000 {
		t.Errorf("peak %v MB: %v", peak, err)
	}
}
