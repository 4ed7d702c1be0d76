package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// newConfirmCommand returns the command that confirms a mass failure: it removes the quarantined
// servers, which stay listed until then.
func newConfirmCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return &cobra.Command{
		Use:   "confirm",
		Short: "Confirm that the servers are gone that a mass failure keeps listed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := newClient().ConfirmRemovals(cmd.Context()); err != nil {
				return err
			}
			fmt.Fprintln(out, "what was held is off the list")
			return nil
		},
	}
}
