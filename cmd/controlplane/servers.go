package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

// errNoOverride is the error of `servers set` if neither --share nor --health is given.
var errNoOverride = errors.New("--share, --health: neither is given")

// newServersCommand returns the command that shows the registered servers, with the subcommand that sets
// an override.
func newServersCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "servers",
		Short:   "Show the servers, or change what one is listed as",
		Args:    cobra.NoArgs,
		Example: "  controlplane servers\n  controlplane servers set s-03 --share 0.5 --if 1789\n  controlplane servers set s-03 --health draining",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printServers(cmd.Context(), out, newClient())
		},
	}
	cmd.AddCommand(newSetServerCommand(out, newClient))
	return cmd
}

// printServers prints a row for each entry, including those that were removed recently.
func printServers(ctx context.Context, out io.Writer, client *control.Client) error {
	entries, err := client.Servers(ctx, true)
	if err != nil {
		return err
	}
	var rows [][]string
	for i := range entries {
		rows = append(rows, serverRow(&entries[i]))
	}
	return table.Terminal(out, false, []string{"server", "health", "dial", "site", "class", "share", "version", ""}, rows)
}

// serverRow returns the columns of an entry.
func serverRow(entry *catalog.Entry) []string {
	listed := entry.Listed()
	return []string{
		listed.Name,
		listed.Health,
		listed.Dial,
		listed.Site,
		listed.Class,
		fmt.Sprintf("%g", listed.Weight),
		fmt.Sprint(entry.Version),
		serverNote(entry),
	}
}

// serverNote explains why the list differs from the last report of the entry's server. It returns "" if it
// doesn't differ.
func serverNote(entry *catalog.Entry) string {
	switch {
	case entry.Removed:
		return "ended"
	case entry.DampedUntil > 0:
		return "kept off for coming and going"
	case entry.Quarantined:
		return "not heard; held"
	}
	return ""
}

// newSetServerCommand returns the command that sets or withdraws an override of a server's weight and
// health. It fails with errNoOverride if neither flag is given.
func newSetServerCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	var weight float64
	var health string
	var ifVersion int64
	var flags *pflag.FlagSet // the flags of the command below, which parses them before it calls set
	set := func(ctx context.Context, server string) error {
		override := control.ServerOverride{IfVersion: ifVersion}
		if flags.Changed("share") {
			override.Weight = &weight
		}
		if flags.Changed("health") {
			override.Health = &health
		}
		if override.Weight == nil && override.Health == nil {
			return errNoOverride
		}
		result, err := newClient().SetOverride(ctx, server, override)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s is as you say from version %d on\n", server, result.Seq)
		return nil
	}
	cmd := newArgumentCommand("set NAME", "Set a server's share or health, over its own word", set)
	flags = cmd.Flags()
	flags.Float64Var(&weight, "share", 0, "share, 0 or above")
	flags.StringVar(&health, "health", "", "ready, draining, or empty for the server's own word")
	flags.Int64Var(&ifVersion, "if", 0, "only if the entry has this version")
	return cmd
}
