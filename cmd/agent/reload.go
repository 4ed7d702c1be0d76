package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"knotrouter/internal/agent"
)

const (
	// reloadTimeout is how long a configuration that can't be read is tried again after its signal:
	// what the new discovery has to tell counts as told 4 s after it (TERMS).
	reloadTimeout       = 3 * time.Second
	reloadRetryInterval = 50 * time.Millisecond
)

// reload reads the configuration at each signal and hands it to the agent, until the context ends. A
// file that is missing, half written or can't be read for a moment is read again; the next signal
// begins anew.
func reload(ctx context.Context, path string, signals <-chan os.Signal, log *slog.Logger, a *agent.Agent) {
	var retryUntil time.Time // a file is to be read until then; zero: none is
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
			log.Info("SIGHUP: configuration read again", "discovery", config.Discovery, "stewards", config.ControlPlane)
			a.Reconfigure(config)
			retryUntil = time.Time{}
		case time.Now().After(retryUntil):
			log.Error("SIGHUP: the configuration stays as it was", "err", err)
			retryUntil = time.Time{}
		}
	}
}
