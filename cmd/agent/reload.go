package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"knotrouter/internal/agent"
)

const (
	// reloadTimeout is how long after the signal reload retries an invalid or unreadable configuration:
	// changes at the new discovery address count as notified 4 s after the signal (TERMS).
	reloadTimeout       = 3 * time.Second
	reloadRetryInterval = 50 * time.Millisecond
)

// reload reads the configuration at each signal and applies it to the agent, until ctx ends. If the
// file is missing, incomplete or temporarily unreadable, reload retries within reloadTimeout; the next
// signal starts over.
func reload(ctx context.Context, path string, signals <-chan os.Signal, log *slog.Logger, a *agent.Agent) {
	var retryUntil time.Time // deadline of the retries; zero: no reload is pending
	retry := time.NewTicker(reloadRetryInterval)
	defer retry.Stop()
	for {
		var retryDue <-chan time.Time
		if !retryUntil.IsZero() {
			retryDue = retry.C
		}
		select {
		case <-ctx.Done():
			return
		case <-signals:
			retryUntil = time.Now().Add(reloadTimeout)
		case <-retryDue:
		}
		config, err := agent.LoadConfig(path)
		switch {
		case err == nil:
			log.Info("configuration reloaded", "discovery", config.Discovery, "control_plane", config.ControlPlane)
			a.Reconfigure(config)
			retryUntil = time.Time{}
		case time.Now().After(retryUntil):
			log.Error("configuration reload failed, keeping the previous configuration", "err", err)
			retryUntil = time.Time{}
		}
	}
}
