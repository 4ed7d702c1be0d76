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

// errReload is the cancellation cause that tells waitForReload that a SIGHUP ended its wait.
var errReload = errors.New("reload of the configuration requested")

// adjustConfig changes configuration fields that have no setting. Tests replace it to set the clock and the
// log store.
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

// configSource tells where to read the configuration from, at the start and at each SIGHUP.
type configSource struct {
	path      string         // path of the TOML file, or "" if there is none
	overrides map[string]any // values of the settings that flags override, by key
}

// load reads the configuration. It returns the errors of control.LoadConfig.
func (s configSource) load() (*control.Config, error) { return control.LoadConfig(s.path, s.overrides) }

// newServeCommand returns the command that runs a server.
func newServeCommand() *cobra.Command {
	source := configSource{overrides: map[string]any{}}
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
	flags.StringVar(&source.path, "config", "", "TOML file")
	for _, setting := range serveFlags {
		flags.String(setting.name, "", setting.usage)
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, setting := range serveFlags {
			if flag := flags.Lookup(setting.name); flag.Changed {
				source.overrides[setting.name] = flag.Value.String()
			}
		}
		return serve(cmd.Context(), source)
	}
	return cmd
}

// serve runs a server with the configuration from source. It returns nil after a graceful shutdown, which
// begins when the context is canceled, and otherwise the error that ended the server or kept it from starting.
func serve(ctx context.Context, source configSource) error {
	config, err := source.load()
	if err != nil {
		return err
	}
	adjustConfig(config)
	log := newLogger(config)
	// The signal is handled before the start, so that a SIGHUP during the start doesn't end the process.
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
		reloadPeers(server, log, source)
	}
}

// newLogger returns the logger of a server, which writes to standard error at the configured level.
func newLogger(config *control.Config) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(config.LogLevel)) // can't fail: LoadConfig has validated the level
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("replica", config.Name)
}

// waitForReload waits until the server ends or a SIGHUP arrives. It returns true if the SIGHUP came
// first, and otherwise false and the error returned by the server's Wait.
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

// reloadPeers reads the configuration again and applies its table of peers to the server. If the configuration
// can't be loaded, reloadPeers logs the error and changes nothing.
func reloadPeers(server *control.Server, log *slog.Logger, source configSource) {
	config, err := source.load()
	if err != nil {
		log.Error("SIGHUP: can't load the configuration, keeping the current one", "err", err)
		return
	}
	server.Reload(config)
}
