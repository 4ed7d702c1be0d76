package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
)

// errReload is the cause with which a wait for the server's end is canceled on SIGHUP.
var errReload = errors.New("reload of the configuration requested")

// adjustConfig changes what no setting can: tests replace the clock and the log store.
var adjustConfig = func(*control.Config) {}

// serveFlag is a setting of the configuration file that a flag of the same name overrides.
type serveFlag struct {
	name, usage string
}

var serveFlags = []serveFlag{
	{"name", "name of this steward"},
	{"data", "folder of the log and the snapshots"},
	{"listen", "HTTP address"},
	{"raft", "address that the other stewards replicate to"},
	{"log_level", "debug, info, warn or error"},
}

func newServeCommand() *cobra.Command {
	var configPath string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a steward",
		Args:  cobra.NoArgs,
		Long: "serve runs a steward until SIGTERM. Its configuration is a TOML file, then the environment\n" +
			"(STEWARD_LEASE_TTL is lease_ttl), then flags. One alone needs no more than a data folder. SIGHUP\n" +
			"reads the table of peers again.",
		Example: "  controlplane serve --data /var/lib/steward\n  controlplane serve --config steward.toml",
	}
	flags := cmd.Flags()
	flags.StringVar(&configPath, "config", "", "TOML file")
	for _, setting := range serveFlags {
		flags.String(setting.name, "", setting.usage)
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		overrides := map[string]any{}
		for _, setting := range serveFlags {
			if flag := flags.Lookup(setting.name); flag.Changed {
				overrides[setting.name] = flag.Value.String()
			}
		}
		return serve(cmd.Context(), configPath, overrides)
	}
	return cmd
}

// serve runs a server with the configuration of the file at configPath, if that is not empty, and
// the settings that flags override. It returns nil after a graceful shutdown, which begins when the
// context is canceled, and otherwise the error that ended the server or kept it from starting.
func serve(ctx context.Context, configPath string, overrides map[string]any) error {
	config, err := control.LoadConfig(configPath, overrides)
	if err != nil {
		return err
	}
	adjustConfig(config)
	log := newLogger(config)
	// Registered before the start, so that a SIGHUP during the start doesn't end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	server, err := control.Start(ctx, config, log)
	if err != nil {
		return err
	}
	defer server.Close()
	for {
		reload, err := waitForReload(ctx, server, hangups)
		if !reload {
			return err
		}
		reloadPeers(server, log, configPath, overrides)
	}
}

func newLogger(config *control.Config) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(config.LogLevel)) // LoadConfig has checked it
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("replica", config.Name)
}

// waitForReload waits until the server ends or a SIGHUP arrives. It returns true if the SIGHUP came
// first, and otherwise what the server's Wait returned.
func waitForReload(ctx context.Context, server *control.Server, hangups <-chan os.Signal) (reload bool, err error) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-hangups:
			cancel(errReload)
		case <-waitCtx.Done():
		}
	}()
	err = server.Wait(waitCtx)
	cancel(nil)
	if errors.Is(context.Cause(waitCtx), errReload) {
		return true, nil
	}
	return false, err
}

// reloadPeers gives the server the peers that the configuration names now. A configuration that can't
// be loaded is logged and changes nothing.
func reloadPeers(server *control.Server, log *slog.Logger, configPath string, overrides map[string]any) {
	config, err := control.LoadConfig(configPath, overrides)
	if err != nil {
		log.Error("SIGHUP: the configuration stays as it was", "err", err)
		return
	}
	server.Reload(config)
}
