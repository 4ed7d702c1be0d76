// Command controlplane is a control process of the fleet, and the operators' command line to
// it. `controlplane serve` hosts the list service.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

// callTimeout is how long the command line waits for a steward.
const callTimeout = 40 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := newRootCommand(os.Stdout).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "controlplane:", strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(1)
	}
}

func newRootCommand(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "controlplane", Short: "The fleet's list service, and the command line to it",
		SilenceUsage: true, SilenceErrors: true}
	root.SetOut(out)
	var at []string
	root.PersistentFlags().StringSliceVar(&at, "at", []string{"127.0.0.1:8500"}, "HTTP addresses of stewards, the first that answers is asked")
	client := func() *control.Client { return control.NewClient(at, callTimeout) }
	root.AddCommand(serveCommand(), statusCommand(out, client), serversCommand(out, client), snapshotCommand(out, client),
		peerCommand(out, client), confirmCommand(out, client), tasksCommand(out, client), membersCommand(out, client))
	return root
}

func serveCommand() *cobra.Command {
	var config string
	cmd := &cobra.Command{Use: "serve", Short: "Run a steward", Args: cobra.NoArgs,
		Long: "serve runs a steward until SIGTERM. Its configuration is a TOML file, then the environment\n" +
			"(STEWARD_LEASE_TTL is lease_ttl), then flags. One alone needs no more than a data folder. SIGHUP\n" +
			"reads the table of peers again.",
		Example: "  controlplane serve --data /var/lib/steward\n  controlplane serve --config steward.toml"}
	flags := cmd.Flags()
	flags.StringVar(&config, "config", "", "TOML file")
	for _, option := range [][2]string{{"name", "name of this steward"}, {"data", "folder of the log and the snapshots"},
		{"listen", "HTTP address"}, {"raft", "address that the other stewards replicate to"}, {"log_level", "debug, info, warn or error"}} {
		flags.String(option[0], "", option[1])
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set := map[string]any{}
		for _, key := range []string{"name", "data", "listen", "raft", "log_level"} {
			if flag := flags.Lookup(key); flag.Changed {
				set[key] = flag.Value.String()
			}
		}
		return serve(cmd.Context(), config, set)
	}
	return cmd
}

// adjustConfig changes what no configuration can: the clock and the disk, in tests.
var adjustConfig = func(*control.Config) {}

func serve(ctx context.Context, path string, set map[string]any) error {
	c, err := control.LoadConfig(path, set)
	if err != nil {
		return err
	}
	adjustConfig(c)
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // checked with the configuration
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("steward", c.Name)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	n, err := control.Start(ctx, c, log)
	if err != nil {
		return err
	}
	defer n.Close()
	for {
		wait, cancel := context.WithCancel(ctx)
		hup := make(chan struct{})
		go func() {
			select {
			case <-again:
				close(hup)
				cancel()
			case <-wait.Done():
			}
		}()
		err := n.Wait(wait)
		cancel()
		select {
		case <-hup:
			if next, err := control.LoadConfig(path, set); err != nil {
				log.Error("SIGHUP: the configuration stays as it was", "err", err)
			} else {
				n.Reload(next)
			}
		default:
			return err
		}
	}
}

func statusCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show how the stewards stand", Args: cobra.NoArgs,
		Example: "  controlplane status --at 127.0.0.1:8500,127.0.0.1:8510",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c := client()
			var rows [][]string
			var notes []string
			answered := false
			for _, addr := range c.Addrs {
				status, err := control.NewClient([]string{addr}, callTimeout).Status(cmd.Context())
				if err != nil {
					rows = append(rows, []string{addr, "", "no answer", "", "", "", "", ""})
					continue
				}
				answered = true
				state := status.State
				if status.Stale {
					state += ", stale"
				}
				if status.Draining {
					state += ", draining"
				}
				rows = append(rows, []string{addr, status.Name, state, status.Leader, fmt.Sprint(status.Seq), fmt.Sprint(status.Listed),
					fmt.Sprint(status.Watches), strings.Join(status.Voters, " ")})
				if status.Quarantined > 0 {
					notes = append(notes, fmt.Sprintf("%s: %d servers would have lapsed at once and stay listed, for %v now; 'controlplane confirm' says that they are gone",
						status.Name, status.Quarantined, (time.Duration(status.QuarantinedForMs)*time.Millisecond).Round(time.Second)))
				}
			}
			if err := table.Terminal(out, false, []string{"address", "name", "state", "leader", "version", "listed", "watches", "voters"}, rows); err != nil {
				return err
			}
			for _, note := range notes {
				fmt.Fprintln(out, note)
			}
			if !answered {
				return errors.New("no steward answers")
			}
			return nil
		}}
}

func serversCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	var share float64
	var health string
	var version int64
	cmd := &cobra.Command{Use: "servers", Short: "Show the servers, or change what one is listed as", Args: cobra.NoArgs,
		Example: "  controlplane servers\n  controlplane servers set s-03 --share 0.5 --if 1789\n  controlplane servers set s-03 --health draining",
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := client().Servers(cmd.Context(), true)
			if err != nil {
				return err
			}
			var rows [][]string
			for i := range all {
				e := &all[i]
				h := e.Listed()
				note := ""
				switch {
				case e.Removed:
					note = "ended"
				case e.DampedUntil > 0:
					note = "kept off for coming and going"
				case e.Quarantined:
					note = "not heard; held"
				}
				rows = append(rows, []string{h.Name, h.Health, h.Dial, h.Site, h.Class, fmt.Sprintf("%g", h.Weight), fmt.Sprint(e.Version), note})
			}
			return table.Terminal(out, false, []string{"server", "health", "dial", "site", "class", "share", "version", ""}, rows)
		}}
	set := &cobra.Command{Use: "set NAME", Short: "Set a server's share or health, over its own word", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w := control.ServerOverride{IfVersion: version}
			if cmd.Flags().Changed("share") {
				w.Weight = &share
			}
			if cmd.Flags().Changed("health") {
				w.Health = &health
			}
			if w.Weight == nil && w.Health == nil {
				return errors.New("--share, --health: neither is given")
			}
			r, err := client().SetOverride(cmd.Context(), args[0], w)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s is as you say from version %d on\n", args[0], r.Seq)
			return nil
		}}
	set.Flags().Float64Var(&share, "share", 0, "share, 0 or above")
	set.Flags().StringVar(&health, "health", "", "ready, draining, or empty for the server's own word")
	set.Flags().Int64Var(&version, "if", 0, "only if the entry has this version")
	cmd.AddCommand(set)
	return cmd
}

func snapshotCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "snapshot", Short: "Save the state to a file, or put one in its place"}
	cmd.AddCommand(&cobra.Command{Use: "save FILE", Short: "Save the state as it is now", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := client().Snapshot(cmd.Context())
			if err != nil {
				return err
			}
			if err := control.WriteFileAtomic(args[0], text); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			fmt.Fprintf(out, "%d bytes in %s\n", len(text), args[0])
			return nil
		}}, &cobra.Command{Use: "restore FILE", Short: "Put a saved state in place of the present one; versions go on", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			status, err := client().Restore(cmd.Context(), text)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d servers listed, version %d\n", status.Listed, status.Seq)
			return nil
		}})
	return cmd
}

func peerCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "peer", Short: "Take a steward in, or off the voters",
		Long: "A steward that is taken in must stand in the others' tables of peers; it votes once it has caught up."}
	for _, add := range []bool{true, false} {
		use, short := "remove NAME", "Take a steward off the voters"
		if add {
			use, short = "add NAME", "Take a steward in"
		}
		cmd.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				status, err := client().ChangePeer(cmd.Context(), args[0], add)
				if err != nil {
					return err
				}
				fmt.Fprintln(out, "voters:", strings.Join(status.Voters, " "))
				return nil
			}})
	}
	return cmd
}

func confirmCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	return &cobra.Command{Use: "confirm", Short: "Confirm that the servers are gone that a mass failure keeps listed", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := client().ConfirmRemovals(cmd.Context()); err != nil {
				return err
			}
			fmt.Fprintln(out, "what was held is off the list")
			return nil
		}}
}
