package main

import (
	"context"

	"github.com/spf13/cobra"
)

// newArgumentCommand returns a command with exactly one argument. use names the command and the argument;
// run is called with the argument's value after the flags have been parsed.
func newArgumentCommand(use, short string, run func(ctx context.Context, argument string) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), args[0])
		},
	}
}
