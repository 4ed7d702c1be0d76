package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"knotrouter/internal/agent"
)

const (
	// reloadWithin is how long a configuration that can't be read is tried again after its signal:
	// what the new discovery has to tell counts as told 4 s after it (TERMS).
	reloadWithin = 3 * time.Second
	reloadWait   = 50 * time.Millisecond
)

// reload reads the configuration at each signal and hands it to the agent, until the context ends. A
// file that is missing, half written or can't be read for a moment is read again; the next signal
// begins anew.
func reload(ctx context.Context, path string, signals <-chan os.Signal, log *slog.Logger, a *agent.Agent) {
	var until time.Time // a file is to be read until then; zero: none is
	retry := time.NewTicker(reloadWait)
	defer retry.Stop()
	for {
		var due <-chan time.Time
		if !until.IsZero() {
			due = retry.C
		}
		select {
		case <-ctx.Done():
			return
		case <-signals:
			until = time.Now().Add(reloadWithin)
		case <-due:
		}
		conf, err := agent.LoadConfig(path)
		switch {
		case err == nil:
			log.Info("SIGHUP: configuration read again", "discovery", conf.Discovery, "stewards", conf.ControlPlane)
			a.Reconfigure(conf)
			until = time.Time{}
		case time.Now().After(until):
			log.Error("SIGHUP: the configuration stays as it was", "err", err)
			until = time.Time{}
		}
	}
}
