package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
)

// newSnapshotCommand returns the commands that save the replicated state to a file and restore it.
func newSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	cmd := &cobra.Command{Use: "snapshot", Short: "Save the state to a file, or put one in its place"}
	cmd.AddCommand(newSaveSnapshotCommand(out, newClient), newRestoreSnapshotCommand(out, newClient))
	return cmd
}

// newSaveSnapshotCommand returns the command that writes the leader's state to a file. An existing file
// is replaced only once the state has been received and written in full.
func newSaveSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return newArgumentCommand("save FILE", "Save the state as it is now", func(ctx context.Context, file string) error {
		state, err := newClient().Snapshot(ctx)
		if err != nil {
			return err
		}
		if err := control.WriteFileAtomic(file, state); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		fmt.Fprintf(out, "%d bytes in %s\n", len(state), file)
		return nil
	})
}

// newRestoreSnapshotCommand returns the command that replaces the replicated state with the state in a file.
func newRestoreSnapshotCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	const short = "Put a saved state in place of the present one; versions go on"
	return newArgumentCommand("restore FILE", short, func(ctx context.Context, file string) error {
		state, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		status, err := newClient().Restore(ctx, state)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%d servers listed, version %d\n", status.Listed, status.Seq)
		return nil
	})
}
