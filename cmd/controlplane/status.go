package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

// errNoAnswer is the error of a command that no server answered.
var errNoAnswer = errors.New("no steward answers")

// newStatusCommand returns the command that shows the status of each server that --at names.
func newStatusCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show how the stewards stand",
		Args:    cobra.NoArgs,
		Example: "  controlplane status --at 127.0.0.1:8500,127.0.0.1:8510",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printStatuses(cmd.Context(), out, newClient().Addrs)
		},
	}
}

// printStatuses asks each address for its server's status and prints a row for each. It returns
// errNoAnswer, after the table, if none answered.
func printStatuses(ctx context.Context, out io.Writer, addrs []string) error {
	var rows [][]string
	var notes []string
	answered := false
	for _, addr := range addrs {
		status, err := control.NewClient([]string{addr}, callTimeout).Status(ctx)
		if err != nil {
			rows = append(rows, []string{addr, "", "no answer", "", "", "", "", ""})
			continue
		}
		answered = true
		rows = append(rows, statusRow(addr, &status))
		if status.Quarantined > 0 {
			notes = append(notes, quarantineNote(&status))
		}
	}
	columns := []string{"address", "name", "state", "leader", "version", "listed", "watches", "voters"}
	if err := table.Terminal(out, false, columns, rows); err != nil {
		return err
	}
	for _, note := range notes {
		fmt.Fprintln(out, note)
	}
	if !answered {
		return errNoAnswer
	}
	return nil
}

// statusRow returns the columns of a server that answered.
func statusRow(addr string, status *control.Status) []string {
	state := status.State
	if status.Stale {
		state += ", stale"
	}
	if status.Draining {
		state += ", draining"
	}
	return []string{
		addr,
		status.Name,
		state,
		status.Leader,
		fmt.Sprint(status.Seq),
		fmt.Sprint(status.Listed),
		fmt.Sprint(status.Watches),
		strings.Join(status.Voters, " "),
	}
}

// quarantineNote returns a line that says how many servers the mass-failure guard keeps listed, for how long
// already, and which command removes them.
func quarantineNote(status *control.Status) string {
	duration := (time.Duration(status.QuarantinedForMs) * time.Millisecond).Round(time.Second)
	return fmt.Sprintf("%s: %d servers would have lapsed at once and stay listed, for %v now; 'controlplane confirm' says that they are gone",
		status.Name, status.Quarantined, duration)
}
