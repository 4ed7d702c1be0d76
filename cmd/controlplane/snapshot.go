package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
)

func newSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	cmd := &cobra.Command{Use: "snapshot", Short: "Save the state to a file, or put one in its place"}
	cmd.AddCommand(newSaveSnapshotCommand(out, newClient), newRestoreSnapshotCommand(out, newClient))
	return cmd
}

func newSaveSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return &cobra.Command{
		Use:   "save FILE",
		Short: "Save the state as it is now",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := newClient().Snapshot(cmd.Context())
			if err != nil {
				return err
			}
			if err := control.WriteFileAtomic(args[0], text); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			fmt.Fprintf(out, "%d bytes in %s\n", len(text), args[0])
			return nil
		},
	}
}

func newRestoreSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return &cobra.Command{
		Use:   "restore FILE",
		Short: "Put a saved state in place of the present one; versions go on",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			status, err := newClient().Restore(cmd.Context(), text)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d servers listed, version %d\n", status.Listed, status.Seq)
			return nil
		},
	}
}
