// Command agent runs one load-balancing agent on real sockets. EDGE_CONFIG names its configuration
// file; on SIGHUP the agent reads it again, on SIGTERM or SIGINT it shuts down gracefully.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"knotrouter/internal/agent"
	"knotrouter/internal/transient"
)

// startTimeout is how long failing system calls are retried at startup: an agent has to be ready
// within 10 s, or to report why it can't start.
const startTimeout = 5 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}

// run starts the agent and serves until a signal shuts it down.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := os.Getenv("EDGE_CONFIG")
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var config *agent.Config
	err := transient.Retry(ctx, startTimeout, func() (err error) {
		config, err = agent.LoadConfig(path)
		return err
	})
	if err != nil {
		return err
	}
	// The machine may have more cores than the agent may use; threads beyond that number
	// would only wait for each other. The live heap is a few MB, so it may grow well past
	// the default of twice its size, which saves collections, but must stay below the limit.
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(config.Limits.MemoryMB * agent.RuntimeMemoryShare * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: config.LogLevel})).With("agent", config.Name)
	a, err := agent.New(config, log)
	if err != nil {
		return err
	}
	var ln net.Listener
	err = transient.Retry(ctx, startTimeout, func() (err error) {
		ln, err = net.Listen("tcp", config.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	serving, served := context.WithCancel(context.Background())
	defer served()
	go reload(serving, path, reloads, log, a) // a shutdown takes as long as its requests: reloads go on meanwhile
	if config.CachedListErr != nil {
		log.Warn("cached list: invalid entries skipped", "err", config.CachedListErr)
	}
	log.Info("started", "listen", config.Listen, "backends", len(config.CachedList.Endpoints))
	if err := a.Serve(ctx, ln); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}
