// Command agent is one load-balancing agent on real sockets. Its file of
// settings is named by EDGE_CONFIG.
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

// startWithin is how long the calls of a start may go on failing: an agent has to be ready within
// 10 s, and one that can't start has to say so.
const startWithin = 5 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := os.Getenv("EDGE_CONFIG")
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	var conf *agent.Config
	err := transient.Retry(ctx, startWithin, func() (err error) {
		conf, err = agent.LoadConfig(path)
		return err
	})
	if err != nil {
		return err
	}
	// The machine may have more cores than the agent may use; more threads than cores
	// would only wait for each other. The live heap is a few MB, so it may grow well
	// past the usual twice, which saves collections, but not near the limit.
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(conf.Limits.MemoryMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: conf.LogLevel})).With("agent", conf.Name)
	a, err := agent.New(conf, log)
	if err != nil {
		return err
	}
	var ln net.Listener
	err = transient.Retry(ctx, startWithin, func() (err error) {
		ln, err = net.Listen("tcp", conf.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	go reload(ctx, path, again, log, a)
	if conf.KnownErr != nil {
		log.Warn("a part of the list at hand was left out", "err", conf.KnownErr)
	}
	log.Info("started", "listen", conf.Listen, "backends", len(conf.Known.Endpoints))
	if err := a.Serve(ctx, ln); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}
