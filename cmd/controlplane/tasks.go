package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

// taskCommand describes an operator's command for one leased task.
type taskCommand struct {
	name         string // one of control's Command constants, and the name on the command line
	short        string // the help text
	confirmation string // printed after the task's name on success
}

var taskCommands = []taskCommand{
	{control.CommandTransfer, "Have a duty go to another process", "is to go to another process"},
	{control.CommandRevoke, "Have a duty's holder stop", "is taken from its holder"},
	{control.CommandSuspend, "Have nobody hold a duty", "is nobody's from now on"},
	{control.CommandResume, "Let a parked duty be held again", "may be held again"},
	{control.CommandDelete, "Forget a duty that nobody holds", "is forgotten"},
}

// newTasksCommand returns the commands that show, define and control leased tasks, which operators call
// duties.
func newTasksCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	list := func(cmd *cobra.Command, _ []string) error {
		return printTasks(cmd.Context(), out, newClient())
	}
	cmd := &cobra.Command{
		Use:     "duties",
		Aliases: []string{"tasks"},
		Short:   "Show who holds which duty, and move, revoke or park one",
		Args:    cobra.NoArgs,
		RunE:    list,
		Example: "  controlplane duties\n  controlplane duties show sweep\n  controlplane duties move sweep --to st-2\n  controlplane duties park release.web --why \"until tomorrow\"",
		Long: "A duty is work that one process at a time may hold. move has it go to another process, which says first\n" +
			"that it is ready; revoke has its holder stop, and anybody may get it then; park has it stop, and nobody get it.",
	}
	cmd.AddCommand(
		&cobra.Command{Use: "list", Short: "Show all duties", Args: cobra.NoArgs, RunE: list},
		newShowTaskCommand(out, newClient),
		newDefineTaskCommand(newClient),
	)
	for _, command := range taskCommands {
		cmd.AddCommand(newTaskCommand(out, newClient, command))
	}
	return cmd
}

// printTasks prints a row for each leased task.
func printTasks(ctx context.Context, out io.Writer, client *control.Client) error {
	tasks, err := client.Tasks(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for i := range tasks {
		task := &tasks[i]
		rows = append(rows, []string{task.Name, task.Holder, fmt.Sprint(task.Fence), task.TTL.String(), task.Successor, taskState(task)})
	}
	return table.Terminal(out, false, []string{"duty", "holder", "fence", "time", "next", "state"}, rows)
}

// newShowTaskCommand returns the command that shows the state of one leased task and its last terms.
func newShowTaskCommand(out io.Writer, newClient newClientFunc) *cobra.Command {
	return newArgumentCommand("show NAME", "Show a duty and its last holders", func(ctx context.Context, name string) error {
		task, err := newClient().Task(ctx, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %s, fence %d, for %v a time\n", task.Name, taskState(&task), task.Fence, task.TTL)
		var rows [][]string
		for _, term := range task.History {
			duration := (term.To - term.From).Round(time.Millisecond)
			rows = append(rows, []string{term.Process, fmt.Sprint(term.Fence), duration.String(), term.Reason})
		}
		return table.Terminal(out, false, []string{"held by", "fence", "for", "until it"}, rows)
	})
}

// newDefineTaskCommand returns the command that defines a leased task or changes its definition.
func newDefineTaskCommand(newClient newClientFunc) *cobra.Command {
	var zone, process string
	var ttl time.Duration
	cmd := newArgumentCommand("define NAME", "Make a duty, or change whom it prefers", func(ctx context.Context, name string) error {
		definition := control.TaskDefinition{TTLMs: ttl.Milliseconds(), Zone: zone, Process: process}
		return newClient().DefineTask(ctx, name, definition)
	})
	cmd.Flags().DurationVar(&ttl, "ttl", 3*time.Second, "how long a holder that is not heard keeps it")
	cmd.Flags().StringVar(&zone, "zone", "", "where it had best be held")
	cmd.Flags().StringVar(&process, "process", "", "who had best hold it")
	return cmd
}

// newTaskCommand returns the command that sends an operator's command for a leased task.
func newTaskCommand(out io.Writer, newClient newClientFunc, command taskCommand) *cobra.Command {
	var to, why string
	cmd := newArgumentCommand(command.name+" NAME", command.short, func(ctx context.Context, name string) error {
		if err := newClient().CommandTask(ctx, name, command.name, to, why); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s %s\n", name, command.confirmation)
		return nil
	})
	switch command.name {
	case control.CommandTransfer:
		cmd.Flags().StringVar(&to, "to", "", "the process; none: the best other one")
	case control.CommandSuspend:
		cmd.Flags().StringVar(&why, "why", "", "what to tell those who ask")
	}
	return cmd
}

// taskState describes the state of a leased task to the operator.
func taskState(task *catalog.LeasedTask) string {
	switch {
	case task.SuspendReason != "" && task.Holder == "":
		return "parked: " + task.SuspendReason
	case task.SuspendReason != "":
		return "is being parked: " + task.SuspendReason
	case task.Holder == "" && task.Failures > 0:
		return fmt.Sprintf("waits after %d failures", task.Failures)
	case task.Holder == "":
		return "free"
	case task.StopRequested:
		return "is being revoked from " + task.Holder
	case task.Successor != "":
		return "moves from " + task.Holder + " to " + task.Successor
	}
	return "held by " + task.Holder
}
