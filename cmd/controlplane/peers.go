package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// newPeerCommand returns the commands that add servers to the voters and remove them.
func newPeerCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "peer",
		Short: "Take a steward in, or off the voters",
		Long:  "A steward that is taken in must stand in the others' tables of peers; it votes once it has caught up.",
	}
	cmd.AddCommand(
		newChangePeerCommand(out, newClient, "add NAME", "Take a steward in", true),
		newChangePeerCommand(out, newClient, "remove NAME", "Take a steward off the voters", false),
	)
	return cmd
}

// newChangePeerCommand returns the command that adds a server to the voters or removes one.
func newChangePeerCommand(out io.Writer, newClient newClientFunc, use, short string, add bool) *cobra.Command {
	return newArgumentCommand(use, short, func(ctx context.Context, name string) error {
		status, err := newClient().ChangeVoter(ctx, name, add)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, "voters:", strings.Join(status.Voters, " "))
		return nil
	})
}
