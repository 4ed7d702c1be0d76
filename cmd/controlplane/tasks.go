package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"knotrouter/internal/catalog"
	"knotrouter/internal/control"
	"knotrouter/internal/table"
)

func tasksCommand(out io.Writer, client func() *control.Client) *cobra.Command {
	list := func(cmd *cobra.Command, _ []string) error {
		all, err := client().Tasks(cmd.Context())
		if err != nil {
			return err
		}
		var rows [][]string
		for i := range all {
			d := &all[i]
			rows = append(rows, []string{d.Name, d.Holder, fmt.Sprint(d.Fence), d.TTL.String(), d.Successor, taskState(d)})
		}
		return table.Terminal(out, false, []string{"duty", "holder", "fence", "time", "next", "state"}, rows)
	}
	cmd := &cobra.Command{Use: "duties", Short: "Show who holds which duty, and move, revoke or park one", Args: cobra.NoArgs, RunE: list,
		Example: "  controlplane duties\n  controlplane duties show sweep\n  controlplane duties move sweep --to st-2\n  controlplane duties park release.web --why \"until tomorrow\"",
		Long: "A duty is work that one process at a time may hold. move has it go to another process, which says first\n" +
			"that it is ready; revoke has its holder stop, and anybody may get it then; park has it stop, and nobody get it."}
	cmd.AddCommand(&cobra.Command{Use: "list", Short: "Show all duties", Args: cobra.NoArgs, RunE: list},
		&cobra.Command{Use: "show NAME", Short: "Show a duty and its last holders", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				d, err := client().Task(cmd.Context(), args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %s, fence %d, for %v a time\n", d.Name, taskState(&d), d.Fence, d.TTL)
				var rows [][]string
				for _, t := range d.History {
					rows = append(rows, []string{t.Process, fmt.Sprint(t.Fence), (t.To - t.From).Round(time.Millisecond).String(), t.Reason})
				}
				return table.Terminal(out, false, []string{"held by", "fence", "for", "until it"}, rows)
			}})
	var zone, process string
	var ttl time.Duration
	define := &cobra.Command{Use: "define NAME", Short: "Make a duty, or change whom it prefers", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client().DefineTask(cmd.Context(), args[0], control.TaskDefinition{TTLMs: ttl.Milliseconds(), Zone: zone, Process: process})
		}}
	define.Flags().DurationVar(&ttl, "ttl", 3*time.Second, "how long a holder that is not heard keeps it")
	define.Flags().StringVar(&zone, "zone", "", "where it had best be held")
	define.Flags().StringVar(&process, "process", "", "who had best hold it")
	cmd.AddCommand(define)
	for _, w := range [][3]string{{"move", "Have a duty go to another process", "is to go to another process"},
		{"revoke", "Have a duty's holder stop", "is taken from its holder"}, {"park", "Have nobody hold a duty", "is nobody's from now on"},
		{"unpark", "Let a parked duty be held again", "may be held again"}, {"drop", "Forget a duty that nobody holds", "is forgotten"}} {
		var to, why string
		c := &cobra.Command{Use: w[0] + " NAME", Short: w[1], Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if err := client().CommandTask(cmd.Context(), args[0], w[0], to, why); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s %s\n", args[0], w[2])
				return nil
			}}
		switch w[0] {
		case "move":
			c.Flags().StringVar(&to, "to", "", "the process; none: the best other one")
		case "park":
			c.Flags().StringVar(&why, "why", "", "what to tell those who ask")
		}
		cmd.AddCommand(c)
	}
	return cmd
}

// taskState words how a duty stands.
func taskState(d *catalog.LeasedTask) string {
	switch {
	case d.SuspendReason != "" && d.Holder == "":
		return "parked: " + d.SuspendReason
	case d.SuspendReason != "":
		return "is being parked: " + d.SuspendReason
	case d.Holder == "" && d.Failures > 0:
		return fmt.Sprintf("waits after %d failures", d.Failures)
	case d.Holder == "":
		return "free"
	case d.StopRequested:
		return "is being revoked from " + d.Holder
	case d.Successor != "":
		return "moves from " + d.Holder + " to " + d.Successor
	}
	return "held by " + d.Holder
}
