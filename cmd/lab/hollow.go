package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/lab/hollow"
)

// hollowCommand returns the command that runs many hollow agents or servers in one process.
func hollowCommand(out io.Writer) *cobra.Command {
	cmd := &cobra.Command{Use: "hollow", Short: "Run many readers or servers of a list service in one process"}
	cmd.AddCommand(hollowAgentsCommand(out), hollowServersCommand(out))
	return cmd
}

const listenFlagUsage = "loopback address that offers the state as JSON and takes commands"

// hollowLog returns the logger of a process of hollow agents or servers, which writes to stderr.
func hollowLog(role string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("hollow", role)
}

// printState prints the state of hollow agents or servers as JSON.
func printState(out io.Writer, state any) error {
	text, err := json.MarshalIndent(state, "", " ")
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// hollowAgentsCommand returns the command that runs hollow agents.
func hollowAgentsCommand(out io.Writer) *cobra.Command {
	config := hollow.AgentsConfig{Seed: 1, Services: 1}
	var listen string
	cmd := &cobra.Command{Use: "agents", Short: "Read the list as so many agents do, without a data path", Args: cobra.NoArgs,
		Long: "agents reads the list as so many agents do, with their client, table, jitter and back-off,\n" +
			"until it is interrupted; then it prints what it did as JSON.",
		Example: "  lab hollow agents --stewards 127.0.0.1:8500 --count 1000 --listen 127.0.0.1:9000",
		RunE: func(cmd *cobra.Command, _ []string) error {
			agents, err := hollow.NewAgents(config, hollowLog("agents"))
			if err != nil {
				return err
			}
			if listen != "" {
				if err := hollow.Serve(cmd.Context(), listen, agents.Handler()); err != nil {
					return err
				}
			}
			agents.Run(cmd.Context())
			return printState(out, agents.State(hollow.ExpectedList{}))
		}}
	flags := cmd.Flags()
	flags.StringSliceVar(&config.ControlPlane, "stewards", nil, "HTTP addresses of the list service")
	flags.IntVar(&config.Count, "count", 0, "hollow agents")
	flags.IntVar(&config.First, "first", 0, "index of the first one in the fleet")
	flags.IntVar(&config.Fleet, "fleet", 0, "readers of the whole fleet (default: --count)")
	flags.Uint64Var(&config.Seed, "seed", 1, "draw addresses, jitter and subscriptions from this seed")
	flags.DurationVar(&config.StartSpread, "spread", 0, "start them evenly over this time")
	flags.IntVar(&config.Services, "services", 1, "services that there are")
	flags.IntVar(&config.Subscribed, "subscribed", 0, "services that each subscribes to; 0: the whole list")
	flags.StringSliceVar(&config.Sources, "source", nil, "local loopback addresses, taken in turn")
	flags.StringVar(&listen, "listen", "", listenFlagUsage)
	return cmd
}

// hollowServersCommand returns the command that runs hollow servers.
func hollowServersCommand(out io.Writer) *cobra.Command {
	config := hollow.ServersConfig{Seed: 1, Services: 1}
	var listen string
	var register bool
	cmd := &cobra.Command{Use: "servers", Short: "Register and renew as so many servers do", Args: cobra.NoArgs,
		Long: "servers renews as so many programme servers do, and drains, ends and replaces them by\n" +
			"commands, until it is interrupted; then it prints what it did as JSON.",
		Example: "  lab hollow servers --stewards 127.0.0.1:8500 --count 1000 --register",
		RunE: func(cmd *cobra.Command, _ []string) error {
			servers, err := hollow.NewServers(config, hollowLog("servers"))
			if err != nil {
				return err
			}
			if listen != "" {
				if err := hollow.Serve(cmd.Context(), listen, servers.Handler(cmd.Context())); err != nil {
					return err
				}
			}
			if register {
				result := servers.Register(cmd.Context(), hollow.Range{Count: config.Count})
				if result.RefusalReason != "" {
					return fmt.Errorf("registration refused: %s", result.RefusalReason)
				}
			}
			servers.Run(cmd.Context())
			return printState(out, servers.State())
		}}
	flags := cmd.Flags()
	flags.StringSliceVar(&config.ControlPlane, "stewards", nil, "HTTP addresses of the list service")
	flags.IntVar(&config.Count, "count", 0, "hollow servers")
	flags.IntVar(&config.Services, "services", 1, "services that they are spread over")
	flags.Uint64Var(&config.Seed, "seed", 1, "draw the order in which servers change from this seed")
	flags.DurationVar(&config.RenewInterval, "renew", 2*time.Second, "between two renewals of a server")
	flags.IntVar(&config.RenewBatch, "renew-batch", 1, "servers that one call renews")
	flags.IntVar(&config.EmulatedPerZone, "emulated", 0, "HTTP servers a zone that answer requests for its servers")
	flags.DurationVar(&config.ServiceTime, "service-time", 5*time.Millisecond, "that an emulated server takes for a request")
	flags.BoolVar(&register, "register", false, "register all at the start, without a command")
	flags.StringVar(&listen, "listen", "", listenFlagUsage)
	return cmd
}
