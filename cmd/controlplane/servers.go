package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

// errNoOverride is the failure of `servers set` without anything to set.
var errNoOverride = errors.New("--share, --health: neither is given")

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

// serverNote says why an entry is not what its server last reported; it is empty for all others.
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

func newSetServerCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	var weight float64
	var health string
	var ifVersion int64
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Set a server's share or health, over its own word",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			override := control.ServerOverride{IfVersion: ifVersion}
			if cmd.Flags().Changed("share") {
				override.Weight = &weight
			}
			if cmd.Flags().Changed("health") {
				override.Health = &health
			}
			if override.Weight == nil && override.Health == nil {
				return errNoOverride
			}
			result, err := newClient().SetOverride(cmd.Context(), args[0], override)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s is as you say from version %d on\n", args[0], result.Seq)
			return nil
		},
	}
	cmd.Flags().Float64Var(&weight, "share", 0, "share, 0 or above")
	cmd.Flags().StringVar(&health, "health", "", "ready, draining, or empty for the server's own word")
	cmd.Flags().Int64Var(&ifVersion, "if", 0, "only if the entry has this version")
	return cmd
}
